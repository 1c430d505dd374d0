//! Load pattern: every balancer of a large fleet follows the configuration, while balancers fail, are
//! cut off, lose messages or announce wrong checks, and the store loses changes.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use cranberrypitch_core::Revision;
use cranberrypitch_core::flow::{ConfigCheck, ConfigRead, ConfigReadSchedule};
use proptest::prelude::*;

use crate::config_reads::{check, schedule};
use crate::support::balancer_address;

/// The shortest time within which the users' platform requires a balancer to apply a configuration.
const MAX_APPLY_DELAY: Duration = Duration::from_secs(3);

/// The shortest undisturbed time after which a balancer must again follow the configuration.
const CALM: Duration = Duration::from_secs(4);

/// The time within which a balancer has a version that another one announced: a read may have started just
/// before, and the next one shows that the store lacks the version.
const FETCH_TIME: Duration = Duration::from_secs(1);

/// The time that a call to the store takes, and that a relayed check takes.
const CALL_DELAY_MS: u64 = 10;

/// The time after which a call that gets no answer fails, in addition to its wait.
const CALL_TIMEOUT_MS: u64 = 500;

/// The wait after a failed call.
const RETRY_MS: u64 = 100;

/// A step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// What disturbs the fleet.
#[derive(Clone, Debug)]
enum Disturbance {
    /// The calls of a balancer get no answer for some time.
    CutFromStore { balancer: u8, ms: u64 },
    /// A balancer receives and sends no checks for some time.
    CutFromAgents { balancer: u8, ms: u64 },
    /// A balancer restarts.
    Restart { balancer: u8 },
    /// The pending watches of all balancers never return.
    SilenceWatches,
    /// A balancer announces a check that is wrong.
    Announce { version: u64, checked_by: u8 },
    /// The operator changes the configuration.
    Change,
    /// The store loses the latest changes. The operator writes them again after some time, or with the next
    /// change.
    Restore { lost: u64, rewrite_ms: u64 },
    /// Time passes.
    Wait { ms: u64 },
}

const BALANCERS: u8 = 6;

fn disturbance() -> impl Strategy<Value = Disturbance> {
    let balancer = 1..=BALANCERS;
    prop_oneof![
        1 => (balancer.clone(), 100..6000_u64)
            .prop_map(|(balancer, ms)| Disturbance::CutFromStore { balancer, ms }),
        1 => (balancer.clone(), 100..6000_u64)
            .prop_map(|(balancer, ms)| Disturbance::CutFromAgents { balancer, ms }),
        1 => balancer
            .clone()
            .prop_map(|balancer| Disturbance::Restart { balancer }),
        1 => Just(Disturbance::SilenceWatches),
        1 => (0..20_u64, balancer).prop_map(|(version, checked_by)| Disturbance::Announce {
            version,
            checked_by
        }),
        2 => Just(Disturbance::Change),
        1 => (1..4_u64, 0..2000_u64)
            .prop_map(|(lost, rewrite_ms)| Disturbance::Restore { lost, rewrite_ms }),
        3 => (1..3000_u64).prop_map(|ms| Disturbance::Wait { ms }),
    ]
}

/// A call of a balancer to the store.
#[derive(Clone, Copy, Debug)]
struct Call {
    started_at: Instant,
    wait: Duration,
    /// Whether the answer never arrives.
    is_silent: bool,
}

#[derive(Debug)]
struct Balancer {
    schedule: ConfigReadSchedule,
    call: Option<Call>,
    retry_at: Instant,
    version: Option<u64>,
    /// The epoch of the store and the version in it at the last read.
    read: Option<(u64, u64)>,
    /// The balancer that a configuration is being fetched from, and when it arrives.
    fetch: Option<(SocketAddrV4, Instant)>,
    store_cut_until: Instant,
    agents_cut_until: Instant,
    /// The newest version in the checks that reached the balancer since its start, and when the first such
    /// check did.
    announced: (u64, Instant),
}

struct Fleet {
    now: Instant,
    /// The version that the operator wrote last.
    version: u64,
    /// The epoch of the store and the version in it.
    stored: (u64, u64),
    /// When the operator writes again what the store has lost.
    rewrite_at: Instant,
    balancers: BTreeMap<u8, Balancer>,
    /// Checks in transit, with their arrival.
    checks: Vec<(Instant, u8, ConfigCheck)>,
    calls: u64,
    loss_percent: u8,
    loss_state: u32,
}

impl Fleet {
    fn new(loss_percent: u8) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            version: 1,
            stored: (1, 1),
            rewrite_at: now,
            balancers: BTreeMap::new(),
            checks: Vec::new(),
            calls: 0,
            loss_percent,
            loss_state: 1,
        };
        for index in 1..=BALANCERS {
            fleet.restart(index);
        }
        fleet
    }

    fn restart(&mut self, index: u8) {
        let balancer = Balancer {
            schedule: schedule(index),
            call: None,
            retry_at: self.now,
            version: None,
            read: None,
            fetch: None,
            store_cut_until: self.now,
            agents_cut_until: self.now,
            announced: (0, self.now),
        };
        self.balancers.insert(index, balancer);
    }

    fn is_lost(&mut self) -> bool {
        self.loss_state = self
            .loss_state
            .wrapping_mul(1_664_525)
            .wrapping_add(1_013_904_223);
        (self.loss_state >> 16) % 100 < u32::from(self.loss_percent)
    }

    fn disturb(&mut self, disturbance: &Disturbance) {
        let now = self.now;
        match *disturbance {
            Disturbance::CutFromStore { balancer, ms } => {
                let balancer = self.balancers.get_mut(&balancer).unwrap();
                balancer.store_cut_until = now + Duration::from_millis(ms);
                if let Some(call) = &mut balancer.call {
                    call.is_silent = true;
                }
            }
            Disturbance::CutFromAgents { balancer, ms } => {
                let balancer = self.balancers.get_mut(&balancer).unwrap();
                balancer.agents_cut_until = now + Duration::from_millis(ms);
            }
            Disturbance::Restart { balancer } => self.restart(balancer),
            Disturbance::SilenceWatches => {
                for call in self.balancers.values_mut().filter_map(|b| b.call.as_mut()) {
                    call.is_silent = true;
                }
            }
            Disturbance::Announce {
                version,
                checked_by,
            } => {
                self.announce(checked_by, check(version, 0, checked_by));
            }
            Disturbance::Change => {
                self.version += 1;
                self.stored.1 = self.version;
            }
            Disturbance::Restore { lost, rewrite_ms } => {
                let (epoch, stored) = self.stored;
                self.stored = (epoch + 1, stored.saturating_sub(lost).max(1));
                self.rewrite_at = now + Duration::from_millis(rewrite_ms);
                // Waiting watches end with an error.
                for balancer in self.balancers.values_mut() {
                    balancer.call = None;
                    balancer.schedule.on_failure();
                }
            }
            Disturbance::Wait { ms } => self.run(Duration::from_millis(ms)),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        if self.rewrite_at <= now {
            self.stored.1 = self.version;
        }
        let arrived: Vec<_> = self.checks.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, receiver, check) in arrived {
            let balancer = self.balancers.get_mut(&receiver).unwrap();
            if balancer.agents_cut_until <= now {
                balancer.schedule.on_check(&check, now);
                if check.version.get() > balancer.announced.0 {
                    balancer.announced = (check.version.get(), now);
                }
                if balancer.schedule.is_outdated() {
                    balancer.call = None;
                }
            }
        }
        for index in 1..=BALANCERS {
            if let Some(check) = self.step_balancer(index) {
                self.announce(index, check);
            }
            self.fetch_from_peer(index);
        }
    }

    /// Fetches the configuration of a balancer that has announced a version which the store lacks.
    fn fetch_from_peer(&mut self, index: u8) {
        let now = self.now;
        let balancer = self.balancers.get_mut(&index).unwrap();
        let peer = balancer.schedule.peer_with_missing_version(now);
        let arrival = now + Duration::from_millis(CALL_DELAY_MS);
        balancer.fetch = balancer.fetch.or(peer.map(|peer| (peer, arrival)));
        let Some((peer, _)) = balancer.fetch.take_if(|(_, at)| *at <= now) else {
            return;
        };
        let holder = (1..=BALANCERS).find(|index| balancer_address(*index) == peer);
        let fetched = holder.and_then(|holder| self.balancers[&holder].version);
        let balancer = self.balancers.get_mut(&index).unwrap();
        balancer.version = balancer.version.max(fetched);
        if let Some(version) = balancer.version {
            balancer.schedule.on_config(Revision::new(version));
        }
    }

    fn announce(&mut self, sender: u8, check: ConfigCheck) {
        if self.balancers[&sender].agents_cut_until > self.now {
            return;
        }
        for receiver in (1..=BALANCERS).filter(|receiver| *receiver != sender) {
            if !self.is_lost() {
                let at = self.now + Duration::from_millis(CALL_DELAY_MS);
                self.checks.push((at, receiver, check));
            }
        }
    }

    fn step_balancer(&mut self, index: u8) -> Option<ConfigCheck> {
        let now = self.now;
        let balancer = self.balancers.get_mut(&index)?;
        if let Some(call) = balancer.call {
            let elapsed = now - call.started_at;
            let is_changed = balancer.read != Some(self.stored);
            let is_answered = elapsed >= Duration::from_millis(CALL_DELAY_MS)
                && (is_changed || elapsed >= call.wait);
            if !call.is_silent && is_answered {
                balancer.call = None;
                balancer.read = Some(self.stored);
                balancer.version = balancer.version.max(Some(self.stored.1));
                let checked_at = if is_changed {
                    now
                } else {
                    call.started_at + call.wait
                };
                let version = balancer.version.map(Revision::new);
                return balancer.schedule.on_read(version, checked_at, now);
            }
            if elapsed >= call.wait + Duration::from_millis(CALL_TIMEOUT_MS) {
                balancer.call = None;
                balancer.schedule.on_failure();
                balancer.retry_at = now + Duration::from_millis(RETRY_MS);
            }
            return None;
        }
        if balancer.retry_at > now {
            return None;
        }
        let wait = match balancer.schedule.next(now) {
            ConfigRead::Now => Duration::ZERO,
            ConfigRead::Watch { wait } => wait,
            ConfigRead::WaitUntil(_) => return None,
        };
        self.calls += 1;
        balancer.call = Some(Call {
            started_at: now,
            wait,
            is_silent: balancer.store_cut_until > now,
        });
        None
    }

    fn oldest_version(&self) -> u64 {
        let versions = self.balancers.values().map(|b| b.version.unwrap_or(0));
        versions.min().unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against a balancer that misses a change, however calls and checks were disturbed before:
    /// after an undisturbed time all have the newest version, and a change then is applied in time,
    /// although some checks are lost and one balancer is cut off when the change is made.
    #[test]
    fn change_is_applied_in_time_after_any_disturbances(
        disturbances in prop::collection::vec(disturbance(), 0..25),
        loss_percent in 0..30_u8,
        last_cut in proptest::option::of(1..=BALANCERS),
    ) {
        let mut fleet = Fleet::new(loss_percent);
        for disturbance in &disturbances {
            fleet.disturb(disturbance);
        }
        for balancer in fleet.balancers.values_mut() {
            balancer.store_cut_until = fleet.now;
            balancer.agents_cut_until = fleet.now;
        }
        fleet.run(CALM);
        prop_assert_eq!(fleet.oldest_version(), fleet.version);

        let cut_ms = 60_000;
        if let Some(balancer) = last_cut {
            fleet.disturb(&Disturbance::CutFromStore { balancer, ms: cut_ms });
        }
        fleet.disturb(&Disturbance::Change);
        fleet.run(MAX_APPLY_DELAY);
        if let Some(balancer) = last_cut {
            fleet.balancers.remove(&balancer);
        }
        prop_assert_eq!(fleet.oldest_version(), fleet.version);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    /// Guards against a return to an older configuration: the store has lost the latest changes for good,
    /// and balancers that restart read the older one. The others still have the newest. A balancer that all
    /// checks were lost to, as in the recorded case, has it once a check arrives.
    #[test]
    fn lost_changes_stay_in_force_while_one_balancer_has_them(
        lost in 1..4_u64,
        restarts in prop::collection::vec((1..BALANCERS, 0..3000_u64), 0..8),
        loss_percent in 0..30_u8,
    ) {
        let mut fleet = Fleet::new(loss_percent);
        for _ in 0..4 {
            fleet.disturb(&Disturbance::Change);
        }
        fleet.run(CALM);
        fleet.disturb(&Disturbance::Restore { lost, rewrite_ms: 600_000 });
        for (balancer, ms) in restarts {
            fleet.disturb(&Disturbance::Restart { balancer });
            fleet.disturb(&Disturbance::Wait { ms });
        }
        fleet.run(CALM);
        for balancer in fleet.balancers.values() {
            let (version, at) = balancer.announced;
            let is_due = version == fleet.version && fleet.now - at >= FETCH_TIME;
            prop_assert!(!is_due || balancer.version == Some(fleet.version));
        }
        fleet.loss_percent = 0;
        fleet.run(CALM);
        prop_assert_eq!(fleet.oldest_version(), fleet.version);
    }
}

/// Guards against calls that grow with the number of balancers while nothing changes.
#[test]
fn calm_fleet_makes_the_calls_of_one_watching_balancer() {
    let mut fleet = Fleet::new(0);
    fleet.run(Duration::from_secs(5));
    let before = fleet.calls;
    fleet.run(Duration::from_secs(20));
    let calls = fleet.calls - before;
    assert!(
        calls <= 30,
        "{calls} calls of {BALANCERS} balancers in 20 s"
    );
}

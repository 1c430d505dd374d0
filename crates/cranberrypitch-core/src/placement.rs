//! The choice of a target for a new flow.
//!
//! A [`Placer`] holds the candidates of one service at one balancer. Each candidate carries the
//! load of its last report and the balancer's own picks that the report can't include yet.

pub mod candidate;
mod persistence;
pub mod policy;
mod rate;
pub mod recent;
mod weights;

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use rand::Rng;

pub use self::candidate::Candidate;
use self::candidate::Tracked;
use self::persistence::Persistence;
use self::policy::Choice;
pub use self::policy::Policy;
use self::rate::PickRate;
pub use self::recent::InitialId;
use self::recent::{Recent, RecentInitials};
use self::weights::Prediction;
use crate::ids::Incarnation;

/// Settings of a [`Placer`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOptions {
    /// How targets are chosen.
    pub policy: Policy,
    /// The time between the pick of a target and the arrival of the first report that includes it.
    pub report_lag: Duration,
    /// A first packet that comes again within this time is the same flight; after it, a
    /// retransmission.
    pub retransmit_after: Duration,
    /// How long a target whose first packet got no answer is avoided.
    pub suspicion_timeout: Duration,
    /// How many recent first packets are remembered.
    pub recent_initials_max: usize,
    /// How long a first packet is remembered.
    pub recent_initial_lifetime: Duration,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            report_lag: Duration::from_millis(20),
            // The first probe timeout of our callers is one second.
            retransmit_after: Duration::from_millis(500),
            suspicion_timeout: Duration::from_secs(5),
            // Four seconds of 4,000 new flows a second.
            recent_initials_max: 16 * 1024,
            recent_initial_lifetime: Duration::from_secs(10),
        }
    }
}

/// The target of a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Where the agent receives tunnel datagrams.
    pub target: SocketAddrV4,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The earlier target of the same flow that left its first packet unanswered; membership is
    /// told of it.
    pub unanswered_target: Option<SocketAddrV4>,
}

/// Places new flows of one service.
#[derive(Debug)]
pub struct Placer {
    options: PlacementOptions,
    targets: Vec<Tracked>,
    recent: RecentInitials,
    persistence: Persistence,
    pick_rate: PickRate,
    turn: usize,
}

impl Placer {
    /// Returns a placer without candidates.
    pub fn new(options: PlacementOptions) -> Self {
        Self {
            options,
            targets: Vec::new(),
            recent: RecentInitials::new(
                options.recent_initials_max,
                options.recent_initial_lifetime,
            ),
            persistence: Persistence::new(),
            pick_rate: PickRate::default(),
            turn: 0,
        }
    }

    /// Replaces the candidates. What is known of own picks and suspicion is kept for those that
    /// stay with the same incarnation.
    pub fn set_candidates(&mut self, candidates: &[Candidate], now: Instant) {
        let mut candidates = candidates.to_vec();
        candidates.sort_unstable_by_key(|candidate| candidate.address);
        candidates.dedup_by_key(|candidate| candidate.address);
        let mean_load = self.mean_load();
        let mut known = std::mem::take(&mut self.targets).into_iter().peekable();
        for candidate in candidates {
            while known
                .next_if(|tracked| tracked.candidate.address < candidate.address)
                .is_some()
            {}
            let before = known.next_if(|tracked| tracked.candidate.address == candidate.address);
            let tracked = self.tracked(before, candidate, mean_load, now);
            self.targets.push(tracked);
        }
    }

    /// Replaces or adds one candidate, as after a report.
    pub fn update(&mut self, candidate: Candidate, now: Instant) {
        let mean_load = self.mean_load();
        match self.position(candidate.address) {
            Ok(index) => {
                let tracked = Tracked::new(candidate);
                let before = std::mem::replace(&mut self.targets[index], tracked);
                self.targets[index] = self.tracked(Some(before), candidate, mean_load, now);
            }
            Err(index) => {
                let tracked = self.tracked(None, candidate, mean_load, now);
                self.targets.insert(index, tracked);
            }
        }
    }

    /// Returns what is tracked of a candidate after a newer view of it.
    fn tracked(
        &mut self,
        before: Option<Tracked>,
        candidate: Candidate,
        mean_load: f64,
        now: Instant,
    ) -> Tracked {
        let Some(mut tracked) = before.filter(|before| before.is_same_run(&candidate)) else {
            return Tracked::new(candidate);
        };
        let load_before = tracked.reported_load();
        let reported_before = tracked.candidate.reported_at;
        tracked.update(candidate, self.options.report_lag, now);
        let step = candidate
            .reported_at
            .saturating_duration_since(reported_before);
        let after = tracked.reported_load() - mean_load;
        self.persistence.note(load_before - mean_load, after, step);
        tracked
    }

    fn mean_load(&self) -> f64 {
        let sum = self.targets.iter().fold((0.0, 0.0), |sum, tracked| {
            (
                sum.0 + f64::from(tracked.reported_requests()),
                sum.1 + f64::from(tracked.slots()),
            )
        });
        if sum.1 > 0.0 { sum.0 / sum.1 } else { 0.0 }
    }

    /// Removes a candidate.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.targets
            .retain(|tracked| tracked.candidate.address != address);
    }

    /// Places the flow of a first packet, or returns nothing when no target takes new flows.
    ///
    /// A copy of a first packet goes where the first one went. A retransmission goes elsewhere
    /// unless the target has answered any packet in between.
    pub fn place(
        &mut self,
        initial: InitialId,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let Some(recent) = self.recent.get(initial, now) else {
            return self.place_new(initial, None, now, rng);
        };
        if self.may_stay(&recent, now) {
            return Some(Placement {
                target: recent.target,
                incarnation: recent.incarnation,
                unanswered_target: None,
            });
        }
        let suspected_until = now + self.options.suspicion_timeout;
        if let Some(tracked) = self.find(recent.target) {
            tracked.suspected_until = Some(suspected_until);
        }
        self.place_new(initial, Some(recent.target), now, rng)
    }

    /// Notes that a target answered on the traffic path.
    pub fn on_answer(&mut self, address: SocketAddrV4, now: Instant) {
        if let Some(tracked) = self.find(address) {
            tracked.answered_at = Some(now);
            tracked.suspected_until = None;
        }
    }

    /// Returns whether a target is avoided because it left a first packet unanswered.
    pub fn is_suspected(&self, address: SocketAddrV4, now: Instant) -> bool {
        let is_suspect =
            |tracked: &Tracked| tracked.candidate.address == address && tracked.is_suspected(now);
        self.targets.iter().any(is_suspect)
    }

    /// Returns the number of candidates.
    pub fn candidate_count(&self) -> usize {
        self.targets.len()
    }

    fn find(&mut self, address: SocketAddrV4) -> Option<&mut Tracked> {
        let index = self.position(address).ok()?;
        Some(&mut self.targets[index])
    }

    fn position(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.targets
            .binary_search_by_key(&address, |tracked| tracked.candidate.address)
    }

    fn may_stay(&mut self, recent: &Recent, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(recent.placed_at);
        if elapsed < self.options.retransmit_after {
            return true;
        }
        self.find(recent.target).is_some_and(|tracked| {
            tracked.candidate.incarnation == recent.incarnation
                && tracked
                    .answered_at
                    .is_some_and(|answered_at| answered_at >= recent.placed_at)
        })
    }

    fn place_new(
        &mut self,
        initial: InitialId,
        unanswered_target: Option<SocketAddrV4>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let eligible = self.eligible(unanswered_target, now);
        if self.options.policy == Policy::SmoothWeighted {
            let prediction = Prediction {
                now,
                report_lag: self.options.report_lag,
                picks_per_second: self.pick_rate.per_second(now),
                decay_per_second: self.persistence.decay_per_second(),
            };
            weights::add_credit(&mut self.targets, &eligible, &prediction);
        }
        let choice = Choice {
            targets: &self.targets,
            eligible: &eligible,
            initial,
        };
        let index = choice.pick(self.options.policy, &mut self.turn, rng)?;
        let tracked = &mut self.targets[index];
        tracked.note_pick(now);
        tracked.credit -= 1.0;
        self.pick_rate.note(now);
        let candidate = tracked.candidate;
        self.recent.insert(initial, &candidate, now);
        Some(Placement {
            target: candidate.address,
            incarnation: candidate.incarnation,
            unanswered_target,
        })
    }

    /// Returns the indexes of the targets that take new flows; suspected ones only when no other
    /// does.
    fn eligible(&self, unanswered_target: Option<SocketAddrV4>, now: Instant) -> Vec<usize> {
        let (mut trusted, mut suspected) = (Vec::new(), Vec::new());
        for (index, tracked) in self.targets.iter().enumerate() {
            if !tracked.takes_flows() {
                continue;
            }
            let avoided = unanswered_target == Some(tracked.candidate.address);
            if avoided || tracked.is_suspected(now) {
                suspected.push(index);
            } else {
                trusted.push(index);
            }
        }
        if trusted.is_empty() {
            suspected
        } else {
            trusted
        }
    }
}

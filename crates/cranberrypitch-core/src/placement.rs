//! Selection of a target for each new flow.
//!
//! A [`Placer`] holds the candidates of one service at one balancer. For each candidate it keeps
//! the load of the last report and the balancer's own picks: the flows that this balancer has placed
//! there and that the report does not include yet.

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
use self::candidate::TrackedTarget;
use self::persistence::Persistence;
pub use self::policy::Policy;
use self::policy::Selection;
use self::rate::PickRate;
pub use self::recent::InitialId;
use self::recent::{RecentInitial, RecentInitials};
use self::weights::Prediction;
use crate::ids::Incarnation;

/// Settings of a [`Placer`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementOptions {
    /// The policy that selects a target.
    pub policy: Policy,
    /// The time from the placement of a flow to the arrival of the first report that includes it.
    pub report_lag: Duration,
    /// A copy of a first packet that arrives within this time belongs to the same flight; a later
    /// one is a retransmission.
    pub retransmit_after: Duration,
    /// How long a target that left a first packet unanswered is avoided.
    pub suspicion_timeout: Duration,
    /// The maximum number of recent first packets that are kept.
    pub recent_initials_max: usize,
    /// How long a first packet is kept.
    pub recent_initial_lifetime: Duration,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            report_lag: Duration::from_millis(20),
            // The initial probe timeout of callers is one second.
            retransmit_after: Duration::from_millis(500),
            suspicion_timeout: Duration::from_secs(5),
            // Enough for four seconds at 4,000 new flows per second.
            recent_initials_max: 16 * 1024,
            recent_initial_lifetime: Duration::from_secs(10),
        }
    }
}

/// The target that was selected for a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The address at which the agent receives tunnel datagrams.
    pub target: SocketAddrV4,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The earlier target of the same flow that left the first packet unanswered, to be reported to
    /// [`Membership::on_unanswered_packet`](crate::membership::Membership::on_unanswered_packet).
    pub unanswered_target: Option<SocketAddrV4>,
}

/// Selects targets for the new flows of one service.
#[derive(Debug)]
pub struct Placer {
    options: PlacementOptions,
    targets: Vec<TrackedTarget>,
    recent_initials: RecentInitials,
    persistence: Persistence,
    pick_rate: PickRate,
    round_robin_position: usize,
}

impl Placer {
    /// Returns a placer without candidates.
    pub fn new(options: PlacementOptions) -> Self {
        Self {
            options,
            targets: Vec::new(),
            recent_initials: RecentInitials::new(
                options.recent_initials_max,
                options.recent_initial_lifetime,
            ),
            persistence: Persistence::new(),
            pick_rate: PickRate::default(),
            round_robin_position: 0,
        }
    }

    /// Replaces the candidates. Own picks and suspicion are kept for each candidate whose address and
    /// incarnation are unchanged.
    pub fn set_candidates(&mut self, candidates: &[Candidate], now: Instant) {
        let mut candidates = candidates.to_vec();
        candidates.sort_unstable_by_key(|candidate| candidate.address);
        candidates.dedup_by_key(|candidate| candidate.address);
        let mean_load = self.mean_load();
        let mut previous = std::mem::take(&mut self.targets).into_iter().peekable();
        for candidate in candidates {
            while previous
                .next_if(|tracked| tracked.candidate.address < candidate.address)
                .is_some()
            {}
            let before = previous.next_if(|tracked| tracked.candidate.address == candidate.address);
            let tracked = self.track(before, candidate, mean_load, now);
            self.targets.push(tracked);
        }
    }

    /// Replaces or adds one candidate, for example after a report.
    pub fn update(&mut self, candidate: Candidate, now: Instant) {
        let mean_load = self.mean_load();
        match self.position(candidate.address) {
            Ok(index) => {
                let tracked = TrackedTarget::new(candidate);
                let before = std::mem::replace(&mut self.targets[index], tracked);
                self.targets[index] = self.track(Some(before), candidate, mean_load, now);
            }
            Err(index) => {
                let tracked = self.track(None, candidate, mean_load, now);
                self.targets.insert(index, tracked);
            }
        }
    }

    /// Returns the state of a candidate after an update of its reported values.
    fn track(
        &mut self,
        before: Option<TrackedTarget>,
        candidate: Candidate,
        mean_load: f64,
        now: Instant,
    ) -> TrackedTarget {
        let Some(mut tracked) = before.filter(|before| before.is_same_incarnation(&candidate))
        else {
            return TrackedTarget::new(candidate);
        };
        let load_before = tracked.reported_load();
        let reported_before = tracked.candidate.reported_at;
        tracked.update(candidate, self.options.report_lag, now);
        let interval = candidate
            .reported_at
            .saturating_duration_since(reported_before);
        let after = tracked.reported_load() - mean_load;
        self.persistence
            .record(load_before - mean_load, after, interval);
        tracked
    }

    /// Returns the mean of the reported requests per slot.
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

    /// Selects a target for the flow of a first packet, or returns `None` if no target accepts new
    /// flows.
    ///
    /// A copy of a first packet goes to the same target as the original. A retransmission goes to
    /// another target, unless the first one has answered any packet since the placement.
    pub fn place(
        &mut self,
        initial: InitialId,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let Some(recent) = self.recent_initials.get(initial, now) else {
            return self.place_new(initial, None, now, rng);
        };
        if self.keeps_target(&recent, now) {
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

    /// Records that a target has answered on the traffic path, which ends any suspicion.
    pub fn on_answer(&mut self, address: SocketAddrV4, now: Instant) {
        if let Some(tracked) = self.find(address) {
            tracked.answered_at = Some(now);
            tracked.suspected_until = None;
        }
    }

    /// Returns whether a target is currently avoided because it left a first packet unanswered.
    pub fn is_suspected(&self, address: SocketAddrV4, now: Instant) -> bool {
        let is_suspect = |tracked: &TrackedTarget| {
            tracked.candidate.address == address && tracked.is_suspected(now)
        };
        self.targets.iter().any(is_suspect)
    }

    /// Returns the number of candidates.
    pub fn candidate_count(&self) -> usize {
        self.targets.len()
    }

    fn find(&mut self, address: SocketAddrV4) -> Option<&mut TrackedTarget> {
        let index = self.position(address).ok()?;
        Some(&mut self.targets[index])
    }

    fn position(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.targets
            .binary_search_by_key(&address, |tracked| tracked.candidate.address)
    }

    fn keeps_target(&mut self, recent: &RecentInitial, now: Instant) -> bool {
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
        let selection = Selection {
            targets: &self.targets,
            eligible: &eligible,
            initial,
        };
        let index = selection.pick(self.options.policy, &mut self.round_robin_position, rng)?;
        let tracked = &mut self.targets[index];
        tracked.record_pick(now);
        tracked.credit -= 1.0;
        self.pick_rate.record(now);
        let candidate = tracked.candidate;
        self.recent_initials.insert(initial, &candidate, now);
        Some(Placement {
            target: candidate.address,
            incarnation: candidate.incarnation,
            unanswered_target,
        })
    }

    /// Returns the indexes of the targets that accept new flows. Suspected targets are included only
    /// if there are no others.
    fn eligible(&self, unanswered_target: Option<SocketAddrV4>, now: Instant) -> Vec<usize> {
        let (mut trusted, mut suspected) = (Vec::new(), Vec::new());
        for (index, tracked) in self.targets.iter().enumerate() {
            if !tracked.accepts_flows() {
                continue;
            }
            let is_avoided = unanswered_target == Some(tracked.candidate.address);
            if is_avoided || tracked.is_suspected(now) {
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

//! One queue per organisation; the organisation that had the fewest recent starts is next.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::ids::{OrganisationId, RequestId};
use crate::request::NotRunReason;

/// A start counts half after this time. Serving organisations in a plain ring has no memory of an
/// organisation whose queue is empty at times, and is no fairer than one queue for all if
/// organisations are many.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// An organisation without waiting requests is forgotten when its starts count less than this.
const FORGOTTEN_SCORE: f64 = 0.125;

/// The idle organisations that are kept without a look for ones to forget.
const RECENT_LEN: usize = 64;

/// The most idle organisations that are kept; beyond it all are forgotten.
const RECENT_LEN_MAX: usize = 4096;

/// After this many half-lives the scores are scaled down, so that they stay finite.
const RESCALE_HALF_LIVES: f64 = 64.0;

/// The place of an organisation's queue, valid while the queue holds a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueIndex(usize);

#[derive(Debug)]
struct OrganisationQueue {
    organisation: OrganisationId,
    score: f64,
    requests: VecDeque<(u64, RequestId)>,
}

/// The queues of all organisations that have waiting requests, and the scores of recent
/// organisations.
///
/// The score of an organisation is the number of its starts, each halved per half-life. Instead of
/// all scores that decay, the weight of a new start grows, which gives the same order.
#[derive(Debug)]
pub(super) struct FairQueue {
    origin: Instant,
    organisation_limit: usize,
    index: FastMap<OrganisationId, QueueIndex>,
    queues: Vec<Option<OrganisationQueue>>,
    vacant: Vec<usize>,
    recent: FastMap<OrganisationId, f64>,
    recent_limit: usize,
    arrivals: u64,
    len: u32,
}

impl FairQueue {
    /// Returns empty queues of at most `organisation_limit` requests each.
    pub(super) fn new(organisation_limit: u32, now: Instant) -> Self {
        Self {
            origin: now,
            organisation_limit: organisation_limit as usize,
            index: FastMap::default(),
            queues: Vec::new(),
            vacant: Vec::new(),
            recent: FastMap::default(),
            recent_limit: RECENT_LEN,
            arrivals: 0,
            len: 0,
        }
    }

    pub(super) fn set_organisation_limit(&mut self, organisation_limit: u32) {
        self.organisation_limit = organisation_limit as usize;
    }

    pub(super) fn len(&self) -> u32 {
        self.len
    }

    /// Returns the number of organisations that are remembered.
    pub(super) fn organisations(&self) -> usize {
        self.index.len() + self.recent.len()
    }

    /// Returns how many waiting requests would start before a new request of `organisation`.
    pub(super) fn ahead_of(&self, organisation: &OrganisationId, now: Instant) -> u32 {
        let weight = self.weight(now);
        let (own_score, own_len) = match self.index.get(organisation) {
            Some(index) => self.queue(*index).map_or((0.0, 0), |queue| {
                (
                    queue.score,
                    u32::try_from(queue.requests.len()).unwrap_or(u32::MAX),
                )
            }),
            None => (self.recent.get(organisation).copied().unwrap_or(0.0), 0),
        };
        let score = own_score + weight * f64::from(own_len);
        let others = self
            .waiting()
            .filter(|queue| queue.organisation != *organisation);
        let ahead = others.map(|queue| queue.starts_before(score, weight));
        own_len + ahead.sum::<u32>()
    }

    /// Returns all waiting requests in the order in which they would start.
    pub(super) fn in_order(&self, now: Instant) -> Vec<RequestId> {
        let weight = self.weight(now);
        let mut all = Vec::new();
        for queue in self.waiting() {
            let mut score = queue.score;
            for (arrival, request) in &queue.requests {
                all.push((score, *arrival, *request));
                score += weight;
            }
        }
        all.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        all.into_iter().map(|(_, _, request)| request).collect()
    }

    /// Adds a request to the end of its organisation's queue.
    pub(super) fn push(
        &mut self,
        organisation: &OrganisationId,
        request: RequestId,
    ) -> Result<QueueIndex, NotRunReason> {
        let index = match self.index.get(organisation) {
            Some(index) => *index,
            None => self.add_organisation(organisation),
        };
        let limit = self.organisation_limit;
        let arrival = self.arrivals;
        let Some(queue) = self.queues[index.0].as_mut() else {
            return Err(NotRunReason::QueueFull);
        };
        if queue.requests.len() >= limit {
            return Err(NotRunReason::QueueFull);
        }
        queue.requests.push_back((arrival, request));
        self.arrivals += 1;
        self.len += 1;
        Ok(index)
    }

    /// Returns the request whose turn it is.
    pub(super) fn front(&self) -> Option<RequestId> {
        let index = self.next_turn()?;
        let (_, request) = self.queue(index)?.requests.front()?;
        Some(*request)
    }

    /// Takes the request whose turn it is and counts a start of its organisation.
    pub(super) fn pop(&mut self, now: Instant) -> Option<RequestId> {
        self.rescale(now);
        let weight = self.weight(now);
        let index = self.next_turn()?;
        let queue = self.queues[index.0].as_mut()?;
        let (_, request) = queue.requests.pop_front()?;
        queue.score += weight;
        self.removed_one(index, weight);
        Some(request)
    }

    /// Counts a start of a request that did not wait in its organisation's queue.
    pub(super) fn count_start(&mut self, organisation: &OrganisationId, now: Instant) {
        self.rescale(now);
        let weight = self.weight(now);
        if let Some(index) = self.index.get(organisation) {
            if let Some(queue) = self.queues[index.0].as_mut() {
                queue.score += weight;
            }
            return;
        }
        let score = self.recent.get(organisation).copied().unwrap_or(0.0);
        self.remember(organisation.clone(), score + weight, weight);
    }

    /// Returns the newest request of the longest queue, if that is longer than the queue of
    /// `organisation` would be with one more request.
    pub(super) fn last_of_longer_queue(&self, organisation: &OrganisationId) -> Option<RequestId> {
        let index = self.index.get(organisation);
        let own = index.and_then(|index| self.queue(*index));
        let own_len = own.map_or(0, |queue| queue.requests.len());
        let newest = |queue: &OrganisationQueue| queue.requests.back().copied();
        let longest = self
            .waiting()
            .max_by_key(|queue| (queue.requests.len(), newest(queue)))?;
        if longest.requests.len() <= own_len + 1 {
            return None;
        }
        newest(longest).map(|(_, request)| request)
    }

    /// Removes a request from anywhere in a queue.
    pub(super) fn remove(&mut self, index: QueueIndex, request: RequestId, now: Instant) {
        let Some(queue) = self.queues[index.0].as_mut() else {
            return;
        };
        let Some(position) = queue.requests.iter().position(|(_, r)| *r == request) else {
            return;
        };
        queue.requests.remove(position);
        let weight = self.weight(now);
        self.removed_one(index, weight);
    }

    fn queue(&self, index: QueueIndex) -> Option<&OrganisationQueue> {
        self.queues[index.0].as_ref()
    }

    fn waiting(&self) -> impl Iterator<Item = &OrganisationQueue> {
        self.queues.iter().flatten()
    }

    /// Returns the queue with the lowest score; of equal ones, that with the oldest request.
    fn next_turn(&self) -> Option<QueueIndex> {
        let places = self.queues.iter().enumerate();
        let waiting = places.filter_map(|(place, queue)| Some((place, queue.as_ref()?)));
        let next = waiting.min_by(|(_, a), (_, b)| {
            let by_score = a.score.total_cmp(&b.score);
            by_score.then_with(|| a.requests.front().cmp(&b.requests.front()))
        });
        next.map(|(place, _)| QueueIndex(place))
    }

    fn weight(&self, now: Instant) -> f64 {
        self.half_lives(now).exp2()
    }

    fn half_lives(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.origin);
        elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()
    }

    fn rescale(&mut self, now: Instant) {
        let half_lives = self.half_lives(now);
        if half_lives < RESCALE_HALF_LIVES {
            return;
        }
        let scale = (-half_lives).exp2();
        self.origin = now;
        for queue in self.queues.iter_mut().flatten() {
            queue.score *= scale;
        }
        for score in self.recent.values_mut() {
            *score *= scale;
        }
    }

    fn add_organisation(&mut self, organisation: &OrganisationId) -> QueueIndex {
        let queue = Some(OrganisationQueue {
            organisation: organisation.clone(),
            score: self.recent.remove(organisation).unwrap_or(0.0),
            requests: VecDeque::new(),
        });
        let index = if let Some(place) = self.vacant.pop() {
            self.queues[place] = queue;
            QueueIndex(place)
        } else {
            self.queues.push(queue);
            QueueIndex(self.queues.len() - 1)
        };
        self.index.insert(organisation.clone(), index);
        index
    }

    /// Corrects the count after a request left a queue, and releases the queue if it is empty.
    fn removed_one(&mut self, index: QueueIndex, weight: f64) {
        self.len -= 1;
        let is_empty = self
            .queue(index)
            .is_some_and(|queue| queue.requests.is_empty());
        if !is_empty {
            return;
        }
        if let Some(queue) = self.queues[index.0].take() {
            self.index.remove(&queue.organisation);
            self.remember(queue.organisation, queue.score, weight);
        }
        self.vacant.push(index.0);
        if self.index.is_empty() {
            self.queues = Vec::new();
            self.vacant = Vec::new();
        }
    }

    /// Keeps the score of an idle organisation for as long as it counts.
    fn remember(&mut self, organisation: OrganisationId, score: f64, weight: f64) {
        let threshold = FORGOTTEN_SCORE * weight;
        if score >= threshold {
            self.recent.insert(organisation, score);
        }
        if self.recent.len() < self.recent_limit {
            return;
        }
        self.recent.retain(|_, score| *score >= threshold);
        if self.recent.len() >= RECENT_LEN_MAX {
            self.recent.clear();
        }
        self.recent.shrink_to(RECENT_LEN);
        self.recent_limit = (self.recent.len() * 2).clamp(RECENT_LEN, RECENT_LEN_MAX);
    }
}

impl OrganisationQueue {
    /// Returns how many of the waiting requests start before one with this score.
    fn starts_before(&self, score: f64, weight: f64) -> u32 {
        let mut own = self.score;
        let mut starts = 0;
        for _ in &self.requests {
            if own > score {
                break;
            }
            own += weight;
            starts += 1;
        }
        starts
    }
}

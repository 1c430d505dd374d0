//! One queue per organisation; the organisation with the fewest recent starts is served next.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::collections::FastMap;
use crate::ids::{OrganisationId, RequestId};
use crate::request::NotRunReason;

/// The weight of a start halves after this time. Plain round robin keeps no history of an
/// organisation whose queue is sometimes empty, so with many organisations it is no fairer than a
/// single queue.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// The score of an organisation without waiting requests is dropped when it falls below this value.
const MIN_IDLE_SCORE: f64 = 0.125;

/// The number of idle organisations below which no scan for low scores takes place.
const IDLE_SCAN_LEN: usize = 64;

/// The maximum number of idle organisations; when it is exceeded, all their scores are dropped.
const IDLE_LEN_MAX: usize = 4096;

/// The scores are scaled down after this many half-lives, so that they stay finite.
const RESCALE_HALF_LIVES: f64 = 64.0;

/// The index of an organisation's queue, valid as long as the queue holds a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueIndex(usize);

#[derive(Debug)]
struct OrganisationQueue {
    organisation: OrganisationId,
    score: f64,
    requests: VecDeque<(u64, RequestId)>,
}

/// The queues of all organisations with waiting requests, and the scores of idle organisations.
///
/// The score of an organisation is the number of its starts, where each start loses half of its
/// weight per half-life. The weight of a new start grows instead of all scores being decayed, which
/// gives the same order.
#[derive(Debug)]
pub(super) struct FairQueue {
    origin: Instant,
    organisation_limit: usize,
    index: FastMap<OrganisationId, QueueIndex>,
    queues: Vec<Option<OrganisationQueue>>,
    free_indexes: Vec<usize>,
    idle_scores: FastMap<OrganisationId, f64>,
    idle_scan_len: usize,
    arrivals: u64,
    len: u32,
}

impl FairQueue {
    /// Returns an empty set of queues that hold at most `organisation_limit` requests each.
    pub(super) fn new(organisation_limit: u32, now: Instant) -> Self {
        Self {
            origin: now,
            organisation_limit: organisation_limit as usize,
            index: FastMap::default(),
            queues: Vec::new(),
            free_indexes: Vec::new(),
            idle_scores: FastMap::default(),
            idle_scan_len: IDLE_SCAN_LEN,
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

    /// Returns the number of organisations with a queue or a score.
    pub(super) fn organisations(&self) -> usize {
        self.index.len() + self.idle_scores.len()
    }

    /// Returns how many waiting requests would start before a new request of `organisation`.
    pub(super) fn count_ahead(&self, organisation: &OrganisationId, now: Instant) -> u32 {
        let weight = self.weight(now);
        let (own_score, own_len) = match self.index.get(organisation) {
            Some(index) => self.queue(*index).map_or((0.0, 0), |queue| {
                (
                    queue.score,
                    u32::try_from(queue.requests.len()).unwrap_or(u32::MAX),
                )
            }),
            None => (
                self.idle_scores.get(organisation).copied().unwrap_or(0.0),
                0,
            ),
        };
        let score = own_score + weight * f64::from(own_len);
        let others = self
            .waiting()
            .filter(|queue| queue.organisation != *organisation);
        let ahead = others.map(|queue| queue.count_started_before(score, weight));
        own_len + ahead.sum::<u32>()
    }

    /// Returns all waiting requests in the order in which they would start.
    pub(super) fn in_start_order(&self, now: Instant) -> Vec<RequestId> {
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

    /// Appends a request to the queue of its organisation, or returns `QueueFull`.
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

    /// Returns the request that starts next.
    pub(super) fn front(&self) -> Option<RequestId> {
        let index = self.next_queue()?;
        let (_, request) = self.queue(index)?.requests.front()?;
        Some(*request)
    }

    /// Removes the request that starts next and counts a start of its organisation.
    pub(super) fn pop(&mut self, now: Instant) -> Option<RequestId> {
        self.rescale(now);
        let weight = self.weight(now);
        let index = self.next_queue()?;
        let queue = self.queues[index.0].as_mut()?;
        let (_, request) = queue.requests.pop_front()?;
        queue.score += weight;
        self.after_removal(index, weight);
        Some(request)
    }

    /// Counts a start of a request that was not queued.
    pub(super) fn count_start(&mut self, organisation: &OrganisationId, now: Instant) {
        self.rescale(now);
        let weight = self.weight(now);
        if let Some(index) = self.index.get(organisation) {
            if let Some(queue) = self.queues[index.0].as_mut() {
                queue.score += weight;
            }
            return;
        }
        let score = self.idle_scores.get(organisation).copied().unwrap_or(0.0);
        self.keep_idle_score(organisation.clone(), score + weight, weight);
    }

    /// Returns the newest request of the longest queue, provided that this queue is longer than the
    /// queue of `organisation` would be with one more request.
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

    /// Removes a request at any position of a queue.
    pub(super) fn remove(&mut self, index: QueueIndex, request: RequestId, now: Instant) {
        let Some(queue) = self.queues[index.0].as_mut() else {
            return;
        };
        let Some(position) = queue.requests.iter().position(|(_, r)| *r == request) else {
            return;
        };
        queue.requests.remove(position);
        let weight = self.weight(now);
        self.after_removal(index, weight);
    }

    fn queue(&self, index: QueueIndex) -> Option<&OrganisationQueue> {
        self.queues[index.0].as_ref()
    }

    fn waiting(&self) -> impl Iterator<Item = &OrganisationQueue> {
        self.queues.iter().flatten()
    }

    /// Returns the queue with the lowest score; among equals, the one with the oldest request.
    fn next_queue(&self) -> Option<QueueIndex> {
        let entries = self.queues.iter().enumerate();
        let waiting = entries.filter_map(|(index, queue)| Some((index, queue.as_ref()?)));
        let next = waiting.min_by(|(_, a), (_, b)| {
            let by_score = a.score.total_cmp(&b.score);
            by_score.then_with(|| a.requests.front().cmp(&b.requests.front()))
        });
        next.map(|(index, _)| QueueIndex(index))
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
        for score in self.idle_scores.values_mut() {
            *score *= scale;
        }
    }

    fn add_organisation(&mut self, organisation: &OrganisationId) -> QueueIndex {
        let queue = Some(OrganisationQueue {
            organisation: organisation.clone(),
            score: self.idle_scores.remove(organisation).unwrap_or(0.0),
            requests: VecDeque::new(),
        });
        let index = if let Some(free) = self.free_indexes.pop() {
            self.queues[free] = queue;
            QueueIndex(free)
        } else {
            self.queues.push(queue);
            QueueIndex(self.queues.len() - 1)
        };
        self.index.insert(organisation.clone(), index);
        index
    }

    /// Updates the length after a request was removed, and releases its queue if it is empty.
    fn after_removal(&mut self, index: QueueIndex, weight: f64) {
        self.len -= 1;
        let is_empty = self
            .queue(index)
            .is_some_and(|queue| queue.requests.is_empty());
        if !is_empty {
            return;
        }
        if let Some(queue) = self.queues[index.0].take() {
            self.index.remove(&queue.organisation);
            self.keep_idle_score(queue.organisation, queue.score, weight);
        }
        self.free_indexes.push(index.0);
        if self.index.is_empty() {
            self.queues = Vec::new();
            self.free_indexes = Vec::new();
        }
    }

    /// Keeps the score of an idle organisation until it falls below [`MIN_IDLE_SCORE`].
    fn keep_idle_score(&mut self, organisation: OrganisationId, score: f64, weight: f64) {
        let threshold = MIN_IDLE_SCORE * weight;
        if score >= threshold {
            self.idle_scores.insert(organisation, score);
        }
        if self.idle_scores.len() < self.idle_scan_len {
            return;
        }
        self.idle_scores.retain(|_, score| *score >= threshold);
        if self.idle_scores.len() >= IDLE_LEN_MAX {
            self.idle_scores.clear();
        }
        self.idle_scores.shrink_to(IDLE_SCAN_LEN);
        self.idle_scan_len = (self.idle_scores.len() * 2).clamp(IDLE_SCAN_LEN, IDLE_LEN_MAX);
    }
}

impl OrganisationQueue {
    /// Returns how many of the waiting requests start before one whose organisation has this score.
    fn count_started_before(&self, score: f64, weight: f64) -> u32 {
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

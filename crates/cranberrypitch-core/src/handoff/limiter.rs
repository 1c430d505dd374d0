//! A rate limit for messages.

use std::time::Instant;

/// The burst size, as the time in which the bucket is filled.
const BURST_SECONDS: f64 = 0.25;

/// The number of tokens that only offers and declines may use. Notices can be delayed, whereas a
/// reserved slot is idle until its message has been sent.
const RESERVED_TOKENS: f64 = 4.0;

/// A token bucket; each message takes one token.
#[derive(Debug)]
pub(super) struct RateLimiter {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    pub(super) fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            tokens: per_second * BURST_SECONDS,
            refilled_at: now,
        }
    }

    /// Takes a token, and returns whether one was left.
    pub(super) fn try_take(&mut self, now: Instant) -> bool {
        self.take_above(0.0, now)
    }

    /// Takes a token unless only reserved ones are left, and returns whether it was taken.
    pub(super) fn try_take_unreserved(&mut self, now: Instant) -> bool {
        self.take_above(RESERVED_TOKENS, now)
    }

    fn take_above(&mut self, reserved_tokens: f64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.tokens + elapsed.as_secs_f64() * self.per_second;
        self.tokens = refilled.min(self.per_second * BURST_SECONDS);
        self.refilled_at = self.refilled_at.max(now);
        let may_take = self.tokens >= reserved_tokens + 1.0;
        if may_take {
            self.tokens -= 1.0;
        }
        may_take
    }
}

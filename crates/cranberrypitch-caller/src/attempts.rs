//! The attempts of one request, within its deadline.

use std::time::{Duration, Instant};

use crate::errors::{Error, Result};

/// Redirects that one request follows before it treats the next one as a refusal.
const MAX_REDIRECTS: u32 = 3;

/// The first pause after an attempt that did not run; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause between attempts.
const MAX_PAUSE: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(crate) struct Attempts {
    deadline: Instant,
    pause: Duration,
    made: u32,
    redirects: u32,
}

impl Attempts {
    pub(crate) fn start(deadline: Duration) -> Self {
        let deadline = Instant::now() + deadline;
        Self {
            deadline,
            pause: FIRST_PAUSE,
            made: 0,
            redirects: 0,
        }
    }

    pub(crate) const fn count(&mut self) {
        self.made += 1;
    }

    pub(crate) const fn made(&self) -> u32 {
        self.made
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(crate) const fn may_follow_redirect(&mut self) -> bool {
        self.redirects += 1;
        self.redirects <= MAX_REDIRECTS
    }

    /// Pauses before the next attempt. Returns false when the deadline leaves no time for one.
    pub(crate) async fn pause(&mut self) -> bool {
        if self.remaining() <= self.pause {
            return false;
        }
        tokio::time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        true
    }

    /// Pauses after an attempt that failed before anything could run.
    pub(crate) async fn pause_after_error(&mut self, error: Error) -> Result<()> {
        if self.pause().await {
            Ok(())
        } else {
            Err(error)
        }
    }
}

//! The wait after failed calls to the store.

use std::time::Duration;

use cranberrypitch_core::flow::retry_wait;
use cranberrypitch_net::store::{Error as StoreError, StoreKey};
use rand::RngExt;
use tokio::time::sleep;

/// The shortest wait as a fraction of the longest. The jitter keeps daemons that fail together from
/// retrying at the same time.
const MIN_JITTER: f64 = 0.5;

/// Exponential backoff after failed calls to the store.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    consecutive_failures: u32,
    has_succeeded: bool,
}

impl Backoff {
    /// Resets the backoff after a successful call on `what`, a key or a prefix.
    pub(crate) fn reset(&mut self, what: &StoreKey) {
        self.has_succeeded = true;
        if std::mem::take(&mut self.consecutive_failures) > 0 {
            tracing::info!(target: crate::log::TARGET, event = "StoreRegained", %what);
        }
    }

    /// Waits after a failed call on `what`, a key or a prefix.
    pub(crate) async fn wait(&mut self, what: &StoreKey, error: &StoreError) {
        if self.consecutive_failures == 0 {
            tracing::warn!(target: crate::log::TARGET, event = "StoreLost", %what, %error);
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        sleep(self.next_wait()).await;
    }

    fn next_wait(&self) -> Duration {
        let longest = retry_wait(self.consecutive_failures, self.has_succeeded);
        longest.mul_f64(rand::rng().random_range(MIN_JITTER..=1.0))
    }
}

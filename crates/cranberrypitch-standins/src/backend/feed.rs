//! Feeds of readings.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use cranberrypitch_core::RequestClass;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::answer::FeedPart;
use super::journal::RunOutcome;
use super::server::Server;

/// Readings that wait for the connection to take them.
const READINGS_IN_FLIGHT: usize = 16;

/// The wait before a cut: hyper drops what it has not written yet when a body fails.
const FLUSH_PAUSE: Duration = Duration::from_millis(20);

/// Returns a reading as a JSON text, which depends on nothing but the seed and its number.
pub fn reading(feed_seed: u64, sequence: u64) -> String {
    // An odd multiplier keeps the generators of neighbouring readings apart.
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let seed = feed_seed ^ sequence.wrapping_mul(MULTIPLIER);
    let value: u32 = Pcg64::seed_from_u64(seed).random_range(0..1_000_000);
    format!("{{\"sequence\":{sequence},\"value\":{value}}}")
}

/// Who opened a feed.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Subscriber {
    pub(crate) request_id: Box<str>,
    #[serde(rename = "tenant")]
    pub(crate) organisation: Box<str>,
}

impl Server {
    /// Returns the number of the newest reading.
    pub(crate) fn newest_reading(&self) -> u64 {
        let age = SystemTime::now()
            .duration_since(self.options.feed_epoch)
            .unwrap_or_default();
        let number = age.as_nanos() / self.options.reading_interval.as_nanos();
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    /// Returns how long it takes until a reading exists.
    fn time_until(&self, sequence: u64) -> Duration {
        let interval_ns = self.options.reading_interval.as_nanos();
        let due_ns = u128::from(sequence) * interval_ns;
        // A reading that is further away than this can hold is never due.
        let due = u64::try_from(due_ns).map_or(Duration::MAX, Duration::from_nanos);
        let age = SystemTime::now()
            .duration_since(self.options.feed_epoch)
            .unwrap_or_default();
        due.saturating_sub(age)
    }

    /// Opens a feed at a reading.
    pub(crate) fn open_feed(
        self: &Arc<Self>,
        first: u64,
        subscriber: Subscriber,
    ) -> mpsc::Receiver<FeedPart> {
        let (sender, receiver) = mpsc::channel(READINGS_IN_FLIGHT);
        let server = Arc::clone(self);
        self.spawn_task(async move {
            let Subscriber {
                request_id,
                organisation,
            } = subscriber;
            let record = server
                .journal
                .start(RequestClass::Feed, request_id, organisation, None);
            let outcome = tokio::select! {
                outcome = server.send_readings(first, &sender) => outcome,
                () = sender.closed() => RunOutcome::Done,
            };
            record.finish(outcome);
        });
        receiver
    }

    async fn send_readings(&self, first: u64, sender: &mpsc::Sender<FeedPart>) -> RunOutcome {
        let mut sequence = first;
        let mut sent = 0;
        loop {
            let (cut_after, gap_after) = {
                let faults = self.faults.borrow();
                (
                    faults.feed_abort_after_readings,
                    faults.feed_gap_after_readings,
                )
            };
            if self.options.feed_len == Some(sent) {
                let _closed = sender.send(FeedPart::End).await;
                return RunOutcome::Done;
            }
            if cut_after.is_some_and(|after| sent >= after) {
                sleep(FLUSH_PAUSE).await;
                return RunOutcome::Interrupted;
            }
            if gap_after == Some(sent) {
                sequence += 1;
            }
            sleep(self.time_until(sequence)).await;
            self.thawed().await;
            let line = reading(self.options.feed_seed, sequence) + "\n";
            if sender.send(FeedPart::Reading(line.into())).await.is_err() {
                return RunOutcome::Done;
            }
            sequence += 1;
            sent += 1;
        }
    }
}

//! Feeds, which are streams of numbered readings.

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

/// The number of readings that are buffered for one connection.
const FEED_CHANNEL_CAPACITY: usize = 16;

/// The delay before a feed is aborted, since hyper drops the data that is not yet written when a body
/// fails.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Returns the reading with a sequence number as JSON. The same arguments give the same reading on
/// every server.
pub fn reading_json(feed_seed: u64, sequence: u64) -> String {
    // An odd multiplier gives consecutive readings distinct seeds.
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let seed = feed_seed ^ sequence.wrapping_mul(MULTIPLIER);
    let value: u32 = Pcg64::seed_from_u64(seed).random_range(0..1_000_000);
    format!("{{\"sequence\":{sequence},\"value\":{value}}}")
}

/// The request that opened a feed.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Subscriber {
    pub(crate) request_id: Box<str>,
    #[serde(rename = "tenant")]
    pub(crate) organisation: Box<str>,
}

impl Server {
    /// Returns the sequence number of the newest reading.
    pub(crate) fn newest_reading(&self) -> u64 {
        let age = SystemTime::now()
            .duration_since(self.options.feed_epoch)
            .unwrap_or_default();
        let number = age.as_nanos() / self.options.reading_interval.as_nanos();
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    /// Returns the time until a reading is due, or zero if it is.
    fn time_until_reading(&self, sequence: u64) -> Duration {
        let interval_ns = self.options.reading_interval.as_nanos();
        let due_ns = u128::from(sequence) * interval_ns;
        // A time that doesn't fit into 64 bits of nanoseconds counts as never.
        let due = u64::try_from(due_ns).map_or(Duration::MAX, Duration::from_nanos);
        let age = SystemTime::now()
            .duration_since(self.options.feed_epoch)
            .unwrap_or_default();
        due.saturating_sub(age)
    }

    /// Starts a feed with the reading `first_sequence` and records it in the journal.
    pub(crate) fn open_feed(
        self: &Arc<Self>,
        first_sequence: u64,
        subscriber: Subscriber,
    ) -> mpsc::Receiver<FeedPart> {
        let (sender, receiver) = mpsc::channel(FEED_CHANNEL_CAPACITY);
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
                outcome = server.send_readings(first_sequence, &sender) => outcome,
                () = sender.closed() => RunOutcome::Done,
            };
            record.finish(outcome);
        });
        receiver
    }

    async fn send_readings(
        &self,
        first_sequence: u64,
        sender: &mpsc::Sender<FeedPart>,
    ) -> RunOutcome {
        let mut sequence = first_sequence;
        let mut sent_readings = 0;
        loop {
            let (abort_after, gap_after) = {
                let faults = self.faults.borrow();
                (
                    faults.feed_abort_after_readings,
                    faults.feed_gap_after_readings,
                )
            };
            if self.options.readings_per_feed == Some(sent_readings) {
                let _result = sender.send(FeedPart::End).await;
                return RunOutcome::Done;
            }
            if abort_after.is_some_and(|readings| sent_readings >= readings) {
                sleep(FLUSH_DELAY).await;
                return RunOutcome::Interrupted;
            }
            if gap_after == Some(sent_readings) {
                sequence += 1;
            }
            sleep(self.time_until_reading(sequence)).await;
            self.wait_until_unfrozen().await;
            let line = reading_json(self.options.feed_seed, sequence) + "\n";
            if sender.send(FeedPart::Reading(line.into())).await.is_err() {
                return RunOutcome::Done;
            }
            sequence += 1;
            sent_readings += 1;
        }
    }
}

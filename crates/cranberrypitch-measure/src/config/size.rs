//! Bytes and busy time of one change, for each number of shards.

use std::time::{Duration, Instant};

use cranberrypitch_core::acceptance::{ConfigReplica, ConfigUpdate};
use cranberrypitch_core::config::{ConfigEdit, ConfigText, Shard, ShardCount};
use cranberrypitch_core::{EditId, Revision, Slots};
use serde::Serialize;

use crate::config::Result;

/// The control budget of a daemon.
const BUDGET_BYTES_PER_S: f64 = 20_000.0;

/// The changes of a day in two years.
const CHANGES_PER_S: f64 = 42_000.0 / 86_400.0;

/// The repetitions of each timed step; the least time counts, as it is the least disturbed.
const REPETITIONS: usize = 3;

/// The sizes with one number of services and one number of shards.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SizeRow {
    /// The number of services.
    pub services: usize,
    /// The number of shards.
    pub shards: usize,
    /// Whether this is the number that is chosen for the size.
    pub chosen: bool,
    /// All shards, in bytes.
    pub text_bytes: usize,
    /// All shards, in bytes per service.
    pub bytes_per_service: f64,
    /// The head in the store, in bytes.
    pub head_bytes: usize,
    /// The longest shard, in bytes.
    pub longest_shard_bytes: usize,
    /// A change of one service on its way between two processes, in bytes.
    pub delta_bytes: usize,
    /// The head and all shards on their way between two processes, in bytes.
    pub full_bytes: usize,
    /// What a watcher reads from the store for one change, in bytes of JSON with base64.
    pub watcher_bytes: usize,
    /// The calls that an operator makes for one change.
    pub operator_calls: usize,
    /// All changes of a day as deltas, in bytes a second for each receiver.
    pub delta_bytes_per_s: f64,
    /// All changes of a day at a watcher, in bytes a second.
    pub watcher_bytes_per_s: f64,
    /// A full transfer at the control budget, in seconds.
    pub full_transfer_s: f64,
    /// The shards that a change needs which also doubles the number of shards.
    pub lacking_after_doubling: usize,
    /// Busy times on one thread.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub busy: Option<Busy>,
}

/// Busy times on one thread, in microseconds: the least of a few repetitions.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Busy {
    /// The operator reads and checks the text.
    pub check_us: f64,
    /// The operator splits the text and plans the edit.
    pub plan_us: f64,
    /// A watcher decodes a head and brings it in force.
    pub head_us: f64,
    /// A receiver brings a delta in force.
    pub delta_us: f64,
    /// A sender collects a delta.
    pub collect_us: f64,
    /// A receiver brings a full transfer in force.
    pub full_us: f64,
    /// A receiver brings a full transfer in force, per service.
    pub full_us_per_service: f64,
}

/// Two configurations that differ in one service.
struct Step {
    older: ConfigEdit,
    newer: ConfigEdit,
    newer_text: ConfigText,
}

impl Step {
    fn new(text: &ConfigText, count: ShardCount) -> Result<Self> {
        let older = ConfigEdit::with_shard_count(text, None, EditId::new(1), count)?;
        let mut newer_text = text.clone();
        let middle = text.services.len() / 2;
        newer_text.services[middle].slots = Slots::new(1000);
        let newer =
            ConfigEdit::with_shard_count(&newer_text, Some(&older.head), EditId::new(2), count)?;
        Ok(Self {
            older,
            newer,
            newer_text,
        })
    }

    /// Returns a process with the older or also the newer configuration in force.
    fn process(&self, up_to_date: bool) -> Result<ConfigReplica> {
        let mut process = ConfigReplica::new();
        bring(&mut process, &self.older)?;
        if up_to_date {
            bring(&mut process, &self.newer)?;
        }
        Ok(process)
    }
}

fn bring(process: &mut ConfigReplica, edit: &ConfigEdit) -> Result<()> {
    process.apply_head(edit.head.clone())?;
    for shard in &edit.shards {
        process.apply_shard(shard.encoded())?;
    }
    Ok(())
}

/// Measures a text with the chosen number of shards and with others around it.
pub(super) fn measure(text: &ConfigText, times: bool) -> Result<Vec<SizeRow>> {
    let chosen = ConfigEdit::plan(text, None, EditId::new(1))?.shards.len();
    let mut rows = Vec::new();
    for count in [chosen / 16, chosen / 4, chosen, chosen * 4] {
        let Ok(count) = ShardCount::try_new(count) else {
            continue;
        };
        rows.push(measure_count(text, count, chosen, times)?);
    }
    Ok(rows)
}

fn measure_count(
    text: &ConfigText,
    count: ShardCount,
    chosen: usize,
    times: bool,
) -> Result<SizeRow> {
    let step = Step::new(text, count)?;
    let lengths = step.newer.shards.iter().map(|s| s.encoded().len());
    let text_bytes: usize = lengths.clone().sum();
    let head_bytes = step.newer.head.encode()?.len();
    let sender = step.process(true)?;
    let Some(delta) = sender.update_since(Revision::new(1)) else {
        unreachable!("the newer revision is in force");
    };
    let delta_bytes = cbor_len(&delta)?;
    let changed = step.newer.new_shards(Some(&step.older.head));
    let watcher_bytes = base64_len(head_bytes)
        + changed
            .iter()
            .map(|s| base64_len(s.encoded().len()))
            .sum::<usize>();
    let full_bytes = text_bytes + head_bytes;
    Ok(SizeRow {
        services: text.services.len(),
        shards: count.get(),
        chosen: count.get() == chosen,
        text_bytes,
        bytes_per_service: ratio(text_bytes, text.services.len()),
        head_bytes,
        longest_shard_bytes: lengths.max().unwrap_or(0),
        delta_bytes,
        full_bytes,
        watcher_bytes,
        operator_calls: 2 + 3 * changed.len(),
        delta_bytes_per_s: ratio(delta_bytes, 1) * CHANGES_PER_S,
        watcher_bytes_per_s: ratio(watcher_bytes, 1) * CHANGES_PER_S,
        full_transfer_s: ratio(full_bytes, 1) / BUDGET_BYTES_PER_S,
        lacking_after_doubling: lacking_after_doubling(&step, count)?,
        busy: times
            .then(|| measure_busy(&step, &sender, &delta))
            .transpose()?,
    })
}

fn lacking_after_doubling(step: &Step, count: ShardCount) -> Result<usize> {
    let Ok(doubled) = ShardCount::try_new(count.get() * 2) else {
        return Ok(0);
    };
    let older = Some(&step.older.head);
    let edit = ConfigEdit::with_shard_count(&step.newer_text, older, EditId::new(2), doubled)?;
    let mut process = step.process(false)?;
    process.apply_head(edit.head)?;
    Ok(process.missing_shards().len())
}

fn measure_busy(step: &Step, sender: &ConfigReplica, delta: &ConfigUpdate) -> Result<Busy> {
    let json = serde_json::to_string(&step.newer_text)?;
    let check = least_time(|| ConfigText::parse(&json).map(drop).map_err(Into::into))?;
    let older = Some(&step.older.head);
    let plan = least_time(|| {
        ConfigEdit::plan(&step.newer_text, older, EditId::new(2))
            .map(drop)
            .map_err(Into::into)
    })?;
    let encoded = step.newer.head.encode()?;
    let changed = step.newer.new_shards(older);
    let head = least_time_with(
        || step.process(false),
        |process| {
            process.apply_head(cranberrypitch_core::config::ConfigHead::decode(&encoded)?)?;
            offer_all(process, changed.iter().map(|s| &**s))
        },
    )?;
    let received = least_time_with(
        || step.process(false),
        |process| {
            process
                .apply_update(delta.clone())
                .map(drop)
                .map_err(Into::into)
        },
    )?;
    let collect = least_time(|| {
        drop(sender.update_since(Revision::new(1)));
        Ok(())
    })?;
    let full = least_time_with(
        || Ok(ConfigReplica::new()),
        |process| {
            process.apply_head(step.newer.head.clone())?;
            offer_all(process, step.newer.shards.iter().map(|s| &**s))
        },
    )?;
    let services = step.newer_text.services.len();
    Ok(Busy {
        check_us: micros(check),
        plan_us: micros(plan),
        head_us: micros(head),
        delta_us: micros(received),
        collect_us: micros(collect),
        full_us: micros(full),
        full_us_per_service: micros(full) / ratio(services, 1),
    })
}

fn offer_all<'a>(
    process: &mut ConfigReplica,
    shards: impl Iterator<Item = &'a Shard>,
) -> Result<()> {
    for shard in shards {
        process.apply_shard(shard.encoded())?;
    }
    Ok(())
}

fn least_time(mut work: impl FnMut() -> Result<()>) -> Result<Duration> {
    least_time_with(|| Ok(()), |()| work())
}

fn least_time_with<T>(
    prepare: impl Fn() -> Result<T>,
    mut work: impl FnMut(&mut T) -> Result<()>,
) -> Result<Duration> {
    let mut least = Duration::MAX;
    for _ in 0..REPETITIONS {
        let mut input = prepare()?;
        let start = Instant::now();
        work(&mut input)?;
        least = least.min(start.elapsed());
    }
    Ok(least)
}

fn cbor_len(update: &ConfigUpdate) -> Result<usize> {
    let mut bytes = Vec::new();
    ciborium::into_writer(update, &mut bytes)?;
    Ok(bytes.len())
}

const fn base64_len(len_bytes: usize) -> usize {
    len_bytes.div_ceil(3) * 4
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

#[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
fn ratio(value: usize, by: usize) -> f64 {
    value as f64 / by as f64
}

//! The encoded size of a configuration and of one change, and the time to apply the change, for several
//! numbers of shards.

use std::time::{Duration, Instant};

use cranberrypitch_core::acceptance::{ConfigReplica, ConfigUpdate};
use cranberrypitch_core::config::{ConfigEdit, ConfigText, Shard, ShardCount};
use cranberrypitch_core::{EditId, Revision, Slots};
use serde::Serialize;

use crate::config::Result;

/// The control-plane bandwidth budget of a daemon.
const CONTROL_BUDGET_BYTES_PER_S: f64 = 20_000.0;

/// The rate of changes that is planned for in two years: 42,000 a day.
const CHANGES_PER_S: f64 = 42_000.0 / 86_400.0;

/// The repetitions of each timed step; the minimum is reported, as it has the least interference.
const REPETITIONS: usize = 3;

/// The sizes for one number of services and one number of shards.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SizeRow {
    /// The number of services.
    pub services: usize,
    /// The number of shards.
    pub shards: usize,
    /// Whether this is the number of shards that the core selects for the number of services.
    #[serde(rename = "chosen")]
    pub is_default_shard_count: bool,
    /// The total length of all shards, in bytes.
    pub text_bytes: usize,
    /// The total length of all shards, in bytes per service.
    pub bytes_per_service: f64,
    /// The length of the head in the store, in bytes.
    pub head_bytes: usize,
    /// The length of the longest shard, in bytes.
    pub longest_shard_bytes: usize,
    /// The length of the CBOR delta for a change of one service, in bytes.
    pub delta_bytes: usize,
    /// The length of the head and all shards in a full transfer, in bytes.
    pub full_bytes: usize,
    /// The base64 length that a watcher reads from the store for one change, in bytes.
    pub watcher_bytes: usize,
    /// The number of store calls that the operator's command makes for one change.
    pub operator_calls: usize,
    /// The bandwidth of all changes as deltas, in bytes per second and receiver.
    pub delta_bytes_per_s: f64,
    /// The bandwidth of all changes at a watcher, in bytes per second.
    pub watcher_bytes_per_s: f64,
    /// The duration of a full transfer at the control-plane budget, in seconds.
    pub full_transfer_s: f64,
    /// The number of shards that a process must fetch for a change that also doubles the number of
    /// shards.
    #[serde(rename = "lacking_after_doubling")]
    pub missing_shards_after_doubling: usize,
    /// The times of single steps, if they were measured.
    #[serde(rename = "busy", skip_serializing_if = "Option::is_none")]
    pub step_times: Option<StepTimes>,
}

/// The times of single steps on one thread, in microseconds: minima of a few repetitions.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StepTimes {
    /// The time to parse and validate the configuration text, at the operator.
    pub check_us: f64,
    /// The time to split the text into shards and plan the edit, at the operator.
    pub plan_us: f64,
    /// The time to decode a head and apply it with its changed shards, at a watcher.
    pub head_us: f64,
    /// The time to apply a delta, at a receiver.
    pub delta_us: f64,
    /// The time to collect a delta, at a sender.
    pub collect_us: f64,
    /// The time to apply a full transfer, at a receiver.
    pub full_us: f64,
    /// The time to apply a full transfer, per service.
    pub full_us_per_service: f64,
}

/// Two configurations that differ in one service.
struct ConfigChange {
    older: ConfigEdit,
    newer: ConfigEdit,
    newer_text: ConfigText,
}

impl ConfigChange {
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

    /// Creates a replica with the older configuration in force, or also with the newer one.
    fn replica(&self, includes_change: bool) -> Result<ConfigReplica> {
        let mut replica = ConfigReplica::new();
        apply_edit(&mut replica, &self.older)?;
        if includes_change {
            apply_edit(&mut replica, &self.newer)?;
        }
        Ok(replica)
    }
}

fn apply_edit(replica: &mut ConfigReplica, edit: &ConfigEdit) -> Result<()> {
    replica.apply_head(edit.head.clone())?;
    for shard in &edit.shards {
        replica.apply_shard(shard.encoded())?;
    }
    Ok(())
}

/// Measures a configuration text with the default number of shards and with smaller and larger ones.
pub(super) fn measure(text: &ConfigText, measures_times: bool) -> Result<Vec<SizeRow>> {
    let default_count = ConfigEdit::plan(text, None, EditId::new(1))?.shards.len();
    let mut rows = Vec::new();
    for count in [
        default_count / 16,
        default_count / 4,
        default_count,
        default_count * 4,
    ] {
        let Ok(count) = ShardCount::try_new(count) else {
            continue;
        };
        rows.push(measure_count(text, count, default_count, measures_times)?);
    }
    Ok(rows)
}

fn measure_count(
    text: &ConfigText,
    count: ShardCount,
    default_count: usize,
    measures_times: bool,
) -> Result<SizeRow> {
    let change = ConfigChange::new(text, count)?;
    let lengths = change.newer.shards.iter().map(|s| s.encoded().len());
    let text_bytes: usize = lengths.clone().sum();
    let head_bytes = change.newer.head.encode()?.len();
    let sender = change.replica(true)?;
    let Some(delta) = sender.update_since(Revision::new(1)) else {
        unreachable!("the newer revision is in force");
    };
    let delta_bytes = cbor_len(&delta)?;
    let changed = change.newer.new_shards(Some(&change.older.head));
    let watcher_bytes = base64_len(head_bytes)
        + changed
            .iter()
            .map(|s| base64_len(s.encoded().len()))
            .sum::<usize>();
    let full_bytes = text_bytes + head_bytes;
    Ok(SizeRow {
        services: text.services.len(),
        shards: count.get(),
        is_default_shard_count: count.get() == default_count,
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
        full_transfer_s: ratio(full_bytes, 1) / CONTROL_BUDGET_BYTES_PER_S,
        missing_shards_after_doubling: missing_shards_after_doubling(&change, count)?,
        step_times: measures_times
            .then(|| measure_step_times(&change, &sender, &delta))
            .transpose()?,
    })
}

fn missing_shards_after_doubling(change: &ConfigChange, count: ShardCount) -> Result<usize> {
    let Ok(doubled) = ShardCount::try_new(count.get() * 2) else {
        return Ok(0);
    };
    let older = Some(&change.older.head);
    let edit = ConfigEdit::with_shard_count(&change.newer_text, older, EditId::new(2), doubled)?;
    let mut replica = change.replica(false)?;
    replica.apply_head(edit.head)?;
    Ok(replica.missing_shards().len())
}

fn measure_step_times(
    change: &ConfigChange,
    sender: &ConfigReplica,
    delta: &ConfigUpdate,
) -> Result<StepTimes> {
    let json = serde_json::to_string(&change.newer_text)?;
    let check = min_time(|| ConfigText::parse(&json).map(drop).map_err(Into::into))?;
    let older = Some(&change.older.head);
    let plan = min_time(|| {
        ConfigEdit::plan(&change.newer_text, older, EditId::new(2))
            .map(drop)
            .map_err(Into::into)
    })?;
    let encoded = change.newer.head.encode()?;
    let changed = change.newer.new_shards(older);
    let apply_head = min_time_with(
        || change.replica(false),
        |replica| {
            replica.apply_head(cranberrypitch_core::config::ConfigHead::decode(&encoded)?)?;
            apply_shards(replica, changed.iter().map(|s| &**s))
        },
    )?;
    let apply_delta = min_time_with(
        || change.replica(false),
        |replica| {
            replica
                .apply_update(delta.clone())
                .map(drop)
                .map_err(Into::into)
        },
    )?;
    let collect = min_time(|| {
        drop(sender.update_since(Revision::new(1)));
        Ok(())
    })?;
    let apply_full = min_time_with(
        || Ok(ConfigReplica::new()),
        |replica| {
            replica.apply_head(change.newer.head.clone())?;
            apply_shards(replica, change.newer.shards.iter().map(|s| &**s))
        },
    )?;
    let services = change.newer_text.services.len();
    Ok(StepTimes {
        check_us: to_us(check),
        plan_us: to_us(plan),
        head_us: to_us(apply_head),
        delta_us: to_us(apply_delta),
        collect_us: to_us(collect),
        full_us: to_us(apply_full),
        full_us_per_service: to_us(apply_full) / ratio(services, 1),
    })
}

fn apply_shards<'a>(
    replica: &mut ConfigReplica,
    shards: impl Iterator<Item = &'a Shard>,
) -> Result<()> {
    for shard in shards {
        replica.apply_shard(shard.encoded())?;
    }
    Ok(())
}

fn min_time(mut work: impl FnMut() -> Result<()>) -> Result<Duration> {
    min_time_with(|| Ok(()), |()| work())
}

fn min_time_with<T>(
    prepare: impl Fn() -> Result<T>,
    mut work: impl FnMut(&mut T) -> Result<()>,
) -> Result<Duration> {
    let mut min_elapsed = Duration::MAX;
    for _ in 0..REPETITIONS {
        let mut input = prepare()?;
        let start = Instant::now();
        work(&mut input)?;
        min_elapsed = min_elapsed.min(start.elapsed());
    }
    Ok(min_elapsed)
}

fn cbor_len(update: &ConfigUpdate) -> Result<usize> {
    let mut bytes = Vec::new();
    ciborium::into_writer(update, &mut bytes)?;
    Ok(bytes.len())
}

const fn base64_len(len_bytes: usize) -> usize {
    len_bytes.div_ceil(3) * 4
}

fn to_us(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

#[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
fn ratio(value: usize, by: usize) -> f64 {
    value as f64 / by as f64
}

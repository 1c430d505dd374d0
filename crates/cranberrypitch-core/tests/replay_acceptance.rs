//! Replays the traces in `traces/acceptance` and checks their expected results. The first line of
//! each trace describes the failure that it guards against.

mod traces;

use std::collections::BTreeMap;
use std::sync::Arc;

use cranberrypitch_core::acceptance::{ApplyResult, ConfigReplica};
use cranberrypitch_core::config::{ConfigEdit, ConfigText, ShardCount};
use cranberrypitch_core::{EditId, Error, Revision, ServiceName, Slots};
use serde::Deserialize;

const VALVES: &str = include_str!("../../../samples/valves.json");
const SERVICES: usize = 40;
const SHARDS: usize = 8;
const REVISIONS: u32 = 6;

/// An event at a process. Revisions refer to [`configurations`].
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Event {
    /// The head of a revision.
    Head { process: String, revision: usize },
    /// The head of a revision, but with another edit id.
    #[serde(rename = "rival_head")]
    ConflictingHead { process: String, revision: usize },
    /// Some shards of a revision, in this order.
    Shards {
        process: String,
        revision: usize,
        indexes: Vec<usize>,
    },
    /// An announcement that a revision is in force at another process.
    #[serde(rename = "floor")]
    MinRevision { process: String, revision: u64 },
    /// The update from a peer, if the peer has a newer revision.
    #[serde(rename = "answer")]
    Update { process: String, from: String },
    /// A restart of the process without a configuration.
    Restart { process: String },
}

/// The expected state of the event's process. Omitted fields are not checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expected {
    outcome: Option<Outcome>,
    in_force: Option<u64>,
    #[serde(rename = "newest_known")]
    newest_known_revision: Option<u64>,
    #[serde(rename = "lacking")]
    missing_shards: Option<usize>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Outcome {
    Ignored,
    #[serde(rename = "lacking")]
    MissingShards,
    InForce,
    Conflict,
    NothingNewer,
}

/// Returns revisions 1 to [`REVISIONS`]. Revision `n` differs from the previous one in the slots of
/// the services in the shard with index `n - 1`.
fn configurations() -> Vec<ConfigEdit> {
    let count = ShardCount::try_new(SHARDS).expect("a power of two");
    let mut text = ConfigText::parse(VALVES).expect("a valid sample");
    let sample = text.services[0].clone();
    text.services = (0..SERVICES)
        .map(|n| {
            let mut service = sample.clone();
            service.name = ServiceName::try_new(&format!("n{n:05}")).expect("a valid name");
            service
        })
        .collect();
    let mut edits: Vec<ConfigEdit> = Vec::new();
    for step in 0..REVISIONS {
        for service in &mut text.services {
            if count.index_of(service.tag()) == step as usize {
                service.slots = Slots::new(100 + step);
            }
        }
        let head = edits.last().map(|edit| &edit.head);
        let id = EditId::new(u128::from(step) + 1);
        edits.push(ConfigEdit::with_shard_count(&text, head, id, count).expect("a valid edit"));
    }
    edits
}

fn outcome(result: Result<ApplyResult, Error>) -> Outcome {
    match result {
        Ok(ApplyResult::Ignored) => Outcome::Ignored,
        Ok(ApplyResult::MissingShards(_)) => Outcome::MissingShards,
        Ok(ApplyResult::InForce(_)) => Outcome::InForce,
        Err(Error::RevisionConflict { .. }) => Outcome::Conflict,
        Err(error) => panic!("no trace expects '{error}'"),
    }
}

struct Replay {
    edits: Vec<ConfigEdit>,
    processes: BTreeMap<String, ConfigReplica>,
}

impl Replay {
    fn process(&mut self, name: &str) -> &mut ConfigReplica {
        self.processes.entry(name.to_owned()).or_default()
    }

    /// Applies an event, and returns the name of its process and the outcome, if there is one.
    fn apply(&mut self, event: Event) -> (String, Option<Outcome>) {
        match event {
            Event::Head { process, revision } => {
                let head = self.edits[revision - 1].head.clone();
                let result = self.process(&process).apply_head(head);
                (process, Some(outcome(result)))
            }
            Event::ConflictingHead { process, revision } => {
                let mut head = self.edits[revision - 1].head.clone();
                head.edit_id = EditId::new(999);
                let result = self.process(&process).apply_head(head);
                (process, Some(outcome(result)))
            }
            Event::Shards {
                process,
                revision,
                indexes,
            } => {
                let mut last = None;
                for index in indexes {
                    let shard = Arc::clone(&self.edits[revision - 1].shards[index]);
                    let result = self.process(&process).apply_shard(shard.encoded());
                    last = Some(outcome(result));
                }
                (process, last)
            }
            Event::MinRevision { process, revision } => {
                let process_state = self.process(&process);
                process_state.raise_min_revision(Revision::new(revision));
                (process, None)
            }
            Event::Update { process, from } => {
                let known = self.process(&process).revision();
                let update = self.process(&from).update_since(known);
                let outcome = update.map_or(Outcome::NothingNewer, |update| {
                    outcome(self.process(&process).apply_update(update))
                });
                (process, Some(outcome))
            }
            Event::Restart { process } => {
                self.processes.insert(process.clone(), ConfigReplica::new());
                (process, None)
            }
        }
    }

    fn check(&mut self, name: &str, found: Option<Outcome>, expected: &Expected, location: &str) {
        if expected.outcome.is_some() {
            assert_eq!(found, expected.outcome, "{location}: outcome");
        }
        let process = self.process(name);
        if let Some(revision) = expected.in_force {
            assert_eq!(process.revision().get(), revision, "{location}: in force");
        }
        if let Some(revision) = expected.newest_known_revision {
            let found = process.newest_known_revision().get();
            assert_eq!(found, revision, "{location}: newest known");
        }
        if let Some(missing) = expected.missing_shards {
            assert_eq!(
                process.missing_shards().len(),
                missing,
                "{location}: missing shards"
            );
        }
    }

    /// Checks that each process has one complete revision in force that is not older than before.
    fn check_order(&self, before: &BTreeMap<String, u64>, restarted: &str, location: &str) {
        for (name, process) in &self.processes {
            let Some(snapshot) = process.in_force() else {
                continue;
            };
            let revision = process.revision().get();
            let index = usize::try_from(revision).expect("a small number") - 1;
            assert!(
                snapshot.shards() == &*self.edits[index].shards,
                "{location}: {name} mixes revisions"
            );
            let earlier = before.get(name).filter(|_| name != restarted);
            assert!(
                earlier.is_none_or(|r| *r <= revision),
                "{location}: {name} returned to an older revision"
            );
        }
    }

    fn revisions(&self) -> BTreeMap<String, u64> {
        let processes = self.processes.iter();
        processes
            .map(|(name, p)| (name.clone(), p.revision().get()))
            .collect()
    }
}

/// Guards against the failures that the traces describe. Each event is followed by a check that no
/// process has returned to an older revision or mixes two revisions.
#[test]
fn acceptance_traces_end_as_stated() {
    for trace in traces::load::<Event, Expected>("acceptance") {
        let mut replay = Replay {
            edits: configurations(),
            processes: BTreeMap::new(),
        };
        for step in trace.steps {
            let location = format!("{} at {:?}: {}", trace.failure, step.at, step.location);
            let before = replay.revisions();
            let is_restart = matches!(step.event, Event::Restart { .. });
            let (name, found) = replay.apply(step.event);
            let restarted = if is_restart { &*name } else { "" };
            replay.check_order(&before, restarted, &location);
            if let Some(expected) = step.expected {
                replay.check(&name, found, &expected, &location);
            }
        }
    }
}

//! The propagation of one change from the store through watchers to all processes.
//!
//! A discrete-event simulation drives one `ConfigReplica` per process. A watcher reads the store; every
//! other process queries a peer when its poll is due or when a peer announces a newer revision. Every
//! message between processes is delayed by the link and may be lost.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use cranberrypitch_core::acceptance::{ApplyResult, ConfigReplica, ConfigUpdate};
use cranberrypitch_core::config::ConfigEdit;
use cranberrypitch_core::{EditId, Revision, Slots};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;

use crate::config::scenario::Scenario;
use crate::config::{Result, texts};

/// The number of services in the configuration. The propagation doesn't depend on it; the size rows of
/// the report cover larger numbers.
const SERVICES: usize = 16;

/// The length of a query or an announcement, and the overhead of any other message: an estimate for a
/// WebSocket frame over TCP and IP.
const MESSAGE_BYTES: usize = 60;

const STORE_READ_LATENCY: Duration = Duration::from_millis(3);
const LOCAL_DELAY: Duration = Duration::from_micros(200);
/// The maximum jitter, as a fraction of the delay.
const LINK_JITTER_RATIO: f64 = 0.5;

/// The maximum simulated time, for changes that don't reach every process.
const TIME_LIMIT: Duration = Duration::from_mins(2);

/// The propagation of one change in one scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PropagationRow {
    /// The scenario.
    pub scenario: Scenario,
    /// The number of processes.
    pub processes: usize,
    /// The number of processes with the change in force at the end.
    pub reached: usize,
    /// The median time until the change is in force in a process, in milliseconds.
    #[serde(rename = "half_ms")]
    pub p50_ms: f64,
    /// The 99th percentile of this time, in milliseconds.
    pub p99_ms: f64,
    /// The maximum of this time, in milliseconds.
    pub last_ms: f64,
    /// The maximum number of hops from the store to a process.
    #[serde(rename = "most_hops")]
    pub max_hops: u32,
    /// The number of times that a process went back to an older revision.
    pub reverted: usize,
    /// The number of calls to the store.
    pub store_calls: u64,
    /// The mean number of bytes that a process sent until the change was in force everywhere.
    pub mean_sent_bytes: f64,
    /// The maximum number of bytes that a process sent.
    #[serde(rename = "most_sent_bytes")]
    pub max_sent_bytes: usize,
}

/// A simulated event; event times are in microseconds from the change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Poll {
        process: usize,
    },
    StoreRead {
        process: usize,
    },
    Announcement {
        to: usize,
        from: usize,
    },
    Query {
        to: usize,
        from: usize,
        revision: u64,
    },
    Response {
        to: usize,
        from: usize,
        message: usize,
    },
}

#[derive(Debug)]
struct Process {
    replica: ConfigReplica,
    domain: usize,
    is_watcher: bool,
    peers: Vec<usize>,
    hops: u32,
    in_force_at_us: Option<u64>,
    sent_bytes: usize,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: Pcg64,
    now_us: u64,
    event_queue: BinaryHeap<Reverse<(u64, usize, Event)>>,
    next_sequence: usize,
    processes: Vec<Process>,
    messages: Vec<ConfigUpdate>,
    new_edit: ConfigEdit,
    outdated_count: usize,
    reverted: usize,
    store_calls: u64,
}

/// Simulates the propagation of one change in a scenario.
pub(super) fn measure(scenario: &Scenario, seed: u64) -> Result<PropagationRow> {
    let mut simulation = Simulation::new(scenario, seed)?;
    simulation.run()?;
    Ok(simulation.report())
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Result<Self> {
        let mut rng = Pcg64::seed_from_u64(seed);
        let text = texts::generate(SERVICES, &mut rng)?;
        let older = ConfigEdit::plan(&text, None, EditId::new(1))?;
        let mut newer_text = text.clone();
        newer_text.services[0].slots = Slots::new(1000);
        let new_edit = ConfigEdit::plan(&newer_text, Some(&older.head), EditId::new(2))?;
        let mut simulation = Self {
            scenario,
            rng,
            now_us: 0,
            event_queue: BinaryHeap::new(),
            next_sequence: 0,
            processes: Vec::new(),
            messages: Vec::new(),
            new_edit,
            outdated_count: 0,
            reverted: 0,
            store_calls: 0,
        };
        simulation.add_processes(&older)?;
        simulation.link_peers();
        simulation.schedule_initial_events();
        Ok(simulation)
    }

    fn add_processes(&mut self, older: &ConfigEdit) -> Result<()> {
        for domain in 0..self.scenario.failure_domains {
            for number in 0..self.scenario.processes_per_domain {
                let mut replica = ConfigReplica::new();
                replica.apply_head(older.head.clone())?;
                for shard in &older.shards {
                    replica.apply_shard(shard.encoded())?;
                }
                self.processes.push(Process {
                    replica,
                    domain,
                    is_watcher: number < self.scenario.watchers_per_domain,
                    peers: Vec::new(),
                    hops: 0,
                    in_force_at_us: None,
                    sent_bytes: 0,
                });
            }
        }
        self.outdated_count = self.processes.len();
        Ok(())
    }

    /// Links each process to peers: one from the whole fleet, the others from its failure domain.
    fn link_peers(&mut self) {
        let per_domain = self.scenario.processes_per_domain;
        let all = self.processes.len();
        for process in 0..all {
            for link in 0..self.scenario.peers_per_process {
                let start = self.processes[process].domain * per_domain;
                let range = if link == 0 {
                    0..all
                } else {
                    start..start + per_domain
                };
                let peer = self.rng.random_range(range);
                if peer != process && !self.processes[process].peers.contains(&peer) {
                    self.processes[process].peers.push(peer);
                    self.processes[peer].peers.push(process);
                }
            }
        }
    }

    fn schedule_initial_events(&mut self) {
        let poll_us = self.scenario.poll_interval_mean_ms * 1000;
        for process in 0..self.processes.len() {
            let event = if self.processes[process].is_watcher {
                Event::StoreRead { process }
            } else {
                Event::Poll { process }
            };
            // A watcher waits at the store unless it pauses; polls are spread over time.
            let latest_us = match event {
                Event::StoreRead { .. } => self.scenario.watch_pause_ms * 1000,
                _ => poll_us,
            };
            let at = self.rng.random_range(0..=latest_us);
            self.schedule(at, event);
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_sequence += 1;
        self.event_queue
            .push(Reverse((at_us, self.next_sequence, event)));
    }

    fn run(&mut self) -> Result<()> {
        while let Some(Reverse((at, _, event))) = self.event_queue.pop() {
            if self.outdated_count == 0 || u128::from(at) > TIME_LIMIT.as_micros() {
                break;
            }
            self.now_us = at;
            match event {
                Event::Poll { process } => self.on_poll(process),
                Event::StoreRead { process } => self.on_store_read(process)?,
                Event::Announcement { to, from } => self.on_announcement(to, from),
                Event::Query { to, from, revision } => self.on_query(to, from, revision),
                Event::Response { to, from, message } => self.on_response(to, from, message)?,
            }
        }
        Ok(())
    }

    fn on_poll(&mut self, process: usize) {
        self.query_random_peer(process);
        let at = self.now_us + self.draw_poll_interval_us();
        self.schedule(at, Event::Poll { process });
    }

    fn query_random_peer(&mut self, process: usize) {
        let peers = &self.processes[process].peers;
        if !peers.is_empty() {
            let peer = peers[self.rng.random_range(0..peers.len())];
            self.send_query(process, peer);
        }
    }

    fn send_query(&mut self, process: usize, peer: usize) {
        let revision = self.processes[process].replica.revision().get();
        let query = Event::Query {
            to: peer,
            from: process,
            revision,
        };
        self.send(process, peer, MESSAGE_BYTES, query);
    }

    fn on_store_read(&mut self, process: usize) -> Result<()> {
        self.store_calls += 1;
        let is_store_down = process != 0 && self.now_us < self.scenario.store_down_ms * 1000;
        let is_partitioned =
            self.processes[process].domain == 0 && self.now_us < self.scenario.partition_ms * 1000;
        if is_store_down || is_partitioned {
            // A watcher that can't reach the store polls a peer like the other processes.
            self.query_random_peer(process);
            let at = self.now_us + self.draw_poll_interval_us();
            self.schedule(at, Event::StoreRead { process });
            return Ok(());
        }
        self.now_us += u64::try_from(STORE_READ_LATENCY.as_micros()).unwrap_or(u64::MAX);
        let changed = self
            .new_edit
            .new_shards(self.processes[process].replica.in_force().map(|s| s.head()));
        self.store_calls += changed.len() as u64;
        let head = self.new_edit.head.clone();
        let mut result = self.processes[process].replica.apply_head(head)?;
        for shard in changed {
            result = self.processes[process]
                .replica
                .apply_shard(shard.encoded())?;
        }
        self.record_result(process, 1, &result);
        Ok(())
    }

    fn on_announcement(&mut self, process: usize, from: usize) {
        if self.processes[process].replica.revision() < self.new_edit.head.revision {
            self.send_query(process, from);
        }
    }

    fn on_query(&mut self, process: usize, from: usize, revision: u64) {
        let replica = &self.processes[process].replica;
        let Some(update) = replica.update_since(Revision::new(revision)) else {
            self.processes[process].sent_bytes += MESSAGE_BYTES;
            return;
        };
        let len_bytes = MESSAGE_BYTES + payload_len(&update);
        let message = self.messages.len();
        self.messages.push(update);
        let response = Event::Response {
            to: from,
            from: process,
            message,
        };
        self.send(process, from, len_bytes, response);
    }

    fn on_response(&mut self, process: usize, from: usize, message: usize) -> Result<()> {
        let before = self.processes[process].replica.revision();
        let update = self.messages[message].clone();
        let result = self.processes[process].replica.apply_update(update)?;
        if self.processes[process].replica.revision() < before {
            self.reverted += 1;
        }
        self.record_result(process, self.processes[from].hops + 1, &result);
        Ok(())
    }

    fn record_result(&mut self, process: usize, hops: u32, result: &ApplyResult) {
        if !matches!(result, ApplyResult::InForce(_)) {
            return;
        }
        let reached = &mut self.processes[process];
        reached.hops = hops;
        reached.in_force_at_us = Some(self.now_us);
        self.outdated_count -= 1;
        if self.scenario.announces_changes {
            for peer in self.processes[process].peers.clone() {
                let announcement = Event::Announcement {
                    to: peer,
                    from: process,
                };
                self.send(process, peer, MESSAGE_BYTES, announcement);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, len_bytes: usize, event: Event) {
        self.processes[from].sent_bytes += len_bytes;
        let (here, there) = (self.processes[from].domain, self.processes[to].domain);
        let crosses_partition = here != there && (here == 0 || there == 0);
        let is_partitioned = crosses_partition && self.now_us < self.scenario.partition_ms * 1000;
        if is_partitioned || self.rng.random_bool(self.scenario.loss_rate) {
            return;
        }
        let delay = if here == there {
            LOCAL_DELAY
        } else {
            Duration::from_millis(self.scenario.link_delay_ms)
        };
        let delay = delay.mul_f64(1.0 + self.rng.random_range(0.0..LINK_JITTER_RATIO));
        let delay_us = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.schedule(self.now_us + delay_us, event);
    }

    fn draw_poll_interval_us(&mut self) -> u64 {
        let mean_us = self.scenario.poll_interval_mean_ms * 1000;
        self.rng.random_range(mean_us / 2..mean_us * 3 / 2)
    }

    fn report(&self) -> PropagationRow {
        let mut times_us: Vec<u64> = self
            .processes
            .iter()
            .filter_map(|p| p.in_force_at_us)
            .collect();
        times_us.sort_unstable();
        let sent = self.processes.iter().map(|p| p.sent_bytes);
        PropagationRow {
            scenario: self.scenario.clone(),
            processes: self.processes.len(),
            reached: times_us.len(),
            p50_ms: quantile_ms(&times_us, 50),
            p99_ms: quantile_ms(&times_us, 99),
            last_ms: quantile_ms(&times_us, 100),
            max_hops: self.processes.iter().map(|p| p.hops).max().unwrap_or(0),
            reverted: self.reverted,
            store_calls: self.store_calls,
            mean_sent_bytes: to_f64(sent.clone().sum::<usize>()) / to_f64(self.processes.len()),
            max_sent_bytes: sent.max().unwrap_or(0),
        }
    }
}

fn payload_len(update: &ConfigUpdate) -> usize {
    match update {
        ConfigUpdate::Delta(delta) => delta.changed.iter().map(|(_, shard)| shard.len()).sum(),
        ConfigUpdate::Full(full) => full.shards.iter().map(|shard| shard.len()).sum(),
    }
}

fn quantile_ms(times_us: &[u64], percent: usize) -> f64 {
    let rank = (times_us.len() * percent).div_ceil(100).saturating_sub(1);
    let micros = times_us.get(rank).copied().unwrap_or(0);
    Duration::from_micros(micros).as_secs_f64() * 1000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: usize) -> f64 {
    count as f64
}

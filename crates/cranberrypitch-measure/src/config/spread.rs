//! The spread of one change through watchers and relays.
//!
//! A discrete-event simulation drives one `ConfigReplica` per process. A watcher asks the store; every
//! other process asks a peer when its poll is due or when a peer announces a newer revision. Every
//! message between processes takes the link's delay and may be lost.

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

/// The services of the text that spreads. The decisions don't depend on the size, which the other part
/// of the report covers.
const SERVICES: usize = 16;

/// A question, an announcement, and what frames and headers add to any message: an estimate for a
/// WebSocket frame over TCP and IP.
const MESSAGE_BYTES: usize = 60;

const STORE_DELAY: Duration = Duration::from_millis(3);
const LOCAL_DELAY: Duration = Duration::from_micros(200);
const LINK_JITTER: f64 = 0.5;

/// The run ends here even if the change did not reach everyone.
const TIME_LIMIT: Duration = Duration::from_mins(2);

/// How one change spread.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SpreadRow {
    /// The scenario.
    pub scenario: Scenario,
    /// The processes.
    pub processes: usize,
    /// The processes that had the change in force at the end.
    pub reached: usize,
    /// The time until half of the processes had it, in milliseconds.
    pub half_ms: f64,
    /// The time until 99% of the processes had it, in milliseconds.
    pub p99_ms: f64,
    /// The time until the last process had it, in milliseconds.
    pub last_ms: f64,
    /// The hops from the store to the farthest process.
    pub most_hops: u32,
    /// The processes that went back to an older revision.
    pub reverted: usize,
    /// The calls to the store.
    pub store_calls: u64,
    /// The bytes that a process sent, on average, until the last process had the change.
    pub mean_sent_bytes: f64,
    /// The bytes that the busiest process sent.
    pub most_sent_bytes: usize,
}

/// Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Poll {
        process: usize,
    },
    AskStore {
        process: usize,
    },
    Announcement {
        to: usize,
        from: usize,
    },
    Question {
        to: usize,
        from: usize,
        revision: u64,
    },
    Answer {
        to: usize,
        from: usize,
        message: usize,
    },
}

#[derive(Debug)]
struct Process {
    acceptance: ConfigReplica,
    domain: usize,
    watcher: bool,
    peers: Vec<usize>,
    hops: u32,
    reached_at: Option<u64>,
    sent_bytes: usize,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    random: Pcg64,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, usize, Event)>>,
    scheduled: usize,
    processes: Vec<Process>,
    messages: Vec<ConfigUpdate>,
    newer: ConfigEdit,
    waiting: usize,
    reverted: usize,
    store_calls: u64,
}

/// Spreads one change and reports how it went.
pub(super) fn measure(scenario: &Scenario, seed: u64) -> Result<SpreadRow> {
    let mut fleet = Fleet::new(scenario, seed)?;
    fleet.run()?;
    Ok(fleet.report())
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Result<Self> {
        let mut random = Pcg64::seed_from_u64(seed);
        let text = texts::generate(SERVICES, &mut random)?;
        let older = ConfigEdit::plan(&text, None, EditId::new(1))?;
        let mut newer_text = text.clone();
        newer_text.services[0].slots = Slots::new(1000);
        let newer = ConfigEdit::plan(&newer_text, Some(&older.head), EditId::new(2))?;
        let mut fleet = Self {
            scenario,
            random,
            now: 0,
            queue: BinaryHeap::new(),
            scheduled: 0,
            processes: Vec::new(),
            messages: Vec::new(),
            newer,
            waiting: 0,
            reverted: 0,
            store_calls: 0,
        };
        fleet.add_processes(&older)?;
        fleet.link_peers();
        fleet.schedule_first();
        Ok(fleet)
    }

    fn add_processes(&mut self, older: &ConfigEdit) -> Result<()> {
        for domain in 0..self.scenario.domains {
            for number in 0..self.scenario.processes_per_domain {
                let mut acceptance = ConfigReplica::new();
                acceptance.apply_head(older.head.clone())?;
                for shard in &older.shards {
                    acceptance.apply_shard(shard.encoded())?;
                }
                self.processes.push(Process {
                    acceptance,
                    domain,
                    watcher: number < self.scenario.watchers_per_domain,
                    peers: Vec::new(),
                    hops: 0,
                    reached_at: None,
                    sent_bytes: 0,
                });
            }
        }
        self.waiting = self.processes.len();
        Ok(())
    }

    /// Links each process to peers: one of any failure domain, the others of its own.
    fn link_peers(&mut self) {
        let per_domain = self.scenario.processes_per_domain;
        let all = self.processes.len();
        for process in 0..all {
            for link in 0..self.scenario.peers {
                let start = self.processes[process].domain * per_domain;
                let range = if link == 0 {
                    0..all
                } else {
                    start..start + per_domain
                };
                let peer = self.random.random_range(range);
                if peer != process && !self.processes[process].peers.contains(&peer) {
                    self.processes[process].peers.push(peer);
                    self.processes[peer].peers.push(process);
                }
            }
        }
    }

    fn schedule_first(&mut self) {
        let poll_us = self.scenario.poll_ms * 1000;
        for process in 0..self.processes.len() {
            let event = if self.processes[process].watcher {
                Event::AskStore { process }
            } else {
                Event::Poll { process }
            };
            // A watcher waits at the store unless it pauses; polls are spread over time.
            let latest_us = match event {
                Event::AskStore { .. } => self.scenario.watch_pause_ms * 1000,
                _ => poll_us,
            };
            let at = self.random.random_range(0..=latest_us);
            self.schedule(at, event);
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled, event)));
    }

    fn run(&mut self) -> Result<()> {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if self.waiting == 0 || u128::from(at) > TIME_LIMIT.as_micros() {
                break;
            }
            self.now = at;
            match event {
                Event::Poll { process } => self.poll(process),
                Event::AskStore { process } => self.ask_store(process)?,
                Event::Announcement { to, from } => self.hear(to, from),
                Event::Question { to, from, revision } => self.answer(to, from, revision),
                Event::Answer { to, from, message } => self.learn(to, from, message)?,
            }
        }
        Ok(())
    }

    fn poll(&mut self, process: usize) {
        self.ask_any(process);
        let at = self.now + self.jittered_poll();
        self.schedule(at, Event::Poll { process });
    }

    fn ask_any(&mut self, process: usize) {
        let peers = &self.processes[process].peers;
        if !peers.is_empty() {
            let peer = peers[self.random.random_range(0..peers.len())];
            self.ask(process, peer);
        }
    }

    fn ask(&mut self, process: usize, peer: usize) {
        let revision = self.processes[process].acceptance.revision().get();
        let question = Event::Question {
            to: peer,
            from: process,
            revision,
        };
        self.send(process, peer, MESSAGE_BYTES, question);
    }

    fn ask_store(&mut self, process: usize) -> Result<()> {
        self.store_calls += 1;
        let down = process != 0 && self.now < self.scenario.store_down_ms * 1000;
        let cut = self.processes[process].domain == 0 && self.now < self.scenario.cut_ms * 1000;
        if down || cut {
            // A watcher that can't reach the store asks its peers as the others do.
            self.ask_any(process);
            let at = self.now + self.jittered_poll();
            self.schedule(at, Event::AskStore { process });
            return Ok(());
        }
        self.now += u64::try_from(STORE_DELAY.as_micros()).unwrap_or(u64::MAX);
        let changed = self.newer.new_shards(
            self.processes[process]
                .acceptance
                .in_force()
                .map(|s| s.head()),
        );
        self.store_calls += changed.len() as u64;
        let head = self.newer.head.clone();
        let mut progress = self.processes[process].acceptance.apply_head(head)?;
        for shard in changed {
            progress = self.processes[process]
                .acceptance
                .apply_shard(shard.encoded())?;
        }
        self.note(process, 1, &progress);
        Ok(())
    }

    fn hear(&mut self, process: usize, from: usize) {
        if self.processes[process].acceptance.revision() < self.newer.head.revision {
            self.ask(process, from);
        }
    }

    fn answer(&mut self, process: usize, from: usize, revision: u64) {
        let acceptance = &self.processes[process].acceptance;
        let Some(update) = acceptance.update_since(Revision::new(revision)) else {
            self.processes[process].sent_bytes += MESSAGE_BYTES;
            return;
        };
        let len_bytes = MESSAGE_BYTES + payload_len(&update);
        let message = self.messages.len();
        self.messages.push(update);
        let answer = Event::Answer {
            to: from,
            from: process,
            message,
        };
        self.send(process, from, len_bytes, answer);
    }

    fn learn(&mut self, process: usize, from: usize, message: usize) -> Result<()> {
        let before = self.processes[process].acceptance.revision();
        let update = self.messages[message].clone();
        let progress = self.processes[process].acceptance.apply_update(update)?;
        if self.processes[process].acceptance.revision() < before {
            self.reverted += 1;
        }
        self.note(process, self.processes[from].hops + 1, &progress);
        Ok(())
    }

    fn note(&mut self, process: usize, hops: u32, progress: &ApplyResult) {
        if !matches!(progress, ApplyResult::InForce(_)) {
            return;
        }
        let reached = &mut self.processes[process];
        reached.hops = hops;
        reached.reached_at = Some(self.now);
        self.waiting -= 1;
        if self.scenario.announce {
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
        let crosses_cut = here != there && (here == 0 || there == 0);
        let cut = crosses_cut && self.now < self.scenario.cut_ms * 1000;
        if cut || self.random.random_bool(self.scenario.loss) {
            return;
        }
        let delay = if here == there {
            LOCAL_DELAY
        } else {
            Duration::from_millis(self.scenario.link_delay_ms)
        };
        let delay = delay.mul_f64(1.0 + self.random.random_range(0.0..LINK_JITTER));
        let delay_us = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.schedule(self.now + delay_us, event);
    }

    fn jittered_poll(&mut self) -> u64 {
        let mean_us = self.scenario.poll_ms * 1000;
        self.random.random_range(mean_us / 2..mean_us * 3 / 2)
    }

    fn report(&self) -> SpreadRow {
        let mut times: Vec<u64> = self.processes.iter().filter_map(|p| p.reached_at).collect();
        times.sort_unstable();
        let sent = self.processes.iter().map(|p| p.sent_bytes);
        SpreadRow {
            scenario: self.scenario.clone(),
            processes: self.processes.len(),
            reached: times.len(),
            half_ms: quantile_ms(&times, 50),
            p99_ms: quantile_ms(&times, 99),
            last_ms: quantile_ms(&times, 100),
            most_hops: self.processes.iter().map(|p| p.hops).max().unwrap_or(0),
            reverted: self.reverted,
            store_calls: self.store_calls,
            mean_sent_bytes: float(sent.clone().sum::<usize>()) / float(self.processes.len()),
            most_sent_bytes: sent.max().unwrap_or(0),
        }
    }
}

fn payload_len(update: &ConfigUpdate) -> usize {
    match update {
        ConfigUpdate::Delta(delta) => delta.changed.iter().map(|(_, shard)| shard.len()).sum(),
        ConfigUpdate::Full(full) => full.shards.iter().map(|shard| shard.len()).sum(),
    }
}

fn quantile_ms(times: &[u64], percent: usize) -> f64 {
    let rank = (times.len() * percent).div_ceil(100).saturating_sub(1);
    let micros = times.get(rank).copied().unwrap_or(0);
    Duration::from_micros(micros).as_secs_f64() * 1000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn float(count: usize) -> f64 {
    count as f64
}

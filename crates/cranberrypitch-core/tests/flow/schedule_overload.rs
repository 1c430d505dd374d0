//! The schedule of an agent under more load than its target can serve, on one target in simulated time.
//! Callers don't retry, so each policy gets the same requests.

use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use cranberrypitch_core::flow::{
    FairTurns, MAX_REQUESTS_PER_SLOT, RequestKind, RequestLimits, TargetCapacity, WaitingRequest,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The requests beyond its slots that a target queues.
const TARGET_QUEUE_LEN: u32 = 12;
const RUN_MS: u64 = 20_000;
const CALLERS: u8 = 20;

/// A row of the table in docs/hard-load.md: kind, requests per second, work, latency objective, timeout
/// (all in ms), priority.
type Class = (RequestKind, f64, f64, u64, u64, u8);

/// A target of a service.
struct Site {
    slots: u32,
    /// The speed relative to the nominal one.
    speed: f64,
    classes: &'static [Class],
}

const FIRST: &[Class] = &[
    (RequestKind::OpenFlow, 1138.0, 40.0, 300, 3000, 2),
    (RequestKind::Syn, 325.0, 52.0, 400, 4000, 1),
];
const SECOND: &[Class] = &[
    (RequestKind::OpenFlow, 1155.0, 19.0, 250, 1200, 2),
    (RequestKind::Syn, 330.0, 25.0, 250, 1500, 1),
];
const BULK: &[Class] = &[(RequestKind::Syn, 97.5, 5.0, 800, 10_000, 2)];

const fn site(slots: u32, speed: f64, classes: &'static [Class]) -> Site {
    Site {
        slots,
        speed,
        classes,
    }
}

/// Targets of the interactive services, at the nominal speed and at that of slow targets.
const SITES: [Site; 4] = [
    site(3, 1.0, FIRST),
    site(2, 1.0, SECOND),
    site(3, 0.55, FIRST),
    site(2, 0.55, SECOND),
];

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// All requests pass as they arrive.
    Fifo,
    /// SYNs wait, by priority and newest first; requests of open flows pass as they arrive.
    SynsAlone,
    /// The schedule, with this maximum wait of SYNs.
    Schedule { syn_wait_max_ms: u64 },
}

const SCHEDULE: Policy = Policy::Schedule {
    syn_wait_max_ms: 400,
};

#[derive(Clone, Copy)]
struct Request {
    waiting: WaitingRequest,
    work: Duration,
}

const POLICIES: [Policy; 3] = [SCHEDULE, Policy::Fifo, Policy::SynsAlone];

/// The requests that arrived, and those answered within their objective, by class and caller.
#[derive(Default)]
struct Outcome {
    sent: BTreeMap<(u8, Ipv4Addr), u32>,
    in_time: BTreeMap<(u8, Ipv4Addr), u32>,
    passed_after_timeout: u32,
    in_time_work: Duration,
}

impl Outcome {
    fn share(&self, is_counted: impl Fn(u8, Ipv4Addr) -> bool) -> f64 {
        let sum = |counts: &BTreeMap<(u8, Ipv4Addr), u32>| -> u32 {
            let counted = counts.iter().filter(|((p, c), _)| is_counted(*p, *c));
            counted.map(|(_, count)| *count).sum()
        };
        f64::from(sum(&self.in_time)) / f64::from(sum(&self.sent).max(1))
    }

    fn total(&self) -> f64 {
        self.share(|_, _| true)
    }
}

/// Returns the requests of a run. A third of them come from the first caller.
fn arrivals(site: &Site, load: f64, seed: u64, start: Instant) -> Vec<Request> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let work_ms_per_s: f64 = site.classes.iter().map(|c| c.1 * c.2 / site.speed).sum();
    let scale = load * f64::from(site.slots) * 1000.0 / work_ms_per_s;
    let mut requests = Vec::new();
    for ms in 0..RUN_MS {
        for (kind, per_s, work_ms, objective_ms, timeout_ms, priority) in
            site.classes.iter().copied()
        {
            // Several requests of a class in one millisecond are rare at one target.
            if rng.random::<f64>() >= per_s * scale / 1000.0 {
                continue;
            }
            let caller = if rng.random_bool(1.0 / 3.0) {
                0
            } else {
                rng.random_range(1..CALLERS)
            };
            let waiting = WaitingRequest {
                kind,
                priority,
                limits: RequestLimits {
                    latency_objective: Duration::from_millis(objective_ms),
                    timeout: Duration::from_millis(timeout_ms),
                },
                caller: Ipv4Addr::new(100, 64, 0, caller),
                arrived_at: start + Duration::from_millis(ms),
            };
            let work_ms = work_ms / site.speed * rng.random_range(0.5..1.5);
            let work = Duration::from_secs_f64(work_ms / 1000.0);
            requests.push(Request { waiting, work });
        }
    }
    requests
}

fn run(site: &Site, load: f64, policy: Policy, seed: u64) -> Outcome {
    let start = Instant::now();
    let requests = arrivals(site, load, seed, start);
    let total_work: Duration = requests.iter().map(|request| request.work).sum();
    let count = u32::try_from(requests.len()).unwrap();
    let syn_wait_max_ms = match policy {
        Policy::Schedule { syn_wait_max_ms } => syn_wait_max_ms,
        Policy::Fifo | Policy::SynsAlone => 400,
    };
    let capacity = TargetCapacity {
        service_time: total_work / count,
        slots: site.slots,
        min_syn_wait: Duration::from_millis(syn_wait_max_ms),
        syn_wait_limit: Some(Duration::from_millis(syn_wait_max_ms)),
        admits_flows: true,
    };
    let mut target = Target::new(site.slots);
    let mut turns = FairTurns::default();
    let mut waiting: Vec<Request> = Vec::new();
    let mut outcome = Outcome::default();
    let mut arriving = requests.into_iter().peekable();
    for ms in 0..RUN_MS + 2000 {
        let now = start + Duration::from_millis(ms);
        target.finish(now, &mut outcome);
        while let Some(request) = arriving.next_if(|r| r.waiting.arrived_at <= now) {
            let key = (request.waiting.priority, request.waiting.caller);
            *outcome.sent.entry(key).or_default() += 1;
            let passes = match policy {
                Policy::Fifo => true,
                Policy::SynsAlone => request.waiting.kind == RequestKind::OpenFlow,
                Policy::Schedule { .. } => false,
            };
            if passes || !target.is_busy() {
                turns.on_passed(request.waiting.caller, now);
                target.take(request, now);
            } else {
                waiting.push(request);
            }
        }
        while !target.is_busy()
            && let Some(next) = choose(policy, &mut turns, &waiting, &capacity, now)
        {
            let request = waiting.remove(next);
            let wait = now - request.waiting.arrived_at;
            outcome.passed_after_timeout += u32::from(wait >= request.waiting.limits.timeout);
            turns.on_turn(request.waiting.priority);
            turns.on_passed(request.waiting.caller, now);
            target.take(request, now);
        }
        if ms % 20 == 0 {
            give_up(policy, &mut turns, &mut waiting, &capacity, now);
        }
    }
    outcome
}

fn choose(
    policy: Policy,
    turns: &mut FairTurns,
    waiting: &[Request],
    capacity: &TargetCapacity,
    now: Instant,
) -> Option<usize> {
    if let Policy::Schedule { .. } = policy {
        let views: Vec<_> = waiting.iter().map(|request| request.waiting).collect();
        return turns.next(&views, capacity, now);
    }
    let by_age = waiting.iter().enumerate().rev();
    let next = by_age.min_by_key(|(_, request)| request.waiting.priority);
    next.map(|(index, _)| index)
}

fn give_up(
    policy: Policy,
    turns: &mut FairTurns,
    waiting: &mut Vec<Request>,
    capacity: &TargetCapacity,
    now: Instant,
) {
    if let Policy::Schedule { .. } = policy {
        let views: Vec<_> = waiting.iter().map(|request| request.waiting).collect();
        for index in turns.given_up(&views, capacity, now).into_iter().rev() {
            waiting.remove(index);
        }
    } else {
        waiting.retain(|request| now - request.waiting.arrived_at < capacity.min_syn_wait);
    }
}

/// A target that serves requests first in, first out.
struct Target {
    slots: u32,
    running: Vec<(Instant, Request)>,
    queue: VecDeque<Request>,
}

impl Target {
    fn new(slots: u32) -> Self {
        Self {
            slots,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    fn is_busy(&self) -> bool {
        self.running.len() + self.queue.len() >= (self.slots * MAX_REQUESTS_PER_SLOT) as usize
    }

    /// Takes a request, or sheds it if the queue is full.
    fn take(&mut self, request: Request, now: Instant) {
        if self.queue.len() < TARGET_QUEUE_LEN as usize {
            self.queue.push_back(request);
            self.start(now);
        }
    }

    fn start(&mut self, now: Instant) {
        while self.running.len() < self.slots as usize
            && let Some(request) = self.queue.pop_front()
        {
            self.running.push((now + request.work, request));
        }
    }

    fn finish(&mut self, now: Instant, outcome: &mut Outcome) {
        for (_, request) in self.running.extract_if(.., |(end, _)| *end <= now) {
            let waiting = request.waiting;
            let latency = now - waiting.arrived_at;
            if latency <= waiting.limits.latency_objective {
                let key = (waiting.priority, waiting.caller);
                *outcome.in_time.entry(key).or_default() += 1;
                outcome.in_time_work += request.work;
            }
        }
        self.start(now);
    }
}

/// At slow targets most work of a burst was done for responses beyond their objective: in a FIFO queue, and with
/// SYNs alone in the backlog.
#[test]
fn work_is_done_for_responses_within_their_objective() {
    for (site, load, seed) in cases() {
        let site = &SITES[site];
        let capacity = Duration::from_millis(RUN_MS) * site.slots;
        let [schedule, fifo, syns] = POLICIES.map(|policy| {
            let outcome = run(site, load, policy, seed);
            outcome.in_time_work.div_duration_f64(capacity)
        });
        // Requests that run at the end of the arrivals add up to 0.011 of the capacity.
        assert!(schedule > 0.95, "{schedule}");
        assert!(
            schedule > fifo.max(syns) - 0.02,
            "{schedule}, {fifo}, {syns}"
        );
    }
}

/// With SYNs alone in the backlog, requests of open flows shut out nearly all SYNs, although theirs was the higher
/// priority. In a FIFO queue priorities don't count.
#[test]
fn higher_priority_is_served_first() {
    for (site, load, seed) in cases() {
        let [schedule, fifo, syns] = POLICIES
            .map(|policy| run(&SITES[site], load, policy, seed).share(|priority, _| priority == 1));
        assert!(schedule > 0.9, "{schedule}");
        assert!(
            schedule > fifo.max(syns) + 0.25,
            "{schedule}, {fifo}, {syns}"
        );
    }
}

/// At slow targets the queue of the target alone is longer than the objective. At the nominal speed it is not, and
/// there the requests of the higher priority, which take longer, cost some of the others.
#[test]
fn slow_target_answers_more_requests_within_their_objective_than_with_fifo() {
    for (site, load, seed) in cases().filter(|(site, ..)| SITES[*site].speed < 1.0) {
        let [schedule, fifo, _] =
            POLICIES.map(|policy| run(&SITES[site], load, policy, seed).total());
        assert!(schedule > fifo + 0.05, "{schedule}, {fifo}");
    }
}

/// Requests of the higher priority that fill the target alone took all turns.
#[test]
fn lower_priority_is_served_while_the_higher_one_fills_the_target() {
    const MOSTLY_HIGHER: &[Class] = &[
        (RequestKind::OpenFlow, 325.0, 40.0, 300, 3000, 2),
        (RequestKind::Syn, 1138.0, 52.0, 400, 4000, 1),
    ];
    let site = site(3, 1.0, MOSTLY_HIGHER);
    for (site, load, seed) in cases_of(&site) {
        let share = run(site, load, SCHEDULE, seed).share(|priority, _| priority == 2);
        assert!(share > 0.3, "{share}");
    }
}

/// One caller that sends a third of all requests took a third of the turns.
#[test]
fn busiest_caller_gets_the_smallest_share() {
    for (site, load, seed) in cases() {
        let outcome = run(&SITES[site], load, SCHEDULE, seed);
        let is_busiest = |caller: Ipv4Addr| caller.octets()[3] == 0;
        let busiest = outcome.share(|_, caller| is_busiest(caller));
        let others = outcome.share(|_, caller| !is_busiest(caller));
        assert!(others > busiest + 0.1, "{others}, {busiest}");
    }
}

/// A lower priority gets a turn in five, also while requests of the higher one would fill the target.
#[test]
fn no_priority_is_shut_out() {
    for (site, load, seed) in cases() {
        let outcome = run(&SITES[site], load, SCHEDULE, seed);
        for priority in [1, 2] {
            let share = outcome.share(|p, _| p == priority);
            assert!(share > 0.2, "site {site}, priority {priority}: {share}");
        }
    }
}

/// A caller that sends a third of all requests doesn't take the turns of the others, and isn't shut out itself.
#[test]
fn no_caller_is_shut_out() {
    for (site, load, seed) in cases() {
        let outcome = run(&SITES[site], load, SCHEDULE, seed);
        let mean = outcome.total();
        for caller in 0..CALLERS {
            let caller = Ipv4Addr::new(100, 64, 0, caller);
            let share = outcome.share(|_, c| c == caller);
            let is_busiest = caller.octets()[3] == 0;
            let share_min = if is_busiest { 0.1 } else { 0.7 * mean };
            assert!(share > share_min, "site {site}, {caller}: {share}, {mean}");
        }
    }
}

/// A response after the timeout is work for nobody.
#[test]
fn no_request_is_passed_after_its_timeout() {
    for (site, load, seed) in cases() {
        let outcome = run(&SITES[site], load, SCHEDULE, seed);
        assert_eq!(outcome.passed_after_timeout, 0);
    }
}

fn cases() -> impl Iterator<Item = (usize, f64, u64)> {
    let of_site = |(index, site)| cases_of(site).map(move |(_, load, seed)| (index, load, seed));
    SITES.iter().enumerate().flat_map(of_site)
}

fn cases_of(site: &Site) -> impl Iterator<Item = (&Site, f64, u64)> {
    [(1.7, 1), (1.9, 2)]
        .into_iter()
        .map(move |(load, seed)| (site, load, seed))
}

/// The maximum wait of a SYN in use, 400 ms, serves about as many requests as a longer or a shorter one.
#[test]
fn other_waits_of_syns_serve_no_more() {
    let bulk = site(3, 1.0, BULK);
    for (site, load, seed) in SITES.iter().chain([&bulk]).flat_map(cases_of) {
        let [short, used, long] = [200, 400, 1400].map(|syn_wait_max_ms| {
            run(site, load, Policy::Schedule { syn_wait_max_ms }, seed).total()
        });
        assert!(short.max(long) < used + 0.015, "{short}, {used}, {long}");
    }
}

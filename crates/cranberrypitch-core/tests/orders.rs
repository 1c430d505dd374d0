//! Tests of order tickets.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrypitch_core::orders::{
    StoredAnswer, Ticket, TicketDecision, TicketTable, TicketTableOptions,
};
use cranberrypitch_core::token::CheckKey;
use cranberrypitch_core::{ByteSize, Incarnation, KeyGeneration, NotRunReason, Outcome, TokenKeys};
use proptest::prelude::*;

const AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000);
const SECOND: Duration = Duration::from_secs(1);

fn keys(generation: u8) -> TokenKeys {
    let key = |generation| CheckKey::new(KeyGeneration::new(generation), [generation; 16]);
    TokenKeys::new(key(generation), Some(key(generation - 1)))
}

fn options() -> TicketTableOptions {
    TicketTableOptions {
        ticket_lifetime: 10 * SECOND,
        answer_lifetime: 30 * SECOND,
        max_entries: 4,
        max_bytes: ByteSize::new(1024),
    }
}

fn table(incarnation: u64) -> TicketTable {
    TicketTable::new(options(), AGENT, Incarnation::new(incarnation), keys(1))
}

fn done(text: &str) -> StoredAnswer {
    StoredAnswer {
        outcome: Outcome::Done,
        body: text.as_bytes().into(),
    }
}

/// Guards against running an order twice, and against losing its answer.
#[test]
fn repeated_ticket_gets_the_stored_answer() {
    let now = Instant::now();
    let mut table = table(1);
    let ticket = table.issue(now);
    assert_eq!(table.use_ticket(&ticket, now), TicketDecision::Run);
    assert_eq!(table.use_ticket(&ticket, now), TicketDecision::StillRunning);
    assert!(table.complete(&ticket, Outcome::Done, done("pair 7").body, now));
    assert!(!table.complete(&ticket, Outcome::Failed, Arc::default(), now));
    let expected = TicketDecision::Answer(done("pair 7"));
    assert_eq!(table.use_ticket(&ticket, now), expected);
    assert_eq!(table.query(&ticket, now), expected);
    let late = now + 30 * SECOND;
    assert_eq!(table.use_ticket(&ticket, late), TicketDecision::Unknown);
    assert_eq!((table.len(), table.size()), (0, ByteSize::new(0)));
}

/// Guards against running a late copy of an order after the caller has received "not run".
#[test]
fn refused_ticket_stays_void() {
    let now = Instant::now();
    let mut table = table(1);
    let refused = table.issue(now);
    assert_eq!(table.use_ticket(&refused, now), TicketDecision::Run);
    let reason = NotRunReason::QueueFull;
    table.complete(&refused, Outcome::NotRun(reason), Arc::default(), now);
    assert_eq!(
        table.use_ticket(&refused, now),
        TicketDecision::NotRun(reason)
    );
    let queried = table.issue(now);
    let cancelled = TicketDecision::NotRun(NotRunReason::Cancelled);
    assert_eq!(table.query(&queried, now), cancelled);
    assert_eq!(table.use_ticket(&queried, now), cancelled);
}

/// Guards against accepting forged tickets and those of other agents or incarnations, and against
/// rejecting a ticket after a change of keys.
#[test]
fn only_own_tickets_run() {
    let now = Instant::now();
    let mut table = table(2);
    let ticket = table.issue(now);
    let mut forged = [ticket; 4];
    forged[0].agent.set_port(7001);
    forged[1].incarnation = Incarnation::new(1);
    forged[2].serial += 1;
    forged[3].check ^= 1;
    let unissued = Ticket::sign(AGENT, Incarnation::new(2), 9, &keys(1));
    let older = self::table(1).issue(now);
    for ticket in forged.iter().chain([&unissued, &older]) {
        assert_eq!(table.use_ticket(ticket, now), TicketDecision::Unknown);
        assert_eq!(table.query(ticket, now), TicketDecision::Unknown);
    }
    table.set_keys(keys(2));
    assert_eq!(table.use_ticket(&ticket, now), TicketDecision::Run);
    table.complete(&ticket, Outcome::Unknown, Arc::default(), now);
    assert_eq!(table.use_ticket(&ticket, now), TicketDecision::Unknown);
}

/// Guards against unused tickets that expire too early or never.
#[test]
fn unused_tickets_expire() {
    let now = Instant::now();
    let mut table = table(1);
    let tickets = [
        table.issue(now),
        table.issue(now),
        table.issue(now + SECOND),
    ];
    assert_eq!(
        table.use_ticket(&tickets[0], now + 10 * SECOND),
        TicketDecision::Run
    );
    let late = now + 10 * SECOND + SECOND / 6;
    assert_eq!(table.use_ticket(&tickets[1], late), TicketDecision::Unknown);
    assert_eq!(
        table.use_ticket(&tickets[0], late),
        TicketDecision::StillRunning
    );
    assert_eq!(table.use_ticket(&tickets[2], late), TicketDecision::Run);
}

/// Guards against unbounded growth of the table, and against running an order again whose entry was
/// removed.
#[test]
fn table_is_bounded_in_entries_and_bytes() {
    let now = Instant::now();
    let mut table = table(1);
    let tickets = [(); 6].map(|()| table.issue(now));
    for ticket in &tickets[..3] {
        table.use_ticket(ticket, now);
        table.complete(ticket, Outcome::Done, Arc::from([0; 400]), now);
        assert!(table.size() <= ByteSize::new(1024) && table.len() <= 4);
    }
    assert_eq!(table.use_ticket(&tickets[0], now), TicketDecision::Unknown);
    for ticket in &tickets[3..] {
        assert_eq!(table.use_ticket(ticket, now), TicketDecision::Run);
    }
    let extra = [table.issue(now), table.issue(now)];
    assert_eq!(table.use_ticket(&extra[0], now), TicketDecision::Run);
    let full = TicketDecision::NotRun(NotRunReason::QueueFull);
    assert_eq!(table.use_ticket(&extra[1], now), full);
    table.complete(&tickets[3], Outcome::Done, Arc::default(), now);
    assert_eq!(table.use_ticket(&extra[1], now), TicketDecision::Unknown);
}

#[derive(Clone, Debug)]
enum Step {
    Issue,
    Use(usize),
    Query(usize),
    Complete(usize, u8),
    Advance(u16),
    Restart,
    ChangeKeys,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Issue),
        6 => (0..12_usize).prop_map(Step::Use),
        3 => (0..12_usize).prop_map(Step::Query),
        4 => (0..12_usize, 0..4_u8).prop_map(|(ticket, kind)| Step::Complete(ticket, kind)),
        1 => (0..4000_u16).prop_map(Step::Advance),
        1 => Just(Step::Restart),
        1 => Just(Step::ChangeKeys),
    ]
}

fn outcome(kind: u8) -> Outcome {
    match kind {
        0 => Outcome::Done,
        1 => Outcome::Failed,
        2 => Outcome::Unknown,
        _ => Outcome::NotRun(NotRunReason::Deadline),
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    runs: u32,
    was_reported_not_run: bool,
    was_done: bool,
}

proptest! {
    /// Guards against running an order twice under any interleaving, and against answers that
    /// contradict the actual outcome.
    #[test]
    fn an_order_runs_at_most_once(steps in prop::collection::vec(step(), 1..250)) {
        let mut now = Instant::now();
        let (mut incarnation, mut generation) = (1, 1);
        let mut table = table(incarnation);
        let mut tickets: Vec<(Ticket, Observed)> = Vec::new();
        for step in steps {
            match step {
                Step::Issue => tickets.push((table.issue(now), Observed::default())),
                Step::Advance(ms) => now += Duration::from_millis(ms.into()),
                Step::Restart => {
                    incarnation += 1;
                    table = self::table(incarnation);
                    table.set_keys(keys(generation));
                }
                Step::ChangeKeys => {
                    generation = generation % 14 + 1;
                    table.set_keys(keys(generation));
                }
                Step::Use(index) | Step::Query(index) | Step::Complete(index, _) => {
                    let Some((ticket, observed)) = tickets.get_mut(index) else { continue };
                    let decision = match step {
                        Step::Use(_) => table.use_ticket(ticket, now),
                        Step::Query(_) => table.query(ticket, now),
                        Step::Complete(_, kind) => {
                            let ended = table.complete(ticket, outcome(kind), Arc::default(), now);
                            observed.was_done |= ended && kind == 0;
                            // The agent completes an order as "not run" only if it was not started.
                            observed.runs -= u32::from(ended && kind == 3);
                            observed.was_reported_not_run |= ended && kind == 3;
                            continue;
                        }
                        _ => unreachable!("the outer match has only these"),
                    };
                    match decision {
                        TicketDecision::Run => {
                            prop_assert!(!observed.was_reported_not_run);
                            observed.runs += 1;
                        }
                        TicketDecision::NotRun(_) => {
                            prop_assert_eq!(observed.runs, 0);
                            observed.was_reported_not_run = true;
                        }
                        TicketDecision::Answer(answer) => {
                            prop_assert_eq!(answer.outcome == Outcome::Done, observed.was_done);
                        }
                        TicketDecision::StillRunning => prop_assert_eq!(observed.runs, 1),
                        TicketDecision::Unknown | TicketDecision::Redirect(_) => {}
                    }
                    prop_assert!(observed.runs <= 1);
                }
            }
            prop_assert!(table.len() <= 4);
        }
    }
}

//! Order tickets.

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

fn book(incarnation: u64) -> TicketTable {
    TicketTable::new(options(), AGENT, Incarnation::new(incarnation), keys(1))
}

fn done(text: &str) -> StoredAnswer {
    StoredAnswer {
        outcome: Outcome::Done,
        body: text.as_bytes().into(),
    }
}

/// Guards against a second run of an order, and against an answer that gets lost.
#[test]
fn repeated_ticket_gets_the_stored_answer() {
    let now = Instant::now();
    let mut book = book(1);
    let ticket = book.issue(now);
    assert_eq!(book.use_ticket(&ticket, now), TicketDecision::Run);
    assert_eq!(book.use_ticket(&ticket, now), TicketDecision::StillRunning);
    assert!(book.complete(&ticket, Outcome::Done, done("pair 7").body, now));
    assert!(!book.complete(&ticket, Outcome::Failed, Arc::default(), now));
    let expected = TicketDecision::Answer(done("pair 7"));
    assert_eq!(book.use_ticket(&ticket, now), expected);
    assert_eq!(book.query(&ticket, now), expected);
    let late = now + 30 * SECOND;
    assert_eq!(book.use_ticket(&ticket, late), TicketDecision::Unknown);
    assert_eq!((book.len(), book.size()), (0, ByteSize::new(0)));
}

/// Guards against a late copy of an order that runs after its caller was told "not run".
#[test]
fn refused_ticket_stays_void() {
    let now = Instant::now();
    let mut book = book(1);
    let refused = book.issue(now);
    assert_eq!(book.use_ticket(&refused, now), TicketDecision::Run);
    let reason = NotRunReason::QueueFull;
    book.complete(&refused, Outcome::NotRun(reason), Arc::default(), now);
    assert_eq!(
        book.use_ticket(&refused, now),
        TicketDecision::NotRun(reason)
    );
    let asked = book.issue(now);
    let withdrawn = TicketDecision::NotRun(NotRunReason::Cancelled);
    assert_eq!(book.query(&asked, now), withdrawn);
    assert_eq!(book.use_ticket(&asked, now), withdrawn);
}

/// Guards against tickets of other agents, older incarnations and forgers, and against a ticket
/// that a change of keys makes void.
#[test]
fn only_own_tickets_run() {
    let now = Instant::now();
    let mut book = book(2);
    let ticket = book.issue(now);
    let mut forged = [ticket; 4];
    forged[0].agent.set_port(7001);
    forged[1].incarnation = Incarnation::new(1);
    forged[2].serial += 1;
    forged[3].check ^= 1;
    let unissued = Ticket::sign(AGENT, Incarnation::new(2), 9, &keys(1));
    let older = self::book(1).issue(now);
    for ticket in forged.iter().chain([&unissued, &older]) {
        assert_eq!(book.use_ticket(ticket, now), TicketDecision::Unknown);
        assert_eq!(book.query(ticket, now), TicketDecision::Unknown);
    }
    book.set_keys(keys(2));
    assert_eq!(book.use_ticket(&ticket, now), TicketDecision::Run);
    book.complete(&ticket, Outcome::Unknown, Arc::default(), now);
    assert_eq!(book.use_ticket(&ticket, now), TicketDecision::Unknown);
}

/// Guards against tickets that expire too early or never.
#[test]
fn unused_tickets_expire() {
    let now = Instant::now();
    let mut book = book(1);
    let tickets = [book.issue(now), book.issue(now), book.issue(now + SECOND)];
    assert_eq!(
        book.use_ticket(&tickets[0], now + 10 * SECOND),
        TicketDecision::Run
    );
    let late = now + 10 * SECOND + SECOND / 6;
    assert_eq!(book.use_ticket(&tickets[1], late), TicketDecision::Unknown);
    assert_eq!(
        book.use_ticket(&tickets[0], late),
        TicketDecision::StillRunning
    );
    assert_eq!(book.use_ticket(&tickets[2], late), TicketDecision::Run);
}

/// Guards against a table that grows without bound, and against a forgotten order that runs again.
#[test]
fn table_is_bounded_in_entries_and_bytes() {
    let now = Instant::now();
    let mut book = book(1);
    let tickets = [(); 6].map(|()| book.issue(now));
    for ticket in &tickets[..3] {
        book.use_ticket(ticket, now);
        book.complete(ticket, Outcome::Done, Arc::from([0; 400]), now);
        assert!(book.size() <= ByteSize::new(1024) && book.len() <= 4);
    }
    assert_eq!(book.use_ticket(&tickets[0], now), TicketDecision::Unknown);
    for ticket in &tickets[3..] {
        assert_eq!(book.use_ticket(ticket, now), TicketDecision::Run);
    }
    let extra = [book.issue(now), book.issue(now)];
    assert_eq!(book.use_ticket(&extra[0], now), TicketDecision::Run);
    let full = TicketDecision::NotRun(NotRunReason::QueueFull);
    assert_eq!(book.use_ticket(&extra[1], now), full);
    book.complete(&tickets[3], Outcome::Done, Arc::default(), now);
    assert_eq!(book.use_ticket(&extra[1], now), TicketDecision::Unknown);
}

#[derive(Clone, Debug)]
enum Step {
    Issue,
    Use(usize),
    Query(usize),
    End(usize, u8),
    Advance(u16),
    Restart,
    NewKeys,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Issue),
        6 => (0..12_usize).prop_map(Step::Use),
        3 => (0..12_usize).prop_map(Step::Query),
        4 => (0..12_usize, 0..4_u8).prop_map(|(ticket, kind)| Step::End(ticket, kind)),
        1 => (0..4000_u16).prop_map(Step::Advance),
        1 => Just(Step::Restart),
        1 => Just(Step::NewKeys),
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
struct Seen {
    runs: u32,
    told_not_run: bool,
    was_done: bool,
}

proptest! {
    /// Guards against a second run of an order under any interleaving, and against answers that
    /// contradict what happened.
    #[test]
    fn an_order_runs_at_most_once(steps in prop::collection::vec(step(), 1..250)) {
        let mut now = Instant::now();
        let (mut incarnation, mut generation) = (1, 1);
        let mut book = book(incarnation);
        let mut tickets: Vec<(Ticket, Seen)> = Vec::new();
        for step in steps {
            match step {
                Step::Issue => tickets.push((book.issue(now), Seen::default())),
                Step::Advance(ms) => now += Duration::from_millis(ms.into()),
                Step::Restart => {
                    incarnation += 1;
                    book = self::book(incarnation);
                    book.set_keys(keys(generation));
                }
                Step::NewKeys => {
                    generation = generation % 14 + 1;
                    book.set_keys(keys(generation));
                }
                Step::Use(index) | Step::Query(index) | Step::End(index, _) => {
                    let Some((ticket, seen)) = tickets.get_mut(index) else { continue };
                    let decision = match step {
                        Step::Use(_) => book.use_ticket(ticket, now),
                        Step::Query(_) => book.query(ticket, now),
                        Step::End(_, kind) => {
                            let ended = book.complete(ticket, outcome(kind), Arc::default(), now);
                            seen.was_done |= ended && kind == 0;
                            // The agent ends an order as "not run" only if it was not started.
                            seen.runs -= u32::from(ended && kind == 3);
                            seen.told_not_run |= ended && kind == 3;
                            continue;
                        }
                        _ => unreachable!("the outer match has only these"),
                    };
                    match decision {
                        TicketDecision::Run => {
                            prop_assert!(!seen.told_not_run);
                            seen.runs += 1;
                        }
                        TicketDecision::NotRun(_) => {
                            prop_assert_eq!(seen.runs, 0);
                            seen.told_not_run = true;
                        }
                        TicketDecision::Answer(answer) => {
                            prop_assert_eq!(answer.outcome == Outcome::Done, seen.was_done);
                        }
                        TicketDecision::StillRunning => prop_assert_eq!(seen.runs, 1),
                        TicketDecision::Unknown | TicketDecision::Redirect(_) => {}
                    }
                    prop_assert!(seen.runs <= 1);
                }
            }
            prop_assert!(book.len() <= 4);
        }
    }
}

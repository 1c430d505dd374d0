//! The ticket table of one incarnation of an agent.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Ticket;
use crate::ids::Incarnation;
use crate::request::{NotRunReason, Outcome, Reservation};
use crate::token::TokenKeys;
use crate::units::ByteSize;

/// The number of steps into which the lifetime of a ticket is divided. The time of issue is kept per
/// step, so that unused tickets take no memory of their own.
const LIFETIME_STEPS: u32 = 64;

/// The size of an entry without its answer, rounded up.
const ENTRY_BYTES: u64 = 128;

/// The settings of a [`TicketTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketTableOptions {
    /// The minimum time for which an issued ticket is valid; it can be valid up to 1/64 longer.
    pub ticket_lifetime: Duration,
    /// How long the answer to an order is kept after the order has ended.
    pub answer_lifetime: Duration,
    /// The maximum number of tickets in use or with a stored answer.
    pub max_entries: usize,
    /// The maximum total size of the entries and answers.
    pub max_bytes: ByteSize,
}

impl Default for TicketTableOptions {
    fn default() -> Self {
        Self {
            ticket_lifetime: Duration::from_mins(1),
            answer_lifetime: Duration::from_mins(10),
            max_entries: 16_384,
            max_bytes: ByteSize::new(16 * 1024 * 1024),
        }
    }
}

/// The stored answer to an order that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// The outcome of the order.
    pub outcome: Outcome,
    /// The body of the response.
    pub body: Arc<[u8]>,
}

/// The decision about an order or a query that arrived with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketDecision {
    /// Run the order now. This is returned at most once per ticket.
    Run,
    /// Send the stored answer.
    Answer(StoredAnswer),
    /// The order is waiting or running.
    StillRunning,
    /// Whether the order has run is unknown. It will not be run from now on.
    Unknown,
    /// The order has not been run, and it will not be run with this ticket.
    NotRun(NotRunReason),
    /// The order has not been run here and will not be; it was redirected to a peer.
    Redirect(Reservation),
}

impl TicketDecision {
    /// Returns the outcome to send to the caller, or `None` if the order has to run first.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Run => None,
            Self::Answer(answer) => Some(answer.outcome.clone()),
            Self::StillRunning => Some(Outcome::StillRunning),
            Self::Unknown => Some(Outcome::Unknown),
            Self::NotRun(reason) => Some(Outcome::NotRun(*reason)),
            Self::Redirect(reservation) => Some(Outcome::Redirect(*reservation)),
        }
    }
}

#[derive(Debug)]
enum Entry {
    InUse,
    Ended(StoredAnswer),
}

impl Entry {
    fn decision(&self) -> TicketDecision {
        let answer = match self {
            Self::InUse => return TicketDecision::StillRunning,
            Self::Ended(answer) => answer,
        };
        match &answer.outcome {
            Outcome::NotRun(reason) => TicketDecision::NotRun(*reason),
            Outcome::Redirect(reservation) => TicketDecision::Redirect(*reservation),
            Outcome::Done | Outcome::Failed => TicketDecision::Answer(answer.clone()),
            Outcome::StillRunning | Outcome::Unknown => TicketDecision::Unknown,
        }
    }

    fn size_bytes(&self) -> u64 {
        match self {
            Self::InUse => ENTRY_BYTES,
            Self::Ended(answer) => ENTRY_BYTES + answer.body.len() as u64,
        }
    }
}

/// The tickets of one incarnation of an agent.
///
/// Three rules ensure that each order runs at most once. The decision about a ticket in the table is
/// that of its entry. An order whose ticket is not in the table runs only if the serial is at least
/// `min_serial`. When an entry is removed, `min_serial` is raised above its serial.
#[derive(Debug)]
pub struct TicketTable {
    options: TicketTableOptions,
    agent: SocketAddrV4,
    incarnation: Incarnation,
    keys: TokenKeys,
    next_serial: u64,
    min_serial: u64,
    issue_steps: VecDeque<(Instant, u64)>,
    entries: BTreeMap<u64, Entry>,
    ended_orders: VecDeque<(Instant, u64)>,
    total_bytes: u64,
}

impl TicketTable {
    /// Returns an empty table.
    pub fn new(
        options: TicketTableOptions,
        agent: SocketAddrV4,
        incarnation: Incarnation,
        keys: TokenKeys,
    ) -> Self {
        Self {
            options,
            agent,
            incarnation,
            keys,
            next_serial: 0,
            min_serial: 0,
            issue_steps: VecDeque::new(),
            entries: BTreeMap::new(),
            ended_orders: VecDeque::new(),
            total_bytes: 0,
        }
    }

    /// Replaces the keys by which tickets are signed and verified.
    pub fn set_keys(&mut self, keys: TokenKeys) {
        self.keys = keys;
    }

    /// Issues a ticket that is valid for at least [`TicketTableOptions::ticket_lifetime`].
    pub fn issue(&mut self, now: Instant) -> Ticket {
        self.expire(now);
        let step = self.options.ticket_lifetime / LIFETIME_STEPS;
        let is_due = |(start, _): &(Instant, u64)| now.saturating_duration_since(*start) >= step;
        if self.issue_steps.back().is_none_or(is_due) {
            self.issue_steps.push_back((now, self.next_serial));
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        Ticket::sign(self.agent, self.incarnation, serial, &self.keys)
    }

    /// Returns the decision about an order that arrived with `ticket`, and marks an unused ticket as
    /// used.
    pub fn use_ticket(&mut self, ticket: &Ticket, now: Instant) -> TicketDecision {
        match self.check_unused(ticket, now) {
            Ok(()) => self.begin(ticket.serial),
            Err(decision) => decision,
        }
    }

    /// Returns the decision about a query for the outcome of an order.
    ///
    /// A query with an unused ticket is answered with "not run" and invalidates the ticket, as the
    /// order may still arrive and would otherwise run after that answer.
    pub fn query(&mut self, ticket: &Ticket, now: Instant) -> TicketDecision {
        if let Err(decision) = self.check_unused(ticket, now) {
            return decision;
        }
        let reason = NotRunReason::Cancelled;
        if self.begin(ticket.serial) == TicketDecision::Run {
            self.complete(ticket, Outcome::NotRun(reason), Arc::default(), now);
        }
        TicketDecision::NotRun(reason)
    }

    /// Stores the outcome and answer of the order of a ticket, and returns whether the ticket was in
    /// use.
    ///
    /// The outcome is [`Outcome::Unknown`] if the backend server may or may not have run the order.
    pub fn complete(
        &mut self,
        ticket: &Ticket,
        outcome: Outcome,
        body: Arc<[u8]>,
        now: Instant,
    ) -> bool {
        if self.is_issued_elsewhere(ticket) {
            return false;
        }
        let Some(entry @ Entry::InUse) = self.entries.get_mut(&ticket.serial) else {
            return false;
        };
        self.total_bytes += body.len() as u64;
        *entry = Entry::Ended(StoredAnswer { outcome, body });
        self.ended_orders.push_back((now, ticket.serial));
        self.expire(now);
        true
    }

    /// Returns the number of tickets in use or with a stored answer.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no ticket is in use or has a stored answer.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the entries and answers.
    pub fn size(&self) -> ByteSize {
        ByteSize::new(self.total_bytes)
    }

    /// Returns `Ok` if the ticket is valid and unused, and otherwise the decision as an error.
    fn check_unused(&mut self, ticket: &Ticket, now: Instant) -> Result<(), TicketDecision> {
        self.expire(now);
        if self.is_issued_elsewhere(ticket) || !ticket.verifies(&self.keys) {
            return Err(TicketDecision::Unknown);
        }
        if let Some(entry) = self.entries.get(&ticket.serial) {
            return Err(entry.decision());
        }
        if (self.min_serial..self.next_serial).contains(&ticket.serial) {
            Ok(())
        } else {
            Err(TicketDecision::Unknown)
        }
    }

    fn is_issued_elsewhere(&self, ticket: &Ticket) -> bool {
        ticket.agent != self.agent || ticket.incarnation != self.incarnation
    }

    /// Marks an unused ticket as used. If the table is full, the ticket is invalidated and its order
    /// is not run.
    fn begin(&mut self, serial: u64) -> TicketDecision {
        while self.entries.len() >= self.options.max_entries {
            if !self.remove_oldest_ended() {
                self.raise_min_serial(serial + 1);
                return TicketDecision::NotRun(NotRunReason::QueueFull);
            }
        }
        if serial < self.min_serial {
            return TicketDecision::NotRun(NotRunReason::QueueFull);
        }
        self.total_bytes += ENTRY_BYTES;
        self.entries.insert(serial, Entry::InUse);
        TicketDecision::Run
    }

    fn expire(&mut self, now: Instant) {
        // The tickets of a step were issued up to one step after its start.
        let lifetime = self.options.ticket_lifetime;
        let step_lifetime = lifetime + lifetime / LIFETIME_STEPS;
        while let Some((start, _)) = self.issue_steps.front() {
            if now.saturating_duration_since(*start) < step_lifetime {
                break;
            }
            self.issue_steps.pop_front();
            let next = self.issue_steps.front();
            self.raise_min_serial(next.map_or(self.next_serial, |(_, first)| *first));
        }
        while let Some((ended_at, _)) = self.ended_orders.front() {
            let is_expired =
                now.saturating_duration_since(*ended_at) >= self.options.answer_lifetime;
            if !is_expired && self.total_bytes <= self.options.max_bytes.get() {
                break;
            }
            self.remove_oldest_ended();
        }
    }

    fn remove_oldest_ended(&mut self) -> bool {
        let Some((_, serial)) = self.ended_orders.pop_front() else {
            return false;
        };
        if let Some(entry) = self.entries.remove(&serial) {
            self.total_bytes -= entry.size_bytes();
        }
        self.raise_min_serial(serial + 1);
        true
    }

    fn raise_min_serial(&mut self, min_serial: u64) {
        self.min_serial = self.min_serial.max(min_serial);
    }
}

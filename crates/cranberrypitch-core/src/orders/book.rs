//! The table of tickets of one incarnation of an agent.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Ticket;
use crate::ids::Incarnation;
use crate::request::{NotRunReason, Outcome, Reservation};
use crate::token::TokenKeys;
use crate::units::ByteSize;

/// Unused tickets take no memory each; their ages are kept in this many steps of their lifetime.
const AGE_STEPS: u32 = 64;

/// The memory of an entry without its answer, rounded up.
const ENTRY_BYTES: u64 = 128;

/// The settings of a [`TicketTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketTableOptions {
    /// How long a ticket may be used after it was issued, at least; up to 1/64 longer.
    pub ticket_lifetime: Duration,
    /// How long the answer of an order is kept after its end.
    pub answer_lifetime: Duration,
    /// The most tickets in use or with an answer.
    pub max_entries: usize,
    /// The most memory for answers and their entries.
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

/// The answer of an order that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// How the order ended.
    pub outcome: Outcome,
    /// The body of the answer.
    pub body: Arc<[u8]>,
}

/// What to do about a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketDecision {
    /// Run the order now; this is decided at most once for a ticket.
    Run,
    /// Repeat the stored answer.
    Answer(StoredAnswer),
    /// The order waits or runs.
    StillRunning,
    /// It can't be told whether the order ran; it never runs from now on.
    Unknown,
    /// The order was not run and never will be under this ticket.
    NotRun(NotRunReason),
    /// The order was not run here and never will be; a peer held a slot for it.
    Redirect(Reservation),
}

impl TicketDecision {
    /// Returns the outcome that a caller is told, or `None` if the order runs first.
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
/// Three rules make every order run at most once. A ticket in the table is decided by its entry.
/// A ticket that is not in the table runs only if its serial is at or above the floor. An entry
/// leaves the table only together with a rise of the floor above its serial.
#[derive(Debug)]
pub struct TicketTable {
    options: TicketTableOptions,
    agent: SocketAddrV4,
    incarnation: Incarnation,
    keys: TokenKeys,
    next_serial: u64,
    floor: u64,
    ages: VecDeque<(Instant, u64)>,
    entries: BTreeMap<u64, Entry>,
    ended: VecDeque<(Instant, u64)>,
    bytes: u64,
}

impl TicketTable {
    /// Returns an empty book.
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
            floor: 0,
            ages: VecDeque::new(),
            entries: BTreeMap::new(),
            ended: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Replaces the keys after a change of generations.
    pub fn set_keys(&mut self, keys: TokenKeys) {
        self.keys = keys;
    }

    /// Issues a ticket.
    pub fn issue(&mut self, now: Instant) -> Ticket {
        self.expire(now);
        let step = self.options.ticket_lifetime / AGE_STEPS;
        let is_due = |(start, _): &(Instant, u64)| now.saturating_duration_since(*start) >= step;
        if self.ages.back().is_none_or(is_due) {
            self.ages.push_back((now, self.next_serial));
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        Ticket::sign(self.agent, self.incarnation, serial, &self.keys)
    }

    /// Decides about an order that arrived with a ticket.
    pub fn use_ticket(&mut self, ticket: &Ticket, now: Instant) -> TicketDecision {
        match self.look_up(ticket, now) {
            Ok(()) => self.begin(ticket.serial),
            Err(decision) => decision,
        }
    }

    /// Decides about a question for the outcome of an order.
    ///
    /// The answer "not run" to a question about an unused ticket makes the ticket void: the order
    /// may still be on its way, and would otherwise run after that answer.
    pub fn query(&mut self, ticket: &Ticket, now: Instant) -> TicketDecision {
        if let Err(decision) = self.look_up(ticket, now) {
            return decision;
        }
        let reason = NotRunReason::Cancelled;
        if self.begin(ticket.serial) == TicketDecision::Run {
            self.complete(ticket, Outcome::NotRun(reason), Arc::default(), now);
        }
        TicketDecision::NotRun(reason)
    }

    /// Stores how the order of a ticket in use ended, and returns whether the ticket was in use.
    ///
    /// An order whose outcome at the backend server can't be told ends as [`Outcome::Unknown`].
    pub fn complete(
        &mut self,
        ticket: &Ticket,
        outcome: Outcome,
        body: Arc<[u8]>,
        now: Instant,
    ) -> bool {
        if self.is_foreign(ticket) {
            return false;
        }
        let Some(entry @ Entry::InUse) = self.entries.get_mut(&ticket.serial) else {
            return false;
        };
        self.bytes += body.len() as u64;
        *entry = Entry::Ended(StoredAnswer { outcome, body });
        self.ended.push_back((now, ticket.serial));
        self.expire(now);
        true
    }

    /// Returns the number of tickets in use or with an answer.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no ticket is in use or has an answer.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory of the entries and answers.
    pub fn size(&self) -> ByteSize {
        ByteSize::new(self.bytes)
    }

    /// Returns `Ok` for a ticket that is valid and unused, and the decision for any other.
    fn look_up(&mut self, ticket: &Ticket, now: Instant) -> Result<(), TicketDecision> {
        self.expire(now);
        if self.is_foreign(ticket) || !ticket.verifies(&self.keys) {
            return Err(TicketDecision::Unknown);
        }
        if let Some(entry) = self.entries.get(&ticket.serial) {
            return Err(entry.decision());
        }
        if (self.floor..self.next_serial).contains(&ticket.serial) {
            Ok(())
        } else {
            Err(TicketDecision::Unknown)
        }
    }

    fn is_foreign(&self, ticket: &Ticket) -> bool {
        ticket.agent != self.agent || ticket.incarnation != self.incarnation
    }

    /// Enters an unused ticket. Without room the ticket becomes void, and it has not run.
    fn begin(&mut self, serial: u64) -> TicketDecision {
        while self.entries.len() >= self.options.max_entries {
            if !self.forget_oldest_ended() {
                self.raise_floor(serial + 1);
                return TicketDecision::NotRun(NotRunReason::QueueFull);
            }
        }
        if serial < self.floor {
            return TicketDecision::NotRun(NotRunReason::QueueFull);
        }
        self.bytes += ENTRY_BYTES;
        self.entries.insert(serial, Entry::InUse);
        TicketDecision::Run
    }

    fn expire(&mut self, now: Instant) {
        // Tickets of a step were issued up to one step after its start.
        let lifetime = self.options.ticket_lifetime;
        let step_lifetime = lifetime + lifetime / AGE_STEPS;
        while let Some((start, _)) = self.ages.front() {
            if now.saturating_duration_since(*start) < step_lifetime {
                break;
            }
            self.ages.pop_front();
            let next = self.ages.front();
            self.raise_floor(next.map_or(self.next_serial, |(_, first)| *first));
        }
        while let Some((ended, _)) = self.ended.front() {
            let is_old = now.saturating_duration_since(*ended) >= self.options.answer_lifetime;
            if !is_old && self.bytes <= self.options.max_bytes.get() {
                break;
            }
            self.forget_oldest_ended();
        }
    }

    fn forget_oldest_ended(&mut self) -> bool {
        let Some((_, serial)) = self.ended.pop_front() else {
            return false;
        };
        if let Some(entry) = self.entries.remove(&serial) {
            self.bytes -= entry.size_bytes();
        }
        self.raise_floor(serial + 1);
        true
    }

    fn raise_floor(&mut self, floor: u64) {
        self.floor = self.floor.max(floor);
    }
}

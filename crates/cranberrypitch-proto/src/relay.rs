//! The messages of the relay protocol between balancers and agents, and between agents. They carry
//! whole packets of callers.
//!
//! Each datagram starts with two bytes: the format and the kind of the message. Numbers are
//! big-endian. The messages are not authenticated: they stay within one deployment, whose network
//! delivers them only to its own VMs.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bytes::{Buf, BufMut};
use cranberrypitch_core::flow::{
    AgentLoad, AgentRecord, ConfigCheck, EvacuationSet, EvacuationVersion, FlowKey, LookupAnswer,
    LookupQuery, Message, OpenParams, RefusalCause, RequestLimits,
};
use cranberrypitch_core::{
    FailureDomain, Incarnation, RequestRate, Revision, ServiceName, ServiceTag, Slots, TargetState,
};

use crate::errors::{Error, Result};

/// The first byte of each datagram, which is both the magic number and the format version.
const FORMAT: u8 = 0xd2;

/// The length of the header of [`Message::Open`], the longest header before a packet.
pub const MAX_HEADER_BYTES: usize = 15;

// The kinds of messages, in the second byte.
const OPEN: u8 = 1;
const FORWARD: u8 = 2;
const LOOKUP: u8 = 3;
const OPEN_ACCEPTED: u8 = 4;
const OPEN_REFUSED: u8 = 5;
const LOOKUP_REPLY: u8 = 6;
const PACKET_RETURNED: u8 = 7;
const REPORT: u8 = 8;
const AGENT_LIST: u8 = 9;
const BALANCER_QUERY: u8 = 10;
const BALANCER_LIST: u8 = 11;
const OPEN_QUEUED: u8 = 12;
const LOOKUP_BATCH: u8 = 13;
const LOOKUP_BATCH_REPLY: u8 = 14;
const CONFIG_CHECK: u8 = 15;
const EVACUATIONS: u8 = 16;

/// The byte that stands for the version of evacuations before the first one, which has no further bytes.
const NO_EVACUATION_VERSION: u8 = 0;

/// The byte before any other version of evacuations.
const EVACUATION_VERSION: u8 = 1;

/// The unit of short times in reports, in microseconds.
const TENTH_MILLI_MICROS: u128 = 100;

/// The wire value of [`OpenParams::expected_requests`] for `None`.
const NO_EXPECTED_REQUESTS: u16 = u16::MAX;

/// The wire value of [`OpenParams::warmup_rate`] for `None`.
const NO_WARMUP_RATE: u32 = 0;

/// Replaces the content of `datagram` by an encoded message.
pub fn encode(message: &Message<'_>, datagram: &mut Vec<u8>) {
    datagram.clear();
    datagram.put_u8(FORMAT);
    match message {
        Message::Open { params, packet } => {
            datagram.put_u8(OPEN);
            datagram.put_u32(params.service.get());
            datagram.put_u8(params.priority);
            datagram.put_u16(params.expected_requests.unwrap_or(NO_EXPECTED_REQUESTS));
            put_short_millis(datagram, params.limits.latency_objective);
            put_short_millis(datagram, params.limits.timeout);
            let rate = params.warmup_rate.map_or(NO_WARMUP_RATE, RequestRate::get);
            datagram.put_u16(u16::try_from(rate).unwrap_or(u16::MAX));
            datagram.put_slice(packet);
        }
        Message::Forward { packet } => {
            datagram.put_u8(FORWARD);
            datagram.put_slice(packet);
        }
        Message::Lookup { flow, ack_number } => {
            datagram.put_u8(LOOKUP);
            put_flow(datagram, flow);
            datagram.put_u32(*ack_number);
        }
        Message::LookupBatch(queries) => {
            datagram.put_u8(LOOKUP_BATCH);
            for query in queries {
                put_flow(datagram, &query.flow);
                datagram.put_u32(query.ack_number);
            }
        }
        Message::LookupBatchReply(answers) => {
            datagram.put_u8(LOOKUP_BATCH_REPLY);
            for (flow, answer) in answers {
                put_flow(datagram, flow);
                datagram.put_u8(lookup_answer_code(*answer));
            }
        }
        Message::OpenAccepted { flow } => {
            datagram.put_u8(OPEN_ACCEPTED);
            put_flow(datagram, flow);
        }
        Message::OpenQueued { flow } => {
            datagram.put_u8(OPEN_QUEUED);
            put_flow(datagram, flow);
        }
        Message::OpenRefused { flow, cause } => {
            datagram.put_u8(OPEN_REFUSED);
            put_flow(datagram, flow);
            datagram.put_u8(refusal_cause_code(*cause));
        }
        Message::LookupReply { flow, answer } => {
            datagram.put_u8(LOOKUP_REPLY);
            put_flow(datagram, flow);
            datagram.put_u8(lookup_answer_code(*answer));
        }
        Message::PacketReturned { packet } => {
            datagram.put_u8(PACKET_RETURNED);
            datagram.put_slice(packet);
        }
        Message::AgentList(addresses) => {
            datagram.put_u8(AGENT_LIST);
            put_addresses(datagram, addresses);
        }
        Message::BalancerQuery => datagram.put_u8(BALANCER_QUERY),
        Message::BalancerList(addresses) => {
            datagram.put_u8(BALANCER_LIST);
            put_addresses(datagram, addresses);
        }
        Message::Report {
            record,
            load,
            evacuations,
        } => {
            datagram.put_u8(REPORT);
            put_report(datagram, record, *load);
            put_evacuation_version(datagram, *evacuations);
        }
        Message::Evacuations(set) => {
            datagram.put_u8(EVACUATIONS);
            put_evacuations(datagram, set);
        }
        Message::ConfigCheck { check, evacuations } => {
            datagram.put_u8(CONFIG_CHECK);
            datagram.put_u64(check.version.get());
            put_millis(datagram, check.age);
            put_address(datagram, check.checked_by);
            put_evacuations(datagram, evacuations);
        }
    }
}

/// Decodes a message. Packets are borrowed from `datagram`.
///
/// # Errors
///
/// Returns an error if the datagram is truncated, has an unknown format or kind, or is malformed.
pub fn decode(datagram: &[u8]) -> Result<Message<'_>> {
    let Some(([format, kind], body)) = datagram.split_first_chunk() else {
        return Err(Error::Truncated {
            len_bytes: datagram.len(),
        });
    };
    if *format != FORMAT {
        return Err(Error::UnknownFormat);
    }
    let mut reader = Reader(body);
    let message = match *kind {
        OPEN => Message::Open {
            params: OpenParams {
                service: ServiceTag::new(reader.u32()?),
                priority: reader.u8()?,
                expected_requests: Some(reader.u16()?)
                    .filter(|number| *number != NO_EXPECTED_REQUESTS),
                limits: RequestLimits {
                    latency_objective: reader.short_millis()?,
                    timeout: reader.short_millis()?,
                },
                warmup_rate: Some(RequestRate::new(u32::from(reader.u16()?)))
                    .filter(|rate| rate.get() != NO_WARMUP_RATE),
            },
            packet: reader.rest(),
        },
        FORWARD => Message::Forward {
            packet: reader.rest(),
        },
        LOOKUP => Message::Lookup {
            flow: reader.flow()?,
            ack_number: reader.u32()?,
        },
        LOOKUP_BATCH => Message::LookupBatch(reader.read_all(|reader| {
            Ok(LookupQuery {
                flow: reader.flow()?,
                ack_number: reader.u32()?,
            })
        })?),
        LOOKUP_BATCH_REPLY => Message::LookupBatchReply(
            reader.read_all(|reader| Ok((reader.flow()?, lookup_answer(reader.u8()?)?)))?,
        ),
        OPEN_ACCEPTED => Message::OpenAccepted {
            flow: reader.flow()?,
        },
        OPEN_QUEUED => Message::OpenQueued {
            flow: reader.flow()?,
        },
        OPEN_REFUSED => Message::OpenRefused {
            flow: reader.flow()?,
            cause: refusal_cause(reader.u8()?)?,
        },
        LOOKUP_REPLY => Message::LookupReply {
            flow: reader.flow()?,
            answer: lookup_answer(reader.u8()?)?,
        },
        PACKET_RETURNED => Message::PacketReturned {
            packet: reader.rest(),
        },
        REPORT => reader.report()?,
        CONFIG_CHECK => Message::ConfigCheck {
            check: ConfigCheck {
                version: Revision::new(reader.u64()?),
                age: reader.millis()?,
                checked_by: reader.address()?,
            },
            evacuations: reader.evacuations()?,
        },
        EVACUATIONS => Message::Evacuations(reader.evacuations()?),
        AGENT_LIST => Message::AgentList(reader.read_all(Reader::address)?),
        BALANCER_QUERY => Message::BalancerQuery,
        BALANCER_LIST => Message::BalancerList(reader.read_all(Reader::address)?),
        kind => return Err(Error::UnknownKind { kind }),
    };
    reader.finish()?;
    Ok(message)
}

fn put_address(datagram: &mut Vec<u8>, address: SocketAddrV4) {
    datagram.put_slice(&address.ip().octets());
    datagram.put_u16(address.port());
}

/// Writes a duration in whole milliseconds, at most 49 days.
fn put_millis(datagram: &mut Vec<u8>, duration: Duration) {
    datagram.put_u32(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX));
}

/// Writes a duration in whole milliseconds, at most 65.5 s.
fn put_short_millis(datagram: &mut Vec<u8>, duration: Duration) {
    datagram.put_u16(u16::try_from(duration.as_millis()).unwrap_or(u16::MAX));
}

/// Writes a duration in tenths of a millisecond, at most 6.5 s.
fn put_tenth_millis(datagram: &mut Vec<u8>, duration: Duration) {
    let tenths = duration.as_micros() / TENTH_MILLI_MICROS;
    datagram.put_u16(u16::try_from(tenths).unwrap_or(u16::MAX));
}

fn put_addresses(datagram: &mut Vec<u8>, addresses: &[SocketAddrV4]) {
    for address in addresses {
        put_address(datagram, *address);
    }
}

fn put_flow(datagram: &mut Vec<u8>, flow: &FlowKey) {
    put_address(datagram, flow.caller);
    put_address(datagram, flow.service_address);
}

/// Writes a name with a length prefix of one byte. Names have at most 63 bytes.
fn put_name(datagram: &mut Vec<u8>, name: &str) {
    datagram.put_u8(u8::try_from(name.len()).unwrap_or(u8::MAX));
    datagram.put_slice(name.as_bytes());
}

/// Writes the version of a set of evacuated failure domains: one byte before the first evacuation.
fn put_evacuation_version(datagram: &mut Vec<u8>, version: EvacuationVersion) {
    if version == EvacuationVersion::default() {
        return datagram.put_u8(NO_EVACUATION_VERSION);
    }
    datagram.put_u8(EVACUATION_VERSION);
    datagram.put_u64(version.epoch);
    datagram.put_u64(version.revision);
}

/// Writes a set of evacuated failure domains, at most 255 of them.
fn put_evacuations(datagram: &mut Vec<u8>, set: &EvacuationSet) {
    put_evacuation_version(datagram, set.version);
    if set.version == EvacuationVersion::default() {
        return;
    }
    let count = u8::try_from(set.failure_domains.len()).unwrap_or(u8::MAX);
    datagram.put_u8(count);
    for failure_domain in set.failure_domains.iter().take(usize::from(count)) {
        put_name(datagram, failure_domain.as_str());
    }
}

fn put_report(datagram: &mut Vec<u8>, record: &AgentRecord, load: AgentLoad) {
    put_address(datagram, record.address);
    datagram.put_u64(record.incarnation.get());
    datagram.put_u8(agent_state_code(record));
    datagram.put_u32(record.slots.get());
    put_millis(datagram, record.warmup_left);
    datagram.put_u16(load.running_requests);
    datagram.put_u16(load.mean_requests_hundredths);
    datagram.put_u8(load.failed_responses_percent);
    datagram.put_u8(load.weighted_responses);
    datagram.put_u16(load.open_flows);
    put_tenth_millis(datagram, load.service_time);
    put_name(datagram, record.service.as_str());
    put_name(datagram, record.failure_domain.as_str());
}

/// A reader over the rest of a datagram.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn u8(&mut self) -> Result<u8> {
        self.0.try_get_u8().map_err(|e| malformed(&e))
    }

    fn u16(&mut self) -> Result<u16> {
        self.0.try_get_u16().map_err(|e| malformed(&e))
    }

    fn u32(&mut self) -> Result<u32> {
        self.0.try_get_u32().map_err(|e| malformed(&e))
    }

    fn u64(&mut self) -> Result<u64> {
        self.0.try_get_u64().map_err(|e| malformed(&e))
    }

    fn millis(&mut self) -> Result<Duration> {
        Ok(Duration::from_millis(u64::from(self.u32()?)))
    }

    fn short_millis(&mut self) -> Result<Duration> {
        Ok(Duration::from_millis(u64::from(self.u16()?)))
    }

    fn tenth_millis(&mut self) -> Result<Duration> {
        let micros = u128::from(self.u16()?) * TENTH_MILLI_MICROS;
        Ok(Duration::from_micros(
            u64::try_from(micros).unwrap_or(u64::MAX),
        ))
    }

    fn address(&mut self) -> Result<SocketAddrV4> {
        let ip = Ipv4Addr::from(self.u32()?);
        Ok(SocketAddrV4::new(ip, self.u16()?))
    }

    /// Reads items up to the end of the datagram.
    fn read_all<T>(&mut self, read: impl Fn(&mut Self) -> Result<T>) -> Result<Box<[T]>> {
        let mut items = Vec::new();
        while !self.0.is_empty() {
            items.push(read(self)?);
        }
        Ok(items.into())
    }

    fn flow(&mut self) -> Result<FlowKey> {
        Ok(FlowKey {
            caller: self.address()?,
            service_address: self.address()?,
        })
    }

    fn name(&mut self) -> Result<&'a str> {
        let len = usize::from(self.u8()?);
        let Some((name, rest)) = self.0.split_at_checked(len) else {
            return Err(malformed(&"truncated name"));
        };
        self.0 = rest;
        std::str::from_utf8(name).map_err(|e| malformed(&e))
    }

    /// Returns the rest of the datagram, which is a packet.
    const fn rest(&mut self) -> Cow<'a, [u8]> {
        let rest = self.0;
        self.0 = &[];
        Cow::Borrowed(rest)
    }

    /// Checks that the whole datagram has been read.
    fn finish(&self) -> Result<()> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(malformed(&"trailing bytes after the message"))
        }
    }

    fn report(&mut self) -> Result<Message<'a>> {
        let address = self.address()?;
        let incarnation = Incarnation::new(self.u64()?);
        let (state, is_agent_stopping) = agent_state(self.u8()?)?;
        let slots = Slots::new(self.u32()?);
        let warmup_left = self.millis()?;
        let load = AgentLoad {
            running_requests: self.u16()?,
            mean_requests_hundredths: self.u16()?,
            failed_responses_percent: self.u8()?,
            weighted_responses: self.u8()?,
            open_flows: self.u16()?,
            service_time: self.tenth_millis()?,
        };
        let record = AgentRecord {
            address,
            service: ServiceName::try_new(self.name()?).map_err(|e| malformed(&e))?,
            failure_domain: self.failure_domain()?,
            incarnation,
            state,
            slots,
            warmup_left,
            is_agent_stopping,
            held_flows: None,
        };
        Ok(Message::Report {
            record,
            load,
            evacuations: self.evacuation_version()?,
        })
    }

    fn evacuation_version(&mut self) -> Result<EvacuationVersion> {
        match self.u8()? {
            NO_EVACUATION_VERSION => Ok(EvacuationVersion::default()),
            EVACUATION_VERSION => Ok(EvacuationVersion {
                epoch: self.u64()?,
                revision: self.u64()?,
            }),
            code => Err(malformed(&format!("unknown evacuation version {code}"))),
        }
    }

    fn evacuations(&mut self) -> Result<EvacuationSet> {
        let version = self.evacuation_version()?;
        if version == EvacuationVersion::default() {
            return Ok(EvacuationSet::default());
        }
        let count = self.u8()?;
        let failure_domains: Result<BTreeSet<_>> =
            (0..count).map(|_| self.failure_domain()).collect();
        Ok(EvacuationSet {
            version,
            failure_domains: failure_domains?,
        })
    }

    fn failure_domain(&mut self) -> Result<FailureDomain> {
        FailureDomain::try_new(self.name()?).map_err(|e| malformed(&e))
    }
}

fn malformed(detail: &impl ToString) -> Error {
    Error::malformed("relay message", detail)
}

const fn refusal_cause_code(cause: RefusalCause) -> u8 {
    match cause {
        RefusalCause::OtherService => 1,
        RefusalCause::Draining => 2,
        RefusalCause::TargetSilent => 3,
        RefusalCause::TargetFull => 4,
        RefusalCause::BusierThanExpected => 5,
        RefusalCause::Overloaded => 6,
        RefusalCause::Evacuated => 7,
    }
}

fn refusal_cause(code: u8) -> Result<RefusalCause> {
    Ok(match code {
        1 => RefusalCause::OtherService,
        2 => RefusalCause::Draining,
        3 => RefusalCause::TargetSilent,
        4 => RefusalCause::TargetFull,
        5 => RefusalCause::BusierThanExpected,
        6 => RefusalCause::Overloaded,
        7 => RefusalCause::Evacuated,
        _ => return Err(malformed(&format!("unknown refusal cause {code}"))),
    })
}

const fn lookup_answer_code(answer: LookupAnswer) -> u8 {
    match answer {
        LookupAnswer::Held => 1,
        LookupAnswer::NotHeld => 2,
        LookupAnswer::MayBeHeld => 3,
    }
}

fn lookup_answer(code: u8) -> Result<LookupAnswer> {
    Ok(match code {
        1 => LookupAnswer::Held,
        2 => LookupAnswer::NotHeld,
        3 => LookupAnswer::MayBeHeld,
        _ => return Err(malformed(&format!("unknown lookup answer {code}"))),
    })
}

/// Returns the code for the state of a target and its agent. A target takes no flows while its agent is
/// stopping, so that has a code of its own.
const fn agent_state_code(record: &AgentRecord) -> u8 {
    match record.state {
        _ if record.is_agent_stopping => 5,
        TargetState::Starting => 1,
        TargetState::Ready => 2,
        TargetState::Draining => 3,
        TargetState::Gone => 4,
    }
}

/// Returns the state of the target, and whether its agent is stopping.
fn agent_state(code: u8) -> Result<(TargetState, bool)> {
    Ok(match code {
        1 => (TargetState::Starting, false),
        2 => (TargetState::Ready, false),
        3 => (TargetState::Draining, false),
        4 => (TargetState::Gone, false),
        5 => (TargetState::Draining, true),
        _ => return Err(malformed(&format!("unknown target state {code}"))),
    })
}

//! The catalogue of log events.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use cranberrypitch_core::{
    EditId, FailureDomain, Incarnation, KeyGeneration, NotRunReason, OrganisationId, Revision,
    ServiceName, Slots, VmId,
};
use derive_more::Display;
use log::Level;

use crate::events::EventEntry;
use crate::store::Epoch;

/// A program that logs events.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Program {
    /// The balancer.
    #[display("balancer")]
    Balancer,
    /// The agent.
    #[display("agent")]
    Agent,
    /// The stand-ins for the environment, used by tests and the demo.
    #[display("standin")]
    Standin,
}

/// The reason for which a datagram was dropped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The datagram is not a QUIC packet.
    #[display("malformed packet")]
    Malformed,
    /// The QUIC version of the packet is not 1.
    #[display("unknown QUIC version")]
    UnknownVersion,
    /// The connection id is not a routing token that the keys verify.
    #[display("invalid routing token")]
    InvalidToken,
    /// The first packet of a flow is shorter than QUIC requires.
    #[display("first packet too short")]
    ShortInitial,
    /// The configuration in force has no service at the destination address.
    #[display("address without service")]
    NoService,
    /// The service has no target that accepts new flows.
    #[display("no target")]
    NoTarget,
    /// All targets of the service that accept new flows are in evacuated failure domains.
    #[display("evacuated")]
    Evacuated,
    /// The tunnel datagram fails verification or is of an unexpected kind.
    #[display("invalid tunnel datagram")]
    InvalidTunnel,
    /// The datagram is returned from a service address that this balancer does not serve.
    #[display("return from an unknown service address")]
    UnknownServiceAddress,
    /// The datagram is for another service, agent or incarnation.
    #[display("misdirected")]
    Misdirected,
    /// The agent has no live balancer to return the datagram through.
    #[display("no balancer")]
    NoBalancer,
    /// The queue of the control thread or the table of callers is full.
    #[display("queue full")]
    QueueFull,
    /// The socket did not accept the datagram.
    #[display("socket buffer full")]
    SendFailed,
}

impl DropReason {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 13] = [
        Self::Malformed,
        Self::UnknownVersion,
        Self::InvalidToken,
        Self::ShortInitial,
        Self::NoService,
        Self::NoTarget,
        Self::Evacuated,
        Self::InvalidTunnel,
        Self::UnknownServiceAddress,
        Self::Misdirected,
        Self::NoBalancer,
        Self::QueueFull,
        Self::SendFailed,
    ];
}

macro_rules! events {
    ($(
        #[doc = $meaning:literal]
        $number:literal $level:ident $name:ident
        $({ $($field:ident: $type:ty),+ $(,)? })?
        = $text:literal $(, $alias:ident = $value:expr)*;
    )+) => {
        /// A log event.
        #[derive(Clone, Debug, Display, PartialEq, Eq)]
        #[expect(missing_docs, reason = "the text of an event names each field")]
        #[non_exhaustive]
        pub enum Event {
            $(
                #[doc = $meaning]
                #[display($text $(, $alias = $value)*)]
                $name $({ $($field: $type),+ })?,
            )+
        }

        impl Event {
            /// Returns the number of the event.
            pub const fn number(&self) -> u16 {
                match self {
                    $(Self::$name { .. } => $number,)+
                }
            }

            /// Returns the log level of the event.
            pub const fn level(&self) -> Level {
                match self {
                    $(Self::$name { .. } => Level::$level,)+
                }
            }
        }

        /// All events, in the order of their numbers.
        pub const CATALOGUE: &[EventEntry] = &[$(
            EventEntry {
                number: $number,
                level: Level::$level,
                name: stringify!($name),
                text: $text,
                meaning: $meaning.trim_ascii(),
            },
        )+];
    };
}

events! {
    /// A daemon has read its settings and keys, and starts.
    101 Info Started { program: Program, vm: VmId, incarnation: Incarnation }
        = "{program} started on {vm}, incarnation {incarnation}";
    /// A signal requests a graceful shutdown.
    102 Info StopRequested { signal: &'static str }
        = "graceful stop requested by {signal}";
    /// A daemon has stopped.
    103 Info Stopped { program: Program, exit_code: u8 }
        = "{program} stopped with exit code {exit_code}";
    /// A daemon stops because of an error.
    104 Error Failed { program: Program, error: Box<str> }
        = "{program} failed: {error}";
    /// The supervisor restarts an actor that failed.
    105 Warn ActorRestarted { actor: &'static str, error: Box<str> }
        = "actor {actor} restarted after: {error}";
    /// A thread ends unexpectedly, which ends the process.
    106 Error ThreadFailed { thread: Box<str>, error: Box<str> }
        = "thread {thread} failed: {error}";
    /// The process did not run for a while; its leases may have lapsed, and peers may count it as silent.
    107 Warn Paused { paused_ms: Duration }
        = "process was paused for {milliseconds} ms", milliseconds = paused_ms.as_millis();

    /// Settings are invalid; one line for each problem.
    201 Error SettingsRefused { problem: Box<str> }
        = "settings refused: {problem}";
    /// A configuration takes effect in this process.
    202 Info ConfigurationInForce { revision: Revision, edit_id: EditId, services: usize }
        = "configuration {revision} in force, edit {edit_id}, {services} services";
    /// A configuration is malformed, so the last one stays in force; limited in rate.
    203 Error ConfigurationRefused { error: Box<str> }
        = "configuration refused: {error}";
    /// The store offers an older configuration than the one in force; limited in rate.
    204 Warn ConfigurationStale { revision: Revision, in_force: Revision }
        = "configuration {revision} of the store ignored, {in_force} is in force";
    /// The configuration does not list the service of this agent.
    205 Warn ServiceNotConfigured { service: ServiceName, revision: Revision }
        = "service {service} is not in configuration {revision}";
    /// A service's address can't be bound on this balancer.
    206 Error ServiceAddressRefused { service: ServiceName, address: SocketAddrV4, error: Box<str> }
        = "address {address} of service {service} can't be bound: {error}";
    /// A configuration came from a peer and not from the store.
    207 Debug ConfigurationFromPeer { revision: Revision }
        = "configuration {revision} received from a peer";
    /// The command line of a program is invalid.
    208 Error ArgumentsRefused { problem: Box<str> }
        = "arguments refused: {problem}";
    /// The store has lost the configuration in force and got it back from this process.
    209 Warn ConfigurationWrittenBack { revision: Revision, found: Revision }
        = "configuration {revision} written back to the store, which had lost it and had {found}";

    /// An agent reports for the first time.
    301 Info TargetJoined { vm: VmId, service: ServiceName, agent: SocketAddrV4, incarnation: Incarnation }
        = "target {vm} of service {service} joined at {agent}, incarnation {incarnation}";
    /// An agent reports that it is gone.
    302 Info TargetLeft { vm: VmId, service: ServiceName }
        = "target {vm} of service {service} left";
    /// The reports of an agent are missing, so it gets no new flows.
    303 Warn TargetSilent { vm: VmId, service: ServiceName, silent_ms: Duration }
        = "target {vm} of service {service} silent for {milliseconds} ms", milliseconds = silent_ms.as_millis();
    /// Most targets of a service are silent at once, so the last known set is kept.
    304 Warn TargetsKept { service: ServiceName, silent: usize, total: usize }
        = "targets of service {service} kept, {silent} of {total} silent";
    /// A silent target reports again.
    305 Info TargetBack { vm: VmId, service: ServiceName }
        = "target {vm} of service {service} reports again";
    /// A target did not answer the first packet of a flow.
    306 Warn TargetSuspected { vm: VmId, service: ServiceName }
        = "target {vm} of service {service} suspected, a first packet got no answer";
    /// An agent runs again with a new incarnation.
    307 Info TargetRestarted { vm: VmId, service: ServiceName, incarnation: Incarnation }
        = "target {vm} of service {service} restarted, incarnation {incarnation}";
    /// A balancer appears in the list of live balancers.
    310 Info BalancerJoined { vm: VmId, failure_domain: FailureDomain, tunnel: SocketAddrV4 }
        = "balancer {vm} in {failure_domain} joined at {tunnel}";
    /// A balancer's lease has ended.
    311 Info BalancerLeft { vm: VmId }
        = "balancer {vm} left";
    /// A balancer announces its shutdown.
    312 Info BalancerGoodbye { tunnel: SocketAddrV4 }
        = "balancer at {tunnel} announced its shutdown";
    /// The heartbeats of a balancer are missing, so nothing is returned through it.
    313 Warn BalancerSilent { tunnel: SocketAddrV4, silent_ms: Duration }
        = "balancer at {tunnel} silent for {milliseconds} ms", milliseconds = silent_ms.as_millis();
    /// The lease of this balancer lapsed, so it registers again.
    314 Warn LeaseLapsed { vm: VmId }
        = "lease of balancer {vm} lapsed";
    /// An operator has evacuated a failure domain, so its targets get no new flows; 0 targets may mean that the name is wrong.
    315 Info EvacuationInForce { failure_domain: FailureDomain, targets: usize }
        = "evacuation of {failure_domain} in force, {targets} targets known there";
    /// An operator has ended the evacuation of a failure domain.
    316 Info EvacuationEnded { failure_domain: FailureDomain }
        = "evacuation of {failure_domain} ended";

    /// Datagrams were dropped; limited in rate.
    401 Warn DatagramsDropped { count: u64, reason: DropReason }
        = "{count} datagrams dropped: {reason}";
    /// Datagrams for another service, agent or incarnation were dropped; limited in rate.
    402 Warn MisdirectedDropped { count: u64 }
        = "{count} misdirected datagrams dropped";
    /// An agent returns datagrams through other balancers than before; at most one line per second.
    403 Info ReturnPathChanged { balancers: Box<str> }
        = "return path changed to balancers {balancers}";
    /// An agent has no live balancer to return datagrams through; limited in rate.
    404 Error NoReturnPath { count: u64 }
        = "no live balancer for {count} returned datagrams";

    /// The drain of this agent or balancer starts.
    501 Info DrainStarted { reason: &'static str, deadline_ms: Duration }
        = "drain started by {reason}, deadline {milliseconds} ms", milliseconds = deadline_ms.as_millis();
    /// A drain is in progress; repeated while it waits.
    502 Info DrainWaits { running: usize, waiting: usize, feeds: usize, connections: usize }
        = "drain waits for {running} running and {waiting} waiting requests, {feeds} feeds, {connections} connections";
    /// A drain has nothing left to wait for.
    503 Info DrainFinished { elapsed_ms: Duration }
        = "drain finished after {milliseconds} ms", milliseconds = elapsed_ms.as_millis();
    /// The drain deadline passed with requests or feeds still running.
    504 Error DrainDeadline { running: usize, feeds: usize }
        = "drain deadline passed with {running} requests and {feeds} feeds running";
    /// The backend server can't be reached or fails.
    505 Warn BackendDown { error: Box<str> }
        = "backend server down: {error}";
    /// The backend server accepts requests.
    506 Info BackendReady { slots: Slots }
        = "backend server ready with {slots} slots";
    /// Outcomes of requests contradict the health endpoint of the backend server and overrule it; limited in rate.
    507 Warn EndpointOverruled { count: u64, detail: &'static str }
        = "health endpoint overruled {count} times: {detail}";
    /// Requests were refused as not run; limited in rate.
    508 Warn RequestsRefused { count: u64, reason: NotRunReason }
        = "{count} requests refused as not run: {reason}";
    /// A waiting request is handed to a peer with a free slot.
    509 Debug RequestRedirected { peer: SocketAddrV4, serial: u64 }
        = "request redirected to {peer}, reservation {serial}";
    /// Wait and service times per tenant and class in the last minute; omitted without requests.
    510 Info RequestTimes { json: Box<str> }
        = "request times {json}";

    /// Orders were refused as not run; limited in rate, with the tenant of the last one.
    601 Warn OrderRefused { count: u64, reason: NotRunReason, organisation: OrganisationId }
        = "{count} orders refused as not run: {reason}, last of tenant {tenant}", tenant = organisation;
    /// It is unknown whether an order ran, and it is not run again; limited in rate.
    602 Error OrderUnknown { count: u64, incarnation: Incarnation, serial: u64 }
        = "answered {count} times that the outcome of an order is unknown, last order {serial} of incarnation {incarnation}";
    /// Orders were repeated with their tickets and got the stored answers; limited in rate.
    603 Info OrderRepeated { count: u64, serial: u64 }
        = "{count} orders repeated, stored answer given, last {serial}";

    /// The key file was reloaded.
    701 Info KeysReloaded { generation: KeyGeneration }
        = "keys reloaded, generation {generation} signs";
    /// The key file is invalid; on a reload, the last keys stay in use.
    702 Error KeysRefused { problem: Box<str> }
        = "keys refused: {problem}";
    /// A control client failed to authenticate; limited in rate.
    703 Warn ControlPeerRefused { peer: SocketAddr, error: Box<str>, count: u64 }
        = "control peer {peer} refused: {error} ({count} refused since the last line)";
    /// A control server failed to authenticate, or refused this client.
    704 Warn ControlServerRefused { server: SocketAddr, error: Box<str> }
        = "control server {server} refused: {error}";
    /// An authenticated control session ended with an error.
    705 Warn ControlSessionDropped { peer: SocketAddr, error: Box<str> }
        = "control session of {peer} dropped: {error}";
    /// A certificate or its key can't be used.
    706 Error CertificateRefused { error: Box<str> }
        = "certificate refused: {error}";

    /// Calls to the store fail; the last known state stays in use.
    801 Warn StoreDown { address: SocketAddrV4, error: Box<str> }
        = "store {address} down: {error}";
    /// Calls to the store succeed again.
    802 Info StoreBack { address: SocketAddrV4, down_ms: Duration }
        = "store {address} back after {milliseconds} ms", milliseconds = down_ms.as_millis();
    /// The registration of a balancer failed because another process wrote its key.
    804 Info StoreConflict { key: Box<str> }
        = "write of {key} conflicts with another writer";
    /// The store was restored from a copy and has lost what it had acknowledged since the copy was made.
    805 Warn StoreRestored { epoch: Epoch, previous: Epoch }
        = "store restored from a copy, epoch {epoch} after {previous}";
}

//! The client's end of control sessions.

use std::net::{SocketAddr, SocketAddrV4};

use cranberrypitch_core::{FastMap, Revision, ServiceName, VmId};
use cranberrypitch_proto::control::{
    Answer, BalancerEntry, ConfigHead, ConfigShard, Digest, Message, Notice, Request,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, interval_at, sleep_until, timeout};

use crate::control::channel::Channel;
use crate::control::session::Session;
use crate::control::{ControlOptions, handshake};
use crate::errors::{ControlErrorKind, Result};
use crate::events::Event;
use crate::keys::KeyRing;

/// The number of requests that may wait for their answers at once.
const MAX_PENDING: usize = 64;

type Outcome<T> = std::result::Result<T, ControlErrorKind>;

/// A control session with a server. All copies share the session, which ends with the last one.
#[derive(Clone, Debug)]
pub struct ControlClient {
    server: SocketAddr,
    commands: mpsc::Sender<Command>,
    options: ControlOptions,
}

impl ControlClient {
    /// Opens a session with the default limits.
    pub async fn connect(address: SocketAddrV4, keys: &KeyRing) -> Result<(Self, NoticeStream)> {
        Self::connect_with(address, keys, ControlOptions::default()).await
    }

    /// Opens a session. A server that does not authenticate, or refuses this client, is logged.
    pub async fn connect_with(
        address: SocketAddrV4,
        keys: &KeyRing,
        options: ControlOptions,
    ) -> Result<(Self, NoticeStream)> {
        let server = SocketAddr::V4(address);
        let opened = timeout(options.handshake_timeout, open(server, keys, &options)).await;
        let opened = opened.unwrap_or(Err(ControlErrorKind::Timeout { step: "handshake" }));
        match opened {
            Ok(session) => Ok(Self::start(server, session, options)),
            Err(fault) => {
                log_refusal(server, &fault);
                Err(fault.at(server))
            }
        }
    }

    fn start(
        server: SocketAddr,
        session: Session,
        options: ControlOptions,
    ) -> (Self, NoticeStream) {
        let (commands, queue) = mpsc::channel(MAX_PENDING);
        let (notices, receiver) = mpsc::channel(options.max_queued_notices.max(1));
        let worker = Worker {
            server,
            options,
            session,
            queue,
            notices,
            pending: FastMap::default(),
            next_id: 0,
            heard: Instant::now(),
        };
        tokio::spawn(worker.run());
        let client = Self {
            server,
            commands,
            options,
        };
        let notices = NoticeStream { server, receiver };
        (client, notices)
    }

    /// Returns the server's address.
    pub const fn server(&self) -> SocketAddr {
        self.server
    }

    /// Returns whether the session has ended.
    pub fn is_closed(&self) -> bool {
        self.commands.is_closed()
    }

    /// Asks for the head of the configuration in force, if it is newer than `since`.
    pub async fn config_head(&self, since: Revision) -> Result<Option<ConfigHead>> {
        match self.request(Request::ConfigFetch { since }).await? {
            Answer::ConfigHead(head) => Ok(Some(head)),
            Answer::UpToDate => Ok(None),
            _ => Err(self.unexpected("a configuration head")),
        }
    }

    /// Asks for a shard of the configuration.
    pub async fn config_shard(&self, digest: Digest) -> Result<Option<ConfigShard>> {
        match self.request(Request::ShardFetch { digest }).await? {
            Answer::ConfigShard(shard) => Ok(Some(shard)),
            Answer::ShardUnknown => Ok(None),
            _ => Err(self.unexpected("a configuration shard")),
        }
    }

    /// Asks for the live balancers.
    pub async fn balancers(&self) -> Result<Vec<BalancerEntry>> {
        match self.request(Request::Balancers).await? {
            Answer::Balancers(balancers) => Ok(balancers),
            _ => Err(self.unexpected("balancers")),
        }
    }

    /// Asks for the tunnel addresses of the agents of a service.
    pub async fn peer_targets(&self, service: ServiceName) -> Result<Vec<SocketAddrV4>> {
        match self.request(Request::PeerTargets { service }).await? {
            Answer::PeerTargets(targets) => Ok(targets),
            _ => Err(self.unexpected("peer targets")),
        }
    }

    /// Asks for the status as JSON.
    pub async fn status(&self) -> Result<Box<str>> {
        match self.request(Request::StatusQuery).await? {
            Answer::Status(status) => Ok(status),
            _ => Err(self.unexpected("a status")),
        }
    }

    /// Says that this process leaves.
    pub async fn goodbye(&self, vm: VmId) -> Result<()> {
        match self.request(Request::Goodbye { vm }).await? {
            Answer::Done => Ok(()),
            _ => Err(self.unexpected("an acknowledgement")),
        }
    }

    /// Waits for an answer to a ping.
    pub async fn ping(&self) -> Result<()> {
        match self.request(Request::Ping).await? {
            Answer::Pong => Ok(()),
            _ => Err(self.unexpected("a pong")),
        }
    }

    async fn request(&self, request: Request) -> Result<Answer> {
        let (reply, answer) = oneshot::channel();
        let command = Command { request, reply };
        let exchange = async {
            if self.commands.send(command).await.is_err() {
                return Err(ControlErrorKind::Closed);
            }
            answer.await.unwrap_or(Err(ControlErrorKind::Closed))
        };
        let answer = timeout(self.options.request_timeout, exchange).await;
        match answer.unwrap_or(Err(ControlErrorKind::Timeout { step: "answer" })) {
            Ok(Answer::Failed) => Err(ControlErrorKind::ServerFailed.at(self.server)),
            Ok(answer) => Ok(answer),
            Err(fault) => Err(fault.at(self.server)),
        }
    }

    const fn unexpected(&self, expected: &'static str) -> crate::Error {
        ControlErrorKind::UnexpectedMessage { expected }.at(self.server)
    }
}

/// The notices of a control session.
///
/// Whoever wants none drops this value; whoever keeps it has to read, or the session is dropped
/// when too many notices wait.
#[derive(Debug)]
pub struct NoticeStream {
    server: SocketAddr,
    receiver: mpsc::Receiver<Outcome<Notice>>,
}

impl NoticeStream {
    /// Returns the next notice, or the error that ended the session. Nothing is lost when the
    /// future is dropped.
    pub async fn next(&mut self) -> Result<Notice> {
        let notice = self.receiver.recv().await;
        let notice = notice.unwrap_or(Err(ControlErrorKind::Closed));
        notice.map_err(|fault| fault.at(self.server))
    }
}

async fn open(server: SocketAddr, keys: &KeyRing, options: &ControlOptions) -> Outcome<Session> {
    let mut channel = Channel::connect(server, options.write_timeout).await?;
    let keys = keys.keys();
    match handshake::as_client(&mut channel, keys.control()).await {
        Ok(key) => Ok(Session::new(channel, key)),
        Err(fault) => {
            channel.close().await;
            Err(fault)
        }
    }
}

fn log_refusal(server: SocketAddr, fault: &ControlErrorKind) {
    if fault.is_refusal() {
        let error = fault.to_string().into();
        Event::ControlServerRefused { server, error }.log();
    }
}

/// A request and where its answer goes.
#[derive(Debug)]
struct Command {
    request: Request,
    reply: oneshot::Sender<Outcome<Answer>>,
}

/// Owns the session of a client.
#[derive(Debug)]
struct Worker {
    server: SocketAddr,
    options: ControlOptions,
    session: Session,
    queue: mpsc::Receiver<Command>,
    notices: mpsc::Sender<Outcome<Notice>>,
    pending: FastMap<u32, oneshot::Sender<Outcome<Answer>>>,
    next_id: u32,
    heard: Instant,
}

impl Worker {
    async fn run(mut self) {
        let fault = self.session_loop().await.err();
        self.session.close().await;
        let Some(fault) = fault else {
            return;
        };
        if fault != ControlErrorKind::Closed {
            let error = fault.to_string().into();
            let peer = self.server;
            Event::ControlSessionDropped { peer, error }.log();
        }
        for (_, reply) in self.pending.drain() {
            // The one that asked may have given up.
            drop(reply.send(Err(fault.clone())));
        }
        // If the queue is full, its reader finds the end of it instead of the fault.
        drop(self.notices.try_send(Err(fault)));
    }

    /// Runs until all clients are dropped, or the session fails.
    async fn session_loop(&mut self) -> Outcome<()> {
        let period = self.options.ping_interval;
        let mut pings = interval_at(Instant::now() + period, period);
        loop {
            let deadline = self.heard + self.options.idle_timeout;
            tokio::select! {
                received = self.session.receive() => self.take(received?)?,
                command = self.queue.recv() => match command {
                    Some(command) => self.send(command.request, Some(command.reply)).await?,
                    None => return Ok(()),
                },
                _ = pings.tick() => self.send(Request::Ping, None).await?,
                () = sleep_until(deadline) => return Err(ControlErrorKind::Timeout { step: "idle" }),
            }
        }
    }

    async fn send(
        &mut self,
        request: Request,
        reply: Option<oneshot::Sender<Outcome<Answer>>>,
    ) -> Outcome<()> {
        self.pending.retain(|_, reply| !reply.is_closed());
        self.next_id = self.next_id.wrapping_add(1);
        let id = self.next_id;
        if let Some(reply) = reply {
            if self.pending.len() >= MAX_PENDING {
                let what = "requests";
                // The one that asked may have given up.
                drop(reply.send(Err(ControlErrorKind::LimitReached { what })));
                return Ok(());
            }
            self.pending.insert(id, reply);
        }
        self.session.send(&Message::Request { id, request }).await
    }

    fn take(&mut self, message: Message) -> Outcome<()> {
        self.heard = Instant::now();
        match message {
            Message::Answer { id, answer } => {
                if let Some(reply) = self.pending.remove(&id) {
                    // The one that asked may have given up.
                    drop(reply.send(Ok(answer)));
                }
                Ok(())
            }
            Message::Notice(notice) => match self.notices.try_send(Ok(notice)) {
                Err(mpsc::error::TrySendError::Full(_)) => Err(ControlErrorKind::SlowPeer),
                Ok(()) | Err(mpsc::error::TrySendError::Closed(_)) => Ok(()),
            },
            Message::Request { .. } => Err(ControlErrorKind::UnexpectedMessage {
                expected: "an answer",
            }),
        }
    }
}

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

/// The limit on requests that wait for an answer.
const MAX_PENDING_REQUESTS: usize = 64;

type ControlResult<T> = std::result::Result<T, ControlErrorKind>;

/// A control session with a server. Clones share the session, which ends when the last one is
/// dropped.
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

    /// Opens a session. Logs a server that fails to authenticate or refuses this client.
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
            Err(error) => {
                log_refusal(server, &error);
                Err(error.with_peer(server))
            }
        }
    }

    fn start(
        server: SocketAddr,
        session: Session,
        options: ControlOptions,
    ) -> (Self, NoticeStream) {
        let (commands, queue) = mpsc::channel(MAX_PENDING_REQUESTS);
        let (notices, receiver) = mpsc::channel(options.max_queued_notices.max(1));
        let worker = SessionWorker {
            server,
            options,
            session,
            queue,
            notices,
            pending: FastMap::default(),
            next_id: 0,
            last_received: Instant::now(),
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

    /// Fetches the head of the server's active configuration; `None` if it is not newer than `since`.
    pub async fn config_head(&self, since: Revision) -> Result<Option<ConfigHead>> {
        match self.request(Request::ConfigFetch { since }).await? {
            Answer::ConfigHead(head) => Ok(Some(head)),
            Answer::UpToDate => Ok(None),
            _ => Err(self.unexpected("a configuration head")),
        }
    }

    /// Fetches a shard of the configuration; `None` if the server has no such shard.
    pub async fn config_shard(&self, digest: Digest) -> Result<Option<ConfigShard>> {
        match self.request(Request::ShardFetch { digest }).await? {
            Answer::ConfigShard(shard) => Ok(Some(shard)),
            Answer::ShardUnknown => Ok(None),
            _ => Err(self.unexpected("a configuration shard")),
        }
    }

    /// Fetches the list of live balancers.
    pub async fn balancers(&self) -> Result<Vec<BalancerEntry>> {
        match self.request(Request::Balancers).await? {
            Answer::Balancers(balancers) => Ok(balancers),
            _ => Err(self.unexpected("balancers")),
        }
    }

    /// Fetches the tunnel addresses of the agents of a service.
    pub async fn peer_targets(&self, service: ServiceName) -> Result<Vec<SocketAddrV4>> {
        match self.request(Request::PeerTargets { service }).await? {
            Answer::PeerTargets(targets) => Ok(targets),
            _ => Err(self.unexpected("peer targets")),
        }
    }

    /// Fetches the status of the server, as JSON.
    pub async fn status(&self) -> Result<Box<str>> {
        match self.request(Request::StatusQuery).await? {
            Answer::Status(status) => Ok(status),
            _ => Err(self.unexpected("a status")),
        }
    }

    /// Announces that the process on `vm` is shutting down.
    pub async fn goodbye(&self, vm: VmId) -> Result<()> {
        match self.request(Request::Goodbye { vm }).await? {
            Answer::Done => Ok(()),
            _ => Err(self.unexpected("an acknowledgement")),
        }
    }

    /// Sends a ping and waits for the answer.
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
            Ok(Answer::Failed) => Err(ControlErrorKind::ServerFailed.with_peer(self.server)),
            Ok(answer) => Ok(answer),
            Err(error) => Err(error.with_peer(self.server)),
        }
    }

    const fn unexpected(&self, expected: &'static str) -> crate::Error {
        ControlErrorKind::UnexpectedMessage { expected }.with_peer(self.server)
    }
}

/// The notices of a control session.
///
/// Drop this value if no notices are needed. Otherwise read it: the session is closed when too many
/// notices are queued.
#[derive(Debug)]
pub struct NoticeStream {
    server: SocketAddr,
    receiver: mpsc::Receiver<ControlResult<Notice>>,
}

impl NoticeStream {
    /// Returns the next notice, or the error that ended the session. Cancel-safe: no notice is lost
    /// when the future is dropped.
    pub async fn next(&mut self) -> Result<Notice> {
        let notice = self.receiver.recv().await;
        let notice = notice.unwrap_or(Err(ControlErrorKind::Closed));
        notice.map_err(|error| error.with_peer(self.server))
    }
}

async fn open(
    server: SocketAddr,
    keys: &KeyRing,
    options: &ControlOptions,
) -> ControlResult<Session> {
    let mut channel = Channel::connect(server, options.write_timeout).await?;
    let keys = keys.keys();
    match handshake::as_client(&mut channel, keys.control()).await {
        Ok(key) => Ok(Session::new(channel, key)),
        Err(error) => {
            channel.close().await;
            Err(error)
        }
    }
}

fn log_refusal(server: SocketAddr, error: &ControlErrorKind) {
    if error.is_refusal() {
        let error = error.to_string().into();
        Event::ControlServerRefused { server, error }.log();
    }
}

/// A request with the channel for its answer.
#[derive(Debug)]
struct Command {
    request: Request,
    reply: oneshot::Sender<ControlResult<Answer>>,
}

/// The task that owns the session of a client.
#[derive(Debug)]
struct SessionWorker {
    server: SocketAddr,
    options: ControlOptions,
    session: Session,
    queue: mpsc::Receiver<Command>,
    notices: mpsc::Sender<ControlResult<Notice>>,
    pending: FastMap<u32, oneshot::Sender<ControlResult<Answer>>>,
    next_id: u32,
    last_received: Instant,
}

impl SessionWorker {
    async fn run(mut self) {
        let error = self.session_loop().await.err();
        self.session.close().await;
        let Some(error) = error else {
            return;
        };
        if error != ControlErrorKind::Closed {
            let error = error.to_string().into();
            let peer = self.server;
            Event::ControlSessionDropped { peer, error }.log();
        }
        for (_, reply) in self.pending.drain() {
            // The requester may have stopped waiting.
            drop(reply.send(Err(error.clone())));
        }
        // If the queue is full, its reader sees a closed channel instead of the error.
        drop(self.notices.try_send(Err(error)));
    }

    /// Runs until all clients are dropped or the session fails.
    async fn session_loop(&mut self) -> ControlResult<()> {
        let ping_interval = self.options.ping_interval;
        let mut pings = interval_at(Instant::now() + ping_interval, ping_interval);
        loop {
            let deadline = self.last_received + self.options.idle_timeout;
            tokio::select! {
                received = self.session.receive() => self.handle_message(received?)?,
                command = self.queue.recv() => match command {
                    Some(command) => self.send_request(command.request, Some(command.reply)).await?,
                    None => return Ok(()),
                },
                _ = pings.tick() => self.send_request(Request::Ping, None).await?,
                () = sleep_until(deadline) => return Err(ControlErrorKind::Timeout { step: "idle" }),
            }
        }
    }

    async fn send_request(
        &mut self,
        request: Request,
        reply: Option<oneshot::Sender<ControlResult<Answer>>>,
    ) -> ControlResult<()> {
        self.pending.retain(|_, reply| !reply.is_closed());
        self.next_id = self.next_id.wrapping_add(1);
        let id = self.next_id;
        if let Some(reply) = reply {
            if self.pending.len() >= MAX_PENDING_REQUESTS {
                let what = "requests";
                // The requester may have stopped waiting.
                drop(reply.send(Err(ControlErrorKind::LimitReached { what })));
                return Ok(());
            }
            self.pending.insert(id, reply);
        }
        self.session.send(&Message::Request { id, request }).await
    }

    fn handle_message(&mut self, message: Message) -> ControlResult<()> {
        self.last_received = Instant::now();
        match message {
            Message::Answer { id, answer } => {
                if let Some(reply) = self.pending.remove(&id) {
                    // The requester may have stopped waiting.
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

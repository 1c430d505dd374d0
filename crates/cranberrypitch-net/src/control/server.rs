//! The server's end of control sessions.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cranberrypitch_proto::control::{Answer, Handshake, Message, Notice, RefusalReason, Request};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, broadcast, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout, timeout_at};

use crate::control::channel::Channel;
use crate::control::session::Session;
use crate::control::{ControlHandler, ControlOptions, handshake};
use crate::errors::{ControlErrorKind, Error, Result};
use crate::events::{Event, RateLimit};
use crate::keys::KeyRing;

/// The delay after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The shortest interval between two log lines about refused peers.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

type ControlResult<T> = std::result::Result<T, ControlErrorKind>;

/// Serves control sessions until it is stopped or dropped.
#[derive(Debug)]
pub struct ControlServer {
    address: SocketAddr,
    notices: broadcast::Sender<Bytes>,
    stop: watch::Sender<bool>,
    sessions: Arc<AtomicUsize>,
    accept_task: JoinHandle<()>,
}

impl ControlServer {
    /// Binds an address and serves sessions with the default limits.
    pub async fn bind<H: ControlHandler>(
        address: SocketAddrV4,
        keys: Arc<KeyRing>,
        handler: H,
    ) -> Result<Self> {
        Self::bind_with(address, keys, handler, ControlOptions::default()).await
    }

    /// Binds an address and serves sessions.
    pub async fn bind_with<H: ControlHandler>(
        address: SocketAddrV4,
        keys: Arc<KeyRing>,
        handler: H,
        options: ControlOptions,
    ) -> Result<Self> {
        let bind_error = |source| Error::Bind { address, source };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let (notices, _) = broadcast::channel(options.max_queued_notices.max(1));
        let (stop, stopped) = watch::channel(false);
        let sessions = Arc::new(AtomicUsize::new(0));
        let state = Arc::new(ServerState {
            keys,
            handler,
            options,
            notices: notices.clone(),
            stopped,
            sessions: Arc::clone(&sessions),
            handshake_permits: Arc::new(Semaphore::new(options.max_handshakes)),
            refusal_log_limit: Mutex::new(RateLimit::new(REFUSAL_LOG_INTERVAL)),
        });
        Ok(Self {
            address,
            notices,
            stop,
            sessions,
            accept_task: tokio::spawn(state.accept_loop(listener)),
        })
    }

    /// Returns the local address of the listening socket.
    pub const fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.load(Ordering::Relaxed)
    }

    /// Queues a notice for all clients. The session of a client with too many queued notices is
    /// closed. Fails if the notice can't be encoded.
    pub fn notify(&self, notice: Notice) -> Result<()> {
        let bytes = Message::Notice(notice).encode();
        let bytes =
            bytes.map_err(|e| ControlErrorKind::InvalidMessage(e).with_peer(self.address))?;
        // Without sessions there is no receiver, which is not an error.
        drop(self.notices.send(bytes.into()));
        Ok(())
    }

    /// Stops accepting sessions, sends the queued notices and closes all sessions.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        // The task ends on the stop signal; the runtime has reported any panic in it.
        drop((&mut self.accept_task).await);
    }
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// The state that all sessions of a server share.
#[derive(Debug)]
struct ServerState<H> {
    keys: Arc<KeyRing>,
    handler: H,
    options: ControlOptions,
    notices: broadcast::Sender<Bytes>,
    stopped: watch::Receiver<bool>,
    sessions: Arc<AtomicUsize>,
    handshake_permits: Arc<Semaphore>,
    refusal_log_limit: Mutex<RateLimit>,
}

impl<H: ControlHandler> ServerState<H> {
    async fn accept_loop(self: Arc<Self>, listener: TcpListener) {
        let mut stopped = self.stopped.clone();
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                (permit, accepted) = self.accept_peer(&listener) => match accepted {
                    Ok((stream, peer)) => self.spawn_session(stream, peer, permit, &mut tasks),
                    Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
                },
                Some(_) = tasks.join_next() => {}
                () = wait_until_stopped(&mut stopped) => break,
            }
        }
        drop(listener);
        while tasks.join_next().await.is_some() {}
    }

    /// Accepts a connection once another handshake is allowed. Until then, connections wait in the
    /// backlog of the socket.
    async fn accept_peer(
        &self,
        listener: &TcpListener,
    ) -> (
        Option<OwnedSemaphorePermit>,
        io::Result<(TcpStream, SocketAddr)>,
    ) {
        // The semaphore is never closed, so there always is a permit.
        let permit = Arc::clone(&self.handshake_permits)
            .acquire_owned()
            .await
            .ok();
        (permit, listener.accept().await)
    }

    /// Spawns a task that runs the handshake with a peer and then serves its session.
    fn spawn_session(
        self: &Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        permit: Option<OwnedSemaphorePermit>,
        tasks: &mut JoinSet<()>,
    ) {
        let state = Arc::clone(self);
        tasks.spawn(async move {
            let session = state.handshake_with_timeout(stream).await;
            drop(permit);
            match session {
                Ok(opened) => state.serve(opened, peer).await,
                Err(error) => state.log_refusal(peer, &error),
            }
        });
    }

    async fn handshake_with_timeout(&self, stream: TcpStream) -> ControlResult<OpenedSession> {
        let mut stopped = self.stopped.clone();
        let limit = self.options.handshake_timeout;
        tokio::select! {
            opened = timeout(limit, self.handshake(stream)) => {
                opened.unwrap_or(Err(ControlErrorKind::Timeout { step: "handshake" }))
            }
            () = wait_until_stopped(&mut stopped) => Err(ControlErrorKind::Closed),
        }
    }

    async fn handshake(&self, stream: TcpStream) -> ControlResult<OpenedSession> {
        let write_timeout = self.options.write_timeout;
        let mut channel = Channel::accept(stream, write_timeout).await?;
        let keys = self.keys.keys();
        let key = match handshake::as_server(&mut channel, keys.control()).await {
            Ok(key) => key,
            Err(error) => {
                channel.close().await;
                return Err(error);
            }
        };
        let Some(session_permit) =
            SessionPermit::try_acquire(&self.sessions, self.options.max_sessions)
        else {
            let busy = Handshake::Refused(RefusalReason::Busy);
            handshake::send(&mut channel, &busy).await?;
            return Err(ControlErrorKind::LimitReached { what: "sessions" });
        };
        // Subscribes before the welcome, so the client receives every notice sent after it.
        let notices = self.notices.subscribe();
        handshake::send(&mut channel, &Handshake::Welcome).await?;
        Ok(OpenedSession {
            session: Session::new(channel, key),
            notices,
            permit: session_permit,
        })
    }

    /// Serves a session until it ends.
    async fn serve(&self, mut opened: OpenedSession, peer: SocketAddr) {
        let result = self.session_loop(&mut opened, peer).await;
        // Sending a close frame to a peer that reads too slowly would time out as well.
        if result != Err(ControlErrorKind::SlowPeer) {
            opened.session.close().await;
        }
        drop(opened.permit);
        match result {
            Ok(()) | Err(ControlErrorKind::Closed) => {}
            Err(error) => log_session_dropped(peer, &error),
        }
    }

    async fn session_loop(
        &self,
        opened: &mut OpenedSession,
        peer: SocketAddr,
    ) -> ControlResult<()> {
        let OpenedSession {
            session, notices, ..
        } = opened;
        let mut stopped = self.stopped.clone();
        let mut last_received = tokio::time::Instant::now();
        loop {
            tokio::select! {
                biased;
                notice = notices.recv() => match notice {
                    Ok(notice) => session.send_encoded(&notice).await?,
                    Err(broadcast::error::RecvError::Lagged(_)) => return Err(ControlErrorKind::SlowPeer),
                    Err(broadcast::error::RecvError::Closed) => return Ok(()),
                },
                () = wait_until_stopped(&mut stopped) => return Ok(()),
                received = timeout_at(last_received + self.options.idle_timeout, session.receive()) => {
                    let Ok(received) = received else {
                        return Err(ControlErrorKind::Timeout { step: "idle" });
                    };
                    last_received = tokio::time::Instant::now();
                    self.answer(session, peer, received?).await?;
                }
            }
        }
    }

    async fn answer(
        &self,
        session: &mut Session,
        peer: SocketAddr,
        received: Message,
    ) -> ControlResult<()> {
        let Message::Request { id, request } = received else {
            let expected = "a request";
            return Err(ControlErrorKind::UnexpectedMessage { expected });
        };
        let answer = timeout(self.options.request_timeout, self.handle(peer, request));
        let answer = answer.await.unwrap_or(Answer::Failed);
        match (Message::Answer { id, answer }).encode() {
            Ok(bytes) => session.send_encoded(&bytes).await,
            // An answer over the size limit fails this request only; the session stays open.
            Err(_too_long) => {
                let answer = Answer::Failed;
                session.send(&Message::Answer { id, answer }).await
            }
        }
    }

    async fn handle(&self, peer: SocketAddr, request: Request) -> Answer {
        let handler = &self.handler;
        match request {
            Request::ConfigFetch { since } => match handler.config_head(since).await {
                Some(head) => Answer::ConfigHead(head),
                None => Answer::UpToDate,
            },
            Request::ShardFetch { digest } => match handler.config_shard(digest).await {
                Some(shard) => Answer::ConfigShard(shard),
                None => Answer::ShardUnknown,
            },
            Request::Balancers => Answer::Balancers(handler.balancers().await),
            Request::PeerTargets { service } => {
                Answer::PeerTargets(handler.peer_targets(service).await)
            }
            Request::StatusQuery => Answer::Status(handler.status().await),
            Request::Goodbye { vm } => {
                handler.goodbye(peer, vm).await;
                Answer::Done
            }
            Request::Ping => Answer::Pong,
        }
    }

    fn log_refusal(&self, peer: SocketAddr, error: &ControlErrorKind) {
        let mut log_limit = self
            .refusal_log_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = log_limit.count(Instant::now()) {
            let error = error.to_string().into();
            Event::ControlPeerRefused { peer, error, count }.log();
        }
    }
}

fn log_session_dropped(peer: SocketAddr, error: &ControlErrorKind) {
    let error = error.to_string().into();
    Event::ControlSessionDropped { peer, error }.log();
}

async fn wait_until_stopped(stopped: &mut watch::Receiver<bool>) {
    // An error means that the server was dropped, which is also a stop.
    drop(stopped.wait_for(|stopped| *stopped).await);
}

/// A session after a successful handshake.
#[derive(Debug)]
struct OpenedSession {
    session: Session,
    notices: broadcast::Receiver<Bytes>,
    permit: SessionPermit,
}

/// A permit for one of the sessions that a server may have open.
#[derive(Debug)]
struct SessionPermit(Arc<AtomicUsize>);

impl SessionPermit {
    fn try_acquire(sessions: &Arc<AtomicUsize>, max: usize) -> Option<Self> {
        let increment = |count| (count < max).then_some(count + 1);
        let updated = sessions.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment);
        updated.ok().map(|_| Self(Arc::clone(sessions)))
    }
}

impl Drop for SessionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

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

/// The pause after a failed accept, which is usually for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The shortest time between two lines about refused peers.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

type Outcome<T> = std::result::Result<T, ControlErrorKind>;

/// Serves control sessions until it is stopped or dropped.
#[derive(Debug)]
pub struct ControlServer {
    address: SocketAddr,
    notices: broadcast::Sender<Bytes>,
    stop: watch::Sender<bool>,
    sessions: Arc<AtomicUsize>,
    accepting: JoinHandle<()>,
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
        let shared = Arc::new(Shared {
            keys,
            handler,
            options,
            notices: notices.clone(),
            stopped,
            sessions: Arc::clone(&sessions),
            handshakes: Arc::new(Semaphore::new(options.max_handshakes)),
            refusals: Mutex::new(RateLimit::new(REFUSAL_LOG_INTERVAL)),
        });
        Ok(Self {
            address,
            notices,
            stop,
            sessions,
            accepting: tokio::spawn(shared.accept(listener)),
        })
    }

    /// Returns the address that is bound.
    pub const fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.load(Ordering::Relaxed)
    }

    /// Sends a notice to all clients. A client that is too slow for its notices is dropped.
    pub fn notify(&self, notice: Notice) -> Result<()> {
        let bytes = Message::Notice(notice).encode();
        let bytes = bytes.map_err(|e| ControlErrorKind::InvalidMessage(e).at(self.address))?;
        // Without sessions there is no receiver, which is no failure.
        drop(self.notices.send(bytes.into()));
        Ok(())
    }

    /// Accepts no more sessions, sends the notices that wait and closes all sessions.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        // The task ends by itself; a panic in it has been reported by the runtime.
        drop((&mut self.accepting).await);
    }
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// What all sessions of a server share.
#[derive(Debug)]
struct Shared<H> {
    keys: Arc<KeyRing>,
    handler: H,
    options: ControlOptions,
    notices: broadcast::Sender<Bytes>,
    stopped: watch::Receiver<bool>,
    sessions: Arc<AtomicUsize>,
    handshakes: Arc<Semaphore>,
    refusals: Mutex<RateLimit>,
}

impl<H: ControlHandler> Shared<H> {
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut stopped = self.stopped.clone();
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                (permit, accepted) = self.next_peer(&listener) => match accepted {
                    Ok((stream, peer)) => self.begin(stream, peer, permit, &mut tasks),
                    Err(_) => sleep(ACCEPT_PAUSE).await,
                },
                Some(_) = tasks.join_next() => {}
                () = until_stopped(&mut stopped) => break,
            }
        }
        drop(listener);
        while tasks.join_next().await.is_some() {}
    }

    /// Accepts a connection when there is room for another handshake. Until then, connections wait
    /// in the backlog of the socket.
    async fn next_peer(
        &self,
        listener: &TcpListener,
    ) -> (
        Option<OwnedSemaphorePermit>,
        io::Result<(TcpStream, SocketAddr)>,
    ) {
        // The semaphore is never closed, so there always is a permit.
        let permit = Arc::clone(&self.handshakes).acquire_owned().await.ok();
        (permit, listener.accept().await)
    }

    /// Starts the handshake with a peer.
    fn begin(
        self: &Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        permit: Option<OwnedSemaphorePermit>,
        tasks: &mut JoinSet<()>,
    ) {
        let shared = Arc::clone(self);
        tasks.spawn(async move {
            let session = shared.handshake_in_time(stream).await;
            drop(permit);
            match session {
                Ok(opened) => shared.serve(opened, peer).await,
                Err(fault) => shared.log_refusal(peer, &fault),
            }
        });
    }

    async fn handshake_in_time(&self, stream: TcpStream) -> Outcome<OpenedSession> {
        let mut stopped = self.stopped.clone();
        let limit = self.options.handshake_timeout;
        tokio::select! {
            opened = timeout(limit, self.handshake(stream)) => {
                opened.unwrap_or(Err(ControlErrorKind::Timeout { step: "handshake" }))
            }
            () = until_stopped(&mut stopped) => Err(ControlErrorKind::Closed),
        }
    }

    async fn handshake(&self, stream: TcpStream) -> Outcome<OpenedSession> {
        let write_timeout = self.options.write_timeout;
        let mut channel = Channel::accept(stream, write_timeout).await?;
        let keys = self.keys.keys();
        let key = match handshake::as_server(&mut channel, keys.control()).await {
            Ok(key) => key,
            Err(fault) => {
                channel.close().await;
                return Err(fault);
            }
        };
        let Some(slot) = Slot::take(&self.sessions, self.options.max_sessions) else {
            let busy = Handshake::Refused(RefusalReason::Busy);
            handshake::send(&mut channel, &busy).await?;
            return Err(ControlErrorKind::LimitReached { what: "sessions" });
        };
        // A notice sent after the client has read the welcome must reach it.
        let notices = self.notices.subscribe();
        handshake::send(&mut channel, &Handshake::Welcome).await?;
        Ok(OpenedSession {
            session: Session::new(channel, key),
            notices,
            slot,
        })
    }

    /// Serves a session to its end.
    async fn serve(&self, mut opened: OpenedSession, peer: SocketAddr) {
        let result = self.session_loop(&mut opened, peer).await;
        // A peer that took no message in time would not take the close in time either.
        if result != Err(ControlErrorKind::SlowPeer) {
            opened.session.close().await;
        }
        drop(opened.slot);
        match result {
            Ok(()) | Err(ControlErrorKind::Closed) => {}
            Err(fault) => log_dropped(peer, &fault),
        }
    }

    async fn session_loop(&self, opened: &mut OpenedSession, peer: SocketAddr) -> Outcome<()> {
        let OpenedSession {
            session, notices, ..
        } = opened;
        let mut stopped = self.stopped.clone();
        let mut heard = tokio::time::Instant::now();
        loop {
            tokio::select! {
                biased;
                notice = notices.recv() => match notice {
                    Ok(notice) => session.send_encoded(&notice).await?,
                    Err(broadcast::error::RecvError::Lagged(_)) => return Err(ControlErrorKind::SlowPeer),
                    Err(broadcast::error::RecvError::Closed) => return Ok(()),
                },
                () = until_stopped(&mut stopped) => return Ok(()),
                received = timeout_at(heard + self.options.idle_timeout, session.receive()) => {
                    let Ok(received) = received else {
                        return Err(ControlErrorKind::Timeout { step: "idle" });
                    };
                    heard = tokio::time::Instant::now();
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
    ) -> Outcome<()> {
        let Message::Request { id, request } = received else {
            let expected = "a request";
            return Err(ControlErrorKind::UnexpectedMessage { expected });
        };
        let answer = timeout(self.options.request_timeout, self.handle(peer, request));
        let answer = answer.await.unwrap_or(Answer::Failed);
        match (Message::Answer { id, answer }).encode() {
            Ok(bytes) => session.send_encoded(&bytes).await,
            // An answer beyond the limit fails alone and leaves the session in place.
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

    fn log_refusal(&self, peer: SocketAddr, fault: &ControlErrorKind) {
        let mut refusals = self.refusals.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = refusals.count(Instant::now()) {
            let error = fault.to_string().into();
            Event::ControlPeerRefused { peer, error, count }.log();
        }
    }
}

fn log_dropped(peer: SocketAddr, fault: &ControlErrorKind) {
    let error = fault.to_string().into();
    Event::ControlSessionDropped { peer, error }.log();
}

async fn until_stopped(stopped: &mut watch::Receiver<bool>) {
    // An error means that the server is gone, which is a stop as well.
    drop(stopped.wait_for(|stopped| *stopped).await);
}

/// A session that has just begun.
#[derive(Debug)]
struct OpenedSession {
    session: Session,
    notices: broadcast::Receiver<Bytes>,
    slot: Slot,
}

/// The place of one session among those that a server may hold.
#[derive(Debug)]
struct Slot(Arc<AtomicUsize>);

impl Slot {
    fn take(sessions: &Arc<AtomicUsize>, max: usize) -> Option<Self> {
        let more = |count| (count < max).then_some(count + 1);
        let taken = sessions.fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
        taken.ok().map(|_| Self(Arc::clone(sessions)))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

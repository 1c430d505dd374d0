//! The supervisor of the agent's actors, and the loop that drives them.

use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_proto::tunnel::DatagramKind;
use kameo::actor::{Actor, ActorRef, Spawn};
use kameo::error::Infallible;
use kameo::mailbox;
use kameo::message::{Context, Message};
use kameo::supervision::RestartPolicy;
use tokio::sync::{mpsc, watch};

use crate::announce::{AnnounceActor, AnnounceArgs, BUSY_REPORT_INTERVAL, ReportTick};
use crate::socket::ControlDatagram;
use crate::target::{SampleMetrics, TargetActor, TargetArgs};

/// Restarts of an actor within [`RESTART_WINDOW`] after which a further failure stops the agent.
const MAX_RESTARTS: u32 = 5;

const RESTART_WINDOW: Duration = Duration::from_secs(10);

/// The interval of metrics samples, which equals the flush interval of the metrics.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// The supervisor. It does not restart the target actor, whose state can't be rebuilt.
#[derive(Debug)]
pub(crate) struct Supervisor;

impl Actor for Supervisor {
    type Args = ();
    type Error = Infallible;

    async fn on_start((): (), _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self)
    }
}

/// Starts the target actor.
#[derive(Debug)]
pub(crate) struct StartTarget(pub(crate) TargetArgs);

impl Message<StartTarget> for Supervisor {
    type Reply = ActorRef<TargetActor>;

    async fn handle(
        &mut self,
        msg: StartTarget,
        ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        TargetActor::supervise(ctx.actor_ref(), msg.0)
            .restart_policy(RestartPolicy::Never)
            .spawn_with_mailbox(mailbox::unbounded())
            .await
    }
}

/// Starts the actor that sends load reports to balancers.
#[derive(Debug)]
pub(crate) struct StartAnnounce(pub(crate) AnnounceArgs);

impl Message<StartAnnounce> for Supervisor {
    type Reply = ActorRef<AnnounceActor>;

    async fn handle(
        &mut self,
        msg: StartAnnounce,
        ctx: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        AnnounceActor::supervise(ctx.actor_ref(), msg.0)
            .restart_limit(MAX_RESTARTS, RESTART_WINDOW)
            .spawn()
            .await
    }
}

/// Sends timer ticks and control datagrams to the actors until the agent or an actor stops.
pub(crate) async fn run_control_loop(
    target: ActorRef<TargetActor>,
    announce: ActorRef<AnnounceActor>,
    mut datagrams: mpsc::Receiver<ControlDatagram>,
    mut stop: watch::Receiver<bool>,
) {
    let mut report_ticks = tokio::time::interval(BUSY_REPORT_INTERVAL);
    report_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sample_ticks = tokio::time::interval(SAMPLE_INTERVAL);
    sample_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let is_delivered = tokio::select! {
            _ = report_ticks.tick() => announce.tell(ReportTick).await.is_ok(),
            _ = sample_ticks.tick() => {
                target.tell(SampleMetrics).await.is_ok()
                    && announce.tell(SampleMetrics).await.is_ok()
            }
            datagram = datagrams.recv() => match datagram {
                Some(datagram) if datagram.header.kind == DatagramKind::Peer => {
                    target.tell(datagram).await.is_ok()
                }
                Some(datagram) => announce.tell(datagram).await.is_ok(),
                None => false,
            },
            _ = stop.changed() => false,
        };
        if !is_delivered {
            return;
        }
    }
}

/// A shared flag that stops the agent's threads.
#[derive(Clone, Debug)]
pub(crate) struct StopFlag(Arc<watch::Sender<bool>>);

impl StopFlag {
    pub(crate) fn new() -> Self {
        Self(Arc::new(watch::Sender::new(false)))
    }

    pub(crate) fn set(&self) {
        self.0.send_replace(true);
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<bool> {
        self.0.subscribe()
    }
}

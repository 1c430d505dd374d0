//! The check whether a process listens at the address of the target, made when the agent starts, and when it
//! stops without a status report.
//!
//! An agent that starts beside a running target does not know which flows the target holds. Without status
//! reports it can't tell that case from a VM whose target is gone, which lasts until the lease of the VM ends.
//! A port that refuses connections shows that no process listens there; silence shows nothing.

use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The timeout of a connection on the VM itself.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The time between two attempts while connections fail for other reasons than a refusal.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Whether a process listens at the address of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetCheck {
    /// A process accepted a connection.
    Listening,
    /// The connection was refused.
    Refused,
}

/// Connects to the target until it is known whether a process listens there. Sends nothing.
pub(super) async fn check_target(address: SocketAddrV4) -> TargetCheck {
    loop {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => return TargetCheck::Listening,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return TargetCheck::Refused;
            }
            Ok(Err(error)) => {
                tracing::debug!(target: crate::log::TARGET, %address, %error, "check of the target failed");
            }
            Err(_) => {}
        }
        sleep(RETRY_INTERVAL).await;
    }
}

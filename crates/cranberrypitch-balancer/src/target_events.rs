//! Conversion of target changes into log events.

use cranberrypitch_core::membership::TargetChange;
use cranberrypitch_net::Event;

/// Returns the log event of a target change, or `None` if it has none.
pub(crate) fn event_of(change: TargetChange) -> Option<Event> {
    Some(match change {
        TargetChange::Joined {
            vm,
            service,
            address: agent,
            incarnation,
        } => Event::TargetJoined {
            vm,
            service,
            agent,
            incarnation,
        },
        TargetChange::Restarted {
            vm,
            service,
            incarnation,
        } => Event::TargetRestarted {
            vm,
            service,
            incarnation,
        },
        TargetChange::Left { vm, service } => Event::TargetLeft { vm, service },
        TargetChange::Silent {
            vm,
            service,
            silent_for: silent_ms,
        } => Event::TargetSilent {
            vm,
            service,
            silent_ms,
        },
        TargetChange::Recovered { vm, service } => Event::TargetBack { vm, service },
        TargetChange::SelfPreservation {
            service,
            silent,
            total,
        } => Event::TargetsKept {
            service,
            silent,
            total,
        },
        _ => return None,
    })
}

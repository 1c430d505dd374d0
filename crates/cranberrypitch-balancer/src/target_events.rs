//! Events of changes of the known targets.

use cranberrypitch_core::membership::Change;
use cranberrypitch_net::Event;

/// Returns the event of a change of the known targets.
pub(crate) fn event_of(change: Change) -> Option<Event> {
    Some(match change {
        Change::Joined {
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
        Change::Restarted {
            vm,
            service,
            incarnation,
        } => Event::TargetRestarted {
            vm,
            service,
            incarnation,
        },
        Change::Left { vm, service } => Event::TargetLeft { vm, service },
        Change::Silent {
            vm,
            service,
            silent_for: silent_ms,
        } => Event::TargetSilent {
            vm,
            service,
            silent_ms,
        },
        Change::Back { vm, service } => Event::TargetBack { vm, service },
        Change::Kept {
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

//! Evacuations of failure domains in the store: their keys, and the operator's functions.
//!
//! The keys are under the prefix of the list of live balancers, so that balancers read both with one call.

use std::time::Duration;

use cranberrypitch_core::FailureDomain;
use cranberrypitch_core::membership::EvacuatedDomains;
use derive_more::Display;

use crate::registry::PREFIX;
use crate::store::{Entry, Error, ExpectedVersion, Put, Result, Store, StoreKey};

/// The start of the last part of a key. A failure domain with this name can't be mistaken for one, because
/// keys of balancers have one part more.
const MARK: &str = "evacuated.";

/// The limit on the attempts to write while the outcome is unknown.
const MAX_ATTEMPTS: u32 = 8;

/// The delay before each further attempt.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The outcome of an operator's request.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum EvacuationOutcome {
    /// The failure domain is evacuated from now on.
    #[display("evacuation accepted")]
    Begun,
    /// The failure domain was already evacuated.
    #[display("already evacuated")]
    AlreadyBegun,
    /// The evacuation has ended.
    #[display("evacuation ended")]
    Ended,
    /// The failure domain was not evacuated.
    #[display("not evacuated")]
    NotBegun,
    /// The request was not accepted, and nothing changed.
    #[display("not accepted, and nothing changed: {_0}")]
    NotAccepted(Error),
    /// It is unknown whether the request was accepted; it may still take effect.
    #[display("outcome unknown: {_0}")]
    Unknown(Error),
}

/// Returns the key that evacuates a failure domain while it exists.
pub fn evacuation_key(domain: &FailureDomain) -> Result<StoreKey> {
    StoreKey::try_new(&format!("{PREFIX}{MARK}{domain}"))
}

/// Returns the name in the key of an evacuation, which may be malformed, or nothing for any other key.
pub fn evacuated_name(key: &StoreKey) -> Option<&str> {
    let name = key.as_str().strip_prefix(PREFIX)?.strip_prefix(MARK)?;
    (!name.contains('/')).then_some(name)
}

/// Returns the evacuated failure domains among the entries. Malformed names are left out and counted in one
/// line of the log.
pub fn evacuated_domains(entries: &[Entry]) -> EvacuatedDomains {
    let names = entries
        .iter()
        .filter_map(|entry| evacuated_name(&entry.key));
    let (domains, malformed): (Vec<_>, Vec<_>) = names
        .map(FailureDomain::try_new)
        .partition(std::result::Result::is_ok);
    if let Some(Err(error)) = malformed.first() {
        let count = malformed.len();
        log::warn!("{count} evacuations ignored, the first because of: {error}");
    }
    domains.into_iter().flatten().collect()
}

/// Evacuates a failure domain. The write is repeated while its outcome is unknown.
pub async fn begin<S: Store>(store: &S, domain: &FailureDomain) -> EvacuationOutcome {
    let key = match evacuation_key(domain) {
        Ok(key) => key,
        Err(error) => return EvacuationOutcome::NotAccepted(error),
    };
    let mut unknown = None;
    for _ in 0..MAX_ATTEMPTS {
        let put = Put {
            key: key.clone(),
            value: b"{}".as_slice().into(),
            expected: ExpectedVersion::Absent,
            lease: None,
        };
        match store.put(put).await {
            Ok(_) => return EvacuationOutcome::Begun,
            // The key is there, from an earlier attempt or from another operator.
            Err(Error::Conflict { .. }) if unknown.is_some() => return EvacuationOutcome::Begun,
            Err(Error::Conflict { .. }) => return EvacuationOutcome::AlreadyBegun,
            Err(error) => match failed(&mut unknown, error) {
                Some(outcome) => return outcome,
                None => tokio::time::sleep(RETRY_DELAY).await,
            },
        }
    }
    unknown_after(unknown)
}

/// Ends the evacuation of a failure domain. The deletion is repeated while its outcome is unknown.
pub async fn end<S: Store>(store: &S, domain: &FailureDomain) -> EvacuationOutcome {
    let key = match evacuation_key(domain) {
        Ok(key) => key,
        Err(error) => return EvacuationOutcome::NotAccepted(error),
    };
    let mut unknown = None;
    for _ in 0..MAX_ATTEMPTS {
        let deleted = match store.get(&key).await {
            Ok(None) if unknown.is_some() => return EvacuationOutcome::Ended,
            Ok(None) => return EvacuationOutcome::NotBegun,
            Ok(Some(entry)) => store.delete(&key, entry.version).await,
            Err(error) => Err(error),
        };
        match deleted {
            Ok(()) => return EvacuationOutcome::Ended,
            // Another operator has written the key since it was read.
            Err(Error::Conflict { .. }) => {}
            Err(error) => match failed(&mut unknown, error) {
                Some(outcome) => return outcome,
                None => tokio::time::sleep(RETRY_DELAY).await,
            },
        }
    }
    unknown_after(unknown)
}

/// Returns the evacuated failure domains.
pub async fn list<S: Store>(store: &S) -> Result<EvacuatedDomains> {
    let prefix = StoreKey::try_new(&format!("{PREFIX}{MARK}"))?;
    let listing = store.list(&prefix).await?;
    Ok(evacuated_domains(&listing.entries))
}

/// Returns the outcome after a failed call, or nothing if a further attempt may show it.
fn failed(unknown: &mut Option<Error>, error: Error) -> Option<EvacuationOutcome> {
    if error.has_no_effect() && unknown.is_none() {
        return Some(EvacuationOutcome::NotAccepted(error));
    }
    // After an attempt with an unknown outcome, a failed one shows nothing about it.
    unknown.get_or_insert(error);
    None
}

fn unknown_after(unknown: Option<Error>) -> EvacuationOutcome {
    let error = unknown.unwrap_or_else(|| Error::refused(&"the key changes all the time"));
    if error.has_no_effect() {
        EvacuationOutcome::NotAccepted(error)
    } else {
        EvacuationOutcome::Unknown(error)
    }
}

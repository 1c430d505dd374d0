//! Evacuated failure domains as a balancer reads them from the store.

use cranberrypitch_core::FailureDomain;
use cranberrypitch_core::membership::{EvacuatedDomains, EvacuationVersion, Evacuations};

/// The number of readings within which operators write lost keys again.
const KEPT_READINGS: u32 = 2;

fn domains(names: &[&str]) -> EvacuatedDomains {
    let domains = names.iter().map(|name| FailureDomain::try_new(name));
    domains.collect::<Result<_, _>>().expect("valid names")
}

fn read(evacuations: &mut Evacuations, epoch: u64, revision: u64, names: &[&str]) {
    let version = EvacuationVersion { epoch, revision };
    evacuations.on_reading(version, domains(names), KEPT_READINGS);
}

/// Guards against an older reading, as of a store that lags behind, that undoes a later one.
#[test]
fn older_reading_undoes_nothing() {
    let mut evacuations = Evacuations::default();
    read(&mut evacuations, 1, 10, &["a"]);
    read(&mut evacuations, 1, 9, &[]);
    assert_eq!(evacuations.in_force(), domains(&["a"]));
    read(&mut evacuations, 1, 11, &["b"]);
    read(&mut evacuations, 0, 50, &["a"]);
    assert_eq!(evacuations.in_force(), domains(&["b"]));
}

/// Guards against flows in an evacuated domain because the store was restored from a copy that lacks the key,
/// and against an evacuation that never ends for that reason.
#[test]
fn evacuation_that_a_copy_lacks_ends_after_some_readings() {
    let mut evacuations = Evacuations::default();
    read(&mut evacuations, 1, 10, &["a", "b"]);
    read(&mut evacuations, 2, 5, &[]);
    assert_eq!(evacuations.in_force(), domains(&["a", "b"]));
    read(&mut evacuations, 2, 6, &["a"]);
    assert_eq!(evacuations.in_force(), domains(&["a", "b"]));
    read(&mut evacuations, 2, 6, &["a"]);
    assert_eq!(evacuations.in_force(), domains(&["a"]));
    read(&mut evacuations, 2, 7, &[]);
    assert_eq!(evacuations.in_force(), domains(&[]));
}

//! The order of configurations by the edits that made them.

use cranberrypitch_core::config::{ConfigEdit, ConfigHead, ConfigText};
use cranberrypitch_core::{EditId, Slots};

const VALVES: &str = include_str!("../../../samples/valves.json");

/// Returns the head that an edit makes from another one.
fn edit(current: Option<&ConfigHead>, id: u128) -> ConfigHead {
    let mut text = ConfigText::parse(VALVES).unwrap();
    text.services[0].slots = Slots::new(u32::try_from(id).unwrap() + 1);
    ConfigEdit::plan(&text, current, EditId::new(id))
        .unwrap()
        .head
}

/// Guards against an accepted edit that is overwritten: it was made from the older configuration of a
/// restored store, so its revision is not above those that the store has lost.
#[test]
fn edit_of_an_earlier_configuration_is_not_taken_for_an_earlier_one() {
    let first = edit(None, 1);
    let second = edit(Some(&first), 2);
    let third = edit(Some(&second), 3);
    assert!(third.is_made_from(&second));
    assert!(third.is_made_from(&first));
    assert!(!second.is_made_from(&third));
    assert!(!third.is_made_from(&third));
    let other_second = edit(Some(&first), 77);
    assert!(!third.is_made_from(&other_second));
    let other_third = edit(Some(&other_second), 78);
    assert!(!third.is_made_from(&other_third));
}

/// Guards against a configuration that is taken for an earlier one although its edit is not known any more.
#[test]
fn edits_beyond_the_listed_ones_are_not_known_as_earlier() {
    let first = edit(None, 1);
    let mut newest = first.clone();
    for id in 2..=17 {
        newest = edit(Some(&newest), id);
    }
    assert!(newest.is_made_from(&first));
    let newest = edit(Some(&newest), 18);
    assert!(!newest.is_made_from(&first));
}

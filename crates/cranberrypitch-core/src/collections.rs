//! Hash maps and sets with a fast hasher.

use std::collections::{HashMap, HashSet};

/// The hasher of these maps and sets. Its seed is random, but it gives no cryptographic protection
/// against chosen keys.
pub type FastHasher = foldhash::fast::RandomState;

/// A hash map with a fast hasher.
pub type FastMap<K, V> = HashMap<K, V, FastHasher>;

/// A hash set with a fast hasher.
pub type FastSet<K> = HashSet<K, FastHasher>;

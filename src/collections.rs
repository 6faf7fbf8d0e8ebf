//! Collection aliases, so that the hasher is chosen in one place.

use {
    foldhash::fast::RandomState,
    std::collections::{HashMap as StdHashMap, HashSet as StdHashSet},
};

/// Hash map with a fast, randomly seeded hasher.
pub type HashMap<K, V> = StdHashMap<K, V, RandomState>;

/// Hash set with a fast, randomly seeded hasher.
pub type HashSet<T> = StdHashSet<T, RandomState>;

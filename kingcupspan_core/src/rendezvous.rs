//! Rendezvous hashing: which of many names serves a key.

use std::cmp;

use crate::digest;

/// Weight of `name` for `key`; the highest wins.
pub fn weight(key: &str, name: &str) -> u64 {
    digest::Digest::of(key.as_bytes())
        .chain(name.as_bytes())
        .prefix_u64()
}

/// `names` by falling weight for `key`.
pub fn ranked<'a, I: IntoIterator<Item = &'a str>>(key: &str, names: I) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = names.into_iter().map(|n| (weight(key, n), n)).collect();
    ranked.sort_unstable_by_key(|entry| cmp::Reverse(*entry));
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// The name with the highest weight for `key`.
pub fn first<'a, I: IntoIterator<Item = &'a str>>(key: &str, names: I) -> Option<&'a str> {
    names
        .into_iter()
        .max_by_key(|name| (weight(key, name), *name))
}

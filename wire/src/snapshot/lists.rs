//! Lists of items sorted by key, the difference between two of them, and their digests. The digest of a list is the sum
//! of the digests of its items, so that a change costs what it changes and not what the list holds.

use prost::Message;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Election, Group, Node, Route, Server, ServerLog};

/// An item of a list in which each key occurs once.
pub trait Keyed: Clone + PartialEq {
    /// Distinguishes equal bytes in lists of different kinds.
    const DIGEST_SEED: u64;

    /// The key.
    fn key(&self) -> &str;

    /// Appends the item's encoding.
    fn encode_to(&self, buffer: &mut Vec<u8>);
}

macro_rules! keyed {
    ($($seed:literal $item:ty: $field:ident),*) => {
        $(impl Keyed for $item {
            const DIGEST_SEED: u64 = $seed;

            fn key(&self) -> &str {
                &self.$field
            }

            fn encode_to(&self, buffer: &mut Vec<u8>) {
                self.encode(buffer).expect("a vector grows as needed");
            }
        })*
    };
}

keyed!(1 Route: name, 2 Group: name, 3 Election: group, 4 ServerLog: server, 5 Server: name, 6 Node: name);

impl Keyed for String {
    const DIGEST_SEED: u64 = 7;

    fn key(&self) -> &str {
        self
    }

    fn encode_to(&self, buffer: &mut Vec<u8>) {
        buffer.extend_from_slice(self.as_bytes());
    }
}

/// Adds up the digests of items.
#[derive(Default)]
pub struct DigestSum {
    sum: u64,
    buffer: Vec<u8>,
}

impl DigestSum {
    /// Continues from an earlier sum.
    pub fn from(sum: u64) -> Self {
        Self { sum, buffer: Vec::new() }
    }

    /// The sum.
    pub fn get(&self) -> u64 {
        self.sum
    }

    /// Adds an item.
    pub fn add<T: Keyed>(&mut self, item: &T) {
        self.sum = self.sum.wrapping_add(self.digest(item));
    }

    /// Adds all items of a list.
    pub fn add_all<T: Keyed>(&mut self, list: &[T]) {
        list.iter().for_each(|item| self.add(item));
    }

    /// Takes an item that was added out again.
    pub fn subtract<T: Keyed>(&mut self, item: &T) {
        self.sum = self.sum.wrapping_sub(self.digest(item));
    }

    fn digest<T: Keyed>(&mut self, item: &T) -> u64 {
        self.buffer.clear();
        item.encode_to(&mut self.buffer);
        xxh3_64_with_seed(&self.buffer, T::DIGEST_SEED)
    }
}

/// Sorts by key. Of several items with the same key the first is kept, as it is the one that look-ups in an image find.
pub fn sort<T: Keyed>(list: &mut Vec<T>) {
    list.sort_by(|a, b| a.key().cmp(b.key()));
    list.dedup_by(|a, b| a.key() == b.key());
}

/// The items that were added or changed, and the keys that were removed, between two sorted lists. `sum` is the digest
/// of the old list and becomes that of the new one.
pub fn diff<T: Keyed>(old: &[T], new: &[T], sum: &mut DigestSum) -> (Vec<T>, Vec<String>) {
    let (mut changed, mut removed) = (Vec::new(), Vec::new());
    let (mut old, mut new) = (old.iter().peekable(), new.iter().peekable());
    while let (Some(before), Some(after)) = (old.peek(), new.peek()) {
        match before.key().cmp(after.key()) {
            std::cmp::Ordering::Equal => {
                if before != after {
                    sum.subtract(*before);
                    sum.add(*after);
                    changed.push((*after).clone());
                }
                old.next();
                new.next();
            }
            std::cmp::Ordering::Less => {
                sum.subtract(*before);
                removed.push(before.key().into());
                old.next();
            }
            std::cmp::Ordering::Greater => {
                sum.add(*after);
                changed.push((*after).clone());
                new.next();
            }
        }
    }
    for before in old {
        sum.subtract(before);
        removed.push(before.key().into());
    }
    for after in new {
        sum.add(after);
        changed.push(after.clone());
    }
    (changed, removed)
}

/// Inserts or replaces changed items of a sorted list and removes those with the keys in `removed`. `sum` is the digest
/// of the list before and becomes that of the result.
pub fn merge<T: Keyed>(list: &mut Vec<T>, changed: &[T], removed: &[String], sum: &mut DigestSum) {
    if changed.is_empty() && removed.is_empty() {
        return;
    }
    let mut changed = changed.to_vec();
    // Of several changes of one item the last one counts.
    changed.reverse();
    sort(&mut changed);
    let mut removed: Vec<&str> = removed.iter().map(String::as_str).collect();
    removed.sort_unstable();
    let mut changed = changed.into_iter().peekable();
    let mut merged = Vec::with_capacity(list.len() + changed.len());
    for item in list.drain(..) {
        while let Some(new) = changed.next_if(|new| new.key() < item.key()) {
            sum.add(&new);
            merged.push(new);
        }
        if let Some(new) = changed.next_if(|new| new.key() == item.key()) {
            sum.subtract(&item);
            sum.add(&new);
            merged.push(new);
        } else if removed.binary_search(&item.key()).is_ok() {
            sum.subtract(&item);
        } else {
            merged.push(item);
        }
    }
    for new in changed {
        sum.add(&new);
        merged.push(new);
    }
    *list = merged;
}

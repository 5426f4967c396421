//! State snapshots as nodes keep them, the deltas between two of them, and the application of a delta. Pure functions,
//! without I/O.

use std::{collections::BTreeMap, rc::Rc};

use prost::Message;

use crate::{Election, FullSnapshot, Group, Image, Node, Route, Server, ServerLog, SnapshotDelta, SnapshotVersion};

/// The state that the leader publishes to all nodes. Its lists are sorted by key, so that equal states have equal
/// digests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    pub version: SnapshotVersion,
    pub image: Rc<Image>,
    pub servers: Vec<Server>,
    pub nodes: Vec<Node>,
}

/// Why a delta was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta leads to no newer snapshot than the one held.
    #[error("the snapshot held is as new")]
    Old,
    /// The delta builds on a snapshot other than the one held.
    #[error("the delta builds on another snapshot")]
    Gap,
    /// The result differs from what was published.
    #[error("the result is not the state that was published")]
    Digest,
}

/// An item of a list in which each key occurs once.
trait Keyed: Clone + PartialEq {
    fn key(&self) -> &str;
}

macro_rules! keyed {
    ($($item:ty: $field:ident),*) => {
        $(impl Keyed for $item {
            fn key(&self) -> &str {
                &self.$field
            }
        })*
    };
}

keyed!(Route: name, Group: name, Election: group, ServerLog: server, Server: name, Node: name);

impl Keyed for String {
    fn key(&self) -> &str {
        self
    }
}

/// Sorts by key. Of several items with the same key the first is kept, as it is the one that look-ups in an [`Image`]
/// find.
fn sort<T: Keyed>(list: &mut Vec<T>) {
    list.sort_by(|a, b| a.key().cmp(b.key()));
    list.dedup_by(|a, b| a.key() == b.key());
}

/// The items that were added or changed, and the keys that were removed.
fn diff<T: Keyed>(old: &[T], new: &[T]) -> (Vec<T>, Vec<String>) {
    let before: BTreeMap<&str, &T> = old.iter().map(|item| (item.key(), item)).collect();
    let after: BTreeMap<&str, &T> = new.iter().map(|item| (item.key(), item)).collect();
    let changed = new.iter().filter(|item| before.get(item.key()) != Some(item)).cloned().collect();
    let removed = old.iter().map(Keyed::key).filter(|key| !after.contains_key(key)).map(String::from).collect();
    (changed, removed)
}

/// Inserts or replaces changed items and removes those with the keys in `removed`.
fn merge<T: Keyed>(list: &mut Vec<T>, changed: &[T], removed: &[String]) {
    if changed.is_empty() && removed.is_empty() {
        return;
    }
    let mut all: BTreeMap<String, T> = list.drain(..).map(|item| (item.key().into(), item)).collect();
    for key in removed {
        all.remove(key);
    }
    for item in changed {
        all.insert(item.key().into(), item.clone());
    }
    list.extend(all.into_values());
}

/// The part of an image that nodes need, with sorted lists.
fn for_nodes(image: &Image) -> Image {
    let mut image = image.for_nodes();
    sort(&mut image.routes);
    sort(&mut image.groups);
    sort(&mut image.evacuated_zones);
    sort(&mut image.elections);
    sort(&mut image.logs);
    image
}

impl Snapshot {
    /// Builds a snapshot of the current state, with the part of the image that nodes need.
    pub fn new(version: SnapshotVersion, image: &Image, mut servers: Vec<Server>, mut nodes: Vec<Node>) -> Self {
        sort(&mut servers);
        sort(&mut nodes);
        Self { version, image: Rc::new(for_nodes(image)), servers, nodes }
    }

    /// Reads a received snapshot; `None` if its version or its image is missing.
    pub fn from_message(message: FullSnapshot) -> Option<Self> {
        Some(Self::new(message.version?, &message.image?, message.servers, message.nodes))
    }

    /// The message that carries the full snapshot.
    pub fn to_message(&self) -> FullSnapshot {
        FullSnapshot {
            version: Some(self.version),
            image: Some((*self.image).clone()),
            servers: self.servers.clone(),
            nodes: self.nodes.clone(),
        }
    }

    /// Keeps unchanged parts of the previous snapshot, so that they are not sent again: an equal image is shared, and a
    /// server that differs only in its report sequence number keeps the previous number.
    pub fn keep_unchanged(&mut self, old: &Snapshot) {
        if self.image == old.image {
            self.image = old.image.clone();
        }
        let before: BTreeMap<&str, &Server> = old.servers.iter().map(|s| (s.name.as_str(), s)).collect();
        for server in &mut self.servers {
            let Some(previous) = before.get(server.name.as_str()) else { continue };
            let unchanged = Server { report_seq: previous.report_seq, ..server.clone() };
            if unchanged == **previous {
                *server = unchanged;
            }
        }
    }

    /// A checksum of the whole snapshot, its version included.
    pub fn digest(&self) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&self.version.encode_length_delimited_to_vec());
        hasher.update(&self.image.encode_length_delimited_to_vec());
        self.servers.iter().for_each(|s| hasher.update(&s.encode_length_delimited_to_vec()));
        self.nodes.iter().for_each(|n| hasher.update(&n.encode_length_delimited_to_vec()));
        hasher.finalize()
    }

    /// The delta from this snapshot to a newer one.
    pub fn delta_to(&self, new: &Snapshot) -> SnapshotDelta {
        let mut delta = SnapshotDelta {
            base_version: Some(self.version),
            version: Some(new.version),
            digest: new.digest(),
            sequence: new.image.sequence,
            limits: new.image.limits,
            ..SnapshotDelta::default()
        };
        if !Rc::ptr_eq(&self.image, &new.image) {
            let (old, new) = (&self.image, &new.image);
            (delta.routes, delta.routes_removed) = diff(&old.routes, &new.routes);
            (delta.groups, delta.groups_removed) = diff(&old.groups, &new.groups);
            (delta.evacuated_zones, delta.evacuated_zones_removed) = diff(&old.evacuated_zones, &new.evacuated_zones);
            (delta.elections, delta.elections_removed) = diff(&old.elections, &new.elections);
            (delta.logs, delta.logs_removed) = diff(&old.logs, &new.logs);
        }
        (delta.servers, delta.servers_removed) = diff(&self.servers, &new.servers);
        (delta.nodes, delta.nodes_removed) = diff(&self.nodes, &new.nodes);
        delta
    }

    /// Applies a delta to this snapshot and returns the newer one. A result whose digest is not that of the published
    /// snapshot is an error.
    pub fn apply(&self, delta: &SnapshotDelta) -> Result<Snapshot, DeltaError> {
        if delta.version.unwrap_or_default() <= self.version {
            return Err(DeltaError::Old);
        }
        if delta.base_version.unwrap_or_default() != self.version {
            return Err(DeltaError::Gap);
        }
        let new = self.apply_unchecked(delta);
        if new.digest() != delta.digest {
            return Err(DeltaError::Digest);
        }
        Ok(new)
    }

    /// Applies a delta without checking its base or the result.
    fn apply_unchecked(&self, delta: &SnapshotDelta) -> Snapshot {
        let mut new = Snapshot { version: delta.version.unwrap_or_default(), ..self.clone() };
        if changes_image(&self.image, delta) {
            let image = Rc::make_mut(&mut new.image);
            image.sequence = delta.sequence;
            image.limits = delta.limits;
            merge(&mut image.routes, &delta.routes, &delta.routes_removed);
            merge(&mut image.groups, &delta.groups, &delta.groups_removed);
            merge(&mut image.evacuated_zones, &delta.evacuated_zones, &delta.evacuated_zones_removed);
            merge(&mut image.elections, &delta.elections, &delta.elections_removed);
            merge(&mut image.logs, &delta.logs, &delta.logs_removed);
        }
        merge(&mut new.servers, &delta.servers, &delta.servers_removed);
        merge(&mut new.nodes, &delta.nodes, &delta.nodes_removed);
        new
    }
}

/// Whether a delta changes any part of the image.
fn changes_image(image: &Image, delta: &SnapshotDelta) -> bool {
    let added_is_empty = [
        delta.routes.is_empty(),
        delta.groups.is_empty(),
        delta.evacuated_zones.is_empty(),
        delta.elections.is_empty(),
        delta.logs.is_empty(),
    ];
    let removed = [
        &delta.routes_removed,
        &delta.groups_removed,
        &delta.evacuated_zones_removed,
        &delta.elections_removed,
        &delta.logs_removed,
    ];
    image.sequence != delta.sequence
        || image.limits != delta.limits
        || added_is_empty.contains(&false)
        || removed.iter().any(|names| !names.is_empty())
}

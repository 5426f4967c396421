//! News as nodes keep it and as it is sent: snapshots, the deltas between two of them, and how a delta is applied.
//! Pure functions, without I/O.

use std::{collections::BTreeMap, rc::Rc};

use prost::Message;

use crate::{Election, FullSnapshot, Group, Image, Node, Route, Server, ServerLog, SnapshotDelta, SnapshotVersion};

/// The state that news tells of, in one fixed order, so that equal states have equal digests.
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
    #[error("the snapshot held is as new")]
    Old,
    #[error("the delta builds on another snapshot")]
    Gap,
    #[error("the result is not the state that was published")]
    Digest,
}

/// An item of a list that holds each key once.
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

/// Sorts by key; of several items with one key the first stays, which is the one that look-ups find.
fn sort<T: Keyed>(list: &mut Vec<T>) {
    list.sort_by(|a, b| a.key().cmp(b.key()));
    list.dedup_by(|a, b| a.key() == b.key());
}

/// The items that are new or different, and the keys that are gone.
fn diff<T: Keyed>(old: &[T], new: &[T]) -> (Vec<T>, Vec<String>) {
    let before: BTreeMap<&str, &T> = old.iter().map(|item| (item.key(), item)).collect();
    let after: BTreeMap<&str, &T> = new.iter().map(|item| (item.key(), item)).collect();
    let changed = new.iter().filter(|item| before.get(item.key()) != Some(item)).cloned().collect();
    let removed = old.iter().map(Keyed::key).filter(|key| !after.contains_key(key)).map(String::from).collect();
    (changed, removed)
}

/// Puts changed items in and takes removed ones out.
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

/// What nodes need of an image, in order.
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
    /// What nodes need of the present state.
    pub fn new(mark: SnapshotVersion, image: &Image, mut servers: Vec<Server>, mut nodes: Vec<Node>) -> Self {
        sort(&mut servers);
        sort(&mut nodes);
        Self { version: mark, image: Rc::new(for_nodes(image)), servers, nodes }
    }

    /// From news that is whole; `None` where it lacks its mark or its image.
    pub fn from_message(news: FullSnapshot) -> Option<Self> {
        Some(Self::new(news.version?, &news.image?, news.servers, news.nodes))
    }

    /// As it is sent whole.
    pub fn to_message(&self) -> FullSnapshot {
        FullSnapshot {
            version: Some(self.version),
            image: Some((*self.image).clone()),
            servers: self.servers.clone(),
            nodes: self.nodes.clone(),
        }
    }

    /// Keeps what is as it was: an equal image is shared, and a server of which only the count of its reports rose is
    /// not told again.
    pub fn keep_unchanged(&mut self, old: &Snapshot) {
        if self.image == old.image {
            self.image = old.image.clone();
        }
        let before: BTreeMap<&str, &Server> = old.servers.iter().map(|s| (s.name.as_str(), s)).collect();
        for server in &mut self.servers {
            let Some(told) = before.get(server.name.as_str()) else { continue };
            let counted = Server { report_seq: told.report_seq, ..server.clone() };
            if counted == **told {
                *server = counted;
            }
        }
    }

    /// A checksum of all that it holds.
    pub fn digest(&self) -> u32 {
        let mut sum = crc32fast::Hasher::new();
        sum.update(&self.version.encode_length_delimited_to_vec());
        sum.update(&self.image.encode_length_delimited_to_vec());
        self.servers.iter().for_each(|s| sum.update(&s.encode_length_delimited_to_vec()));
        self.nodes.iter().for_each(|n| sum.update(&n.encode_length_delimited_to_vec()));
        sum.finalize()
    }

    /// What leads from this snapshot to a newer one.
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

    /// The snapshot that a delta leads to from this one. A result that is not what was published is never given out.
    pub fn apply(&self, delta: &SnapshotDelta) -> Result<Snapshot, DeltaError> {
        if delta.version.unwrap_or_default() <= self.version {
            return Err(DeltaError::Old);
        }
        if delta.base_version.unwrap_or_default() != self.version {
            return Err(DeltaError::Gap);
        }
        let new = self.merged(delta);
        if new.digest() != delta.digest {
            return Err(DeltaError::Digest);
        }
        Ok(new)
    }

    fn merged(&self, delta: &SnapshotDelta) -> Snapshot {
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

fn changes_image(image: &Image, delta: &SnapshotDelta) -> bool {
    let put = [
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
        || put.contains(&false)
        || removed.iter().any(|names| !names.is_empty())
}

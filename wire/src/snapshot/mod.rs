//! State snapshots as nodes keep them, the deltas between two of them, and the application of a delta. Pure functions,
//! without I/O.

mod lists;

use std::{cell::OnceCell, collections::BTreeMap, rc::Rc};

use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::{FullSnapshot, Image, Node, Server, SnapshotDelta, SnapshotVersion};
use lists::{DigestSum, diff, merge, sort};

/// The state that the leader publishes to all nodes. Its lists are sorted by key, so that equal states have equal
/// digests.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub version: SnapshotVersion,
    pub image: Rc<Image>,
    pub servers: Vec<Server>,
    pub nodes: Vec<Node>,
    /// The digest of the image's lists, once it is known.
    image_sum: OnceCell<u64>,
    /// The digest of the servers and nodes, once it is known.
    members_sum: OnceCell<u64>,
}

impl PartialEq for Snapshot {
    fn eq(&self, other: &Self) -> bool {
        self.version == other.version
            && self.image == other.image
            && self.servers == other.servers
            && self.nodes == other.nodes
    }
}

/// A cell that holds a value.
fn known(sum: &DigestSum) -> OnceCell<u64> {
    OnceCell::from(sum.get())
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

/// The part of an image that nodes need, with sorted lists.
pub fn image_for_nodes(image: &Image) -> Image {
    with_sorted_lists(Image { routes: image.routes_for_nodes(), ..image.for_nodes_without_routes() })
}

/// As [`image_for_nodes`], given an earlier image and its part for nodes: where the routes did not change, they are
/// shared with it.
pub fn image_for_nodes_after(image: &Image, (earlier, earlier_part): (&Image, &Image)) -> Image {
    if !earlier.routes.is_same(&image.routes) {
        return image_for_nodes(image);
    }
    with_sorted_lists(Image { routes: earlier_part.routes.clone(), ..image.for_nodes_without_routes() })
}

fn with_sorted_lists(mut image: Image) -> Image {
    // A list that is shared would be copied.
    if !image.routes.is_sorted_by(|a, b| a.name < b.name) {
        sort(&mut image.routes);
    }
    sort(&mut image.groups);
    sort(&mut image.evacuated_zones);
    sort(&mut image.elections);
    sort(&mut image.logs);
    image
}

impl Snapshot {
    /// Builds a snapshot of the current state from the result of [`image_for_nodes`], the servers and the nodes.
    pub fn new(version: SnapshotVersion, image: Rc<Image>, mut servers: Vec<Server>, mut nodes: Vec<Node>) -> Self {
        sort(&mut servers);
        sort(&mut nodes);
        Self { version, image, servers, nodes, ..Self::default() }
    }

    /// Reads a received snapshot; `None` if its version or its image is missing.
    pub fn from_message(message: FullSnapshot) -> Option<Self> {
        let image = Rc::new(with_sorted_lists(message.image?.into_part_for_nodes()));
        Some(Self::new(message.version?, image, message.servers, message.nodes))
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
        if Rc::ptr_eq(&self.image, &old.image) || self.image == old.image {
            self.image = old.image.clone();
            self.image_sum = old.image_sum.clone();
        }
        self.members_sum = OnceCell::new();
        let before: BTreeMap<&str, &Server> = old.servers.iter().map(|s| (s.name.as_str(), s)).collect();
        for server in &mut self.servers {
            let Some(previous) = before.get(server.name.as_str()) else { continue };
            let unchanged = Server { report_seq: previous.report_seq, ..server.clone() };
            if unchanged == **previous {
                *server = unchanged;
            }
        }
    }

    /// The digest of the image's lists.
    fn image_sum(&self) -> DigestSum {
        let sum = self.image_sum.get_or_init(|| {
            let mut sum = DigestSum::default();
            sum.add_all(&self.image.routes);
            sum.add_all(&self.image.groups);
            sum.add_all(&self.image.evacuated_zones);
            sum.add_all(&self.image.elections);
            sum.add_all(&self.image.logs);
            sum.get()
        });
        DigestSum::from(*sum)
    }

    /// The digest of the servers and nodes.
    fn members_sum(&self) -> DigestSum {
        let sum = self.members_sum.get_or_init(|| {
            let mut sum = DigestSum::default();
            sum.add_all(&self.servers);
            sum.add_all(&self.nodes);
            sum.get()
        });
        DigestSum::from(*sum)
    }

    /// A digest of the whole snapshot, its version included. It takes no longer than the changes since a snapshot whose
    /// digest is known.
    pub fn digest(&self) -> u64 {
        let mut buffer = self.version.encode_to_vec();
        buffer.extend(self.image.sequence.to_le_bytes());
        buffer.push(u8::from(self.image.limits.is_some()));
        buffer.extend(self.image.limits.unwrap_or_default().encode_length_delimited_to_vec());
        buffer.extend(self.image_sum().get().to_le_bytes());
        buffer.extend(self.members_sum().get().to_le_bytes());
        xxh3_64(&buffer)
    }

    /// The delta from this snapshot to a newer one.
    pub fn delta_to(&self, new: &Snapshot) -> SnapshotDelta {
        let mut delta = SnapshotDelta {
            base_version: Some(self.version),
            version: Some(new.version),
            sequence: new.image.sequence,
            limits: new.image.limits,
            ..SnapshotDelta::default()
        };
        let mut sum = self.image_sum();
        if !Rc::ptr_eq(&self.image, &new.image) {
            let (old, new) = (&self.image, &new.image);
            if !old.routes.is_same(&new.routes) {
                (delta.routes, delta.routes_removed) = diff(&old.routes, &new.routes, &mut sum);
            }
            (delta.groups, delta.groups_removed) = diff(&old.groups, &new.groups, &mut sum);
            (delta.evacuated_zones, delta.evacuated_zones_removed) =
                diff(&old.evacuated_zones, &new.evacuated_zones, &mut sum);
            (delta.elections, delta.elections_removed) = diff(&old.elections, &new.elections, &mut sum);
            (delta.logs, delta.logs_removed) = diff(&old.logs, &new.logs, &mut sum);
        }
        new.image_sum.get_or_init(|| sum.get());
        let mut sum = self.members_sum();
        (delta.servers, delta.servers_removed) = diff(&self.servers, &new.servers, &mut sum);
        (delta.nodes, delta.nodes_removed) = diff(&self.nodes, &new.nodes, &mut sum);
        new.members_sum.get_or_init(|| sum.get());
        delta.digest = new.digest();
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
        let mut image = self.image.clone();
        let mut image_sum = self.image_sum();
        if changes_image(&image, delta) {
            let image = Rc::make_mut(&mut image);
            image.sequence = delta.sequence;
            image.limits = delta.limits;
            if !delta.routes.is_empty() || !delta.routes_removed.is_empty() {
                merge(&mut image.routes, &delta.routes, &delta.routes_removed, &mut image_sum);
            }
            merge(&mut image.groups, &delta.groups, &delta.groups_removed, &mut image_sum);
            merge(&mut image.evacuated_zones, &delta.evacuated_zones, &delta.evacuated_zones_removed, &mut image_sum);
            merge(&mut image.elections, &delta.elections, &delta.elections_removed, &mut image_sum);
            merge(&mut image.logs, &delta.logs, &delta.logs_removed, &mut image_sum);
        }
        let (mut servers, mut nodes) = (self.servers.clone(), self.nodes.clone());
        let mut members_sum = self.members_sum();
        merge(&mut servers, &delta.servers, &delta.servers_removed, &mut members_sum);
        merge(&mut nodes, &delta.nodes, &delta.nodes_removed, &mut members_sum);
        Snapshot {
            version: delta.version.unwrap_or_default(),
            image,
            servers,
            nodes,
            image_sum: known(&image_sum),
            members_sum: known(&members_sum),
        }
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

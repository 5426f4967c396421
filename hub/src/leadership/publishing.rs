//! Publication of state snapshots to all nodes.

use std::{rc::Rc, time::Duration};

use wire::{
    Image, Snapshot, SnapshotVersion,
    snapshot::{image_for_nodes, image_for_nodes_after},
};

use super::{Leadership, MAX_PUBLISHED_NODES};

impl Leadership {
    /// Publishes a snapshot of the current state to all nodes.
    pub fn publish(&self) {
        let Some(image) = self.consensus.image() else { return };
        self.publish_overdue.set(!self.consensus.leads_with_lease());
        if self.publish_overdue.get() {
            return;
        }
        self.unpublished.set(false);
        self.snapshot_count.set(self.snapshot_count.get() + 1);
        let servers = self.servers.borrow().iter().map(|(name, record)| record.to_message(name)).collect();
        let nodes = self.nodes_to_publish();
        self.published_nodes.borrow_mut().clone_from(&nodes);
        self.relay.publish(Snapshot::new(self.snapshot_version(), self.image_for_nodes(image), servers, nodes));
        self.state_changed.notify_waiters();
    }

    /// The part of the image that nodes need; made anew only when the image changed.
    pub(super) fn image_for_nodes(&self, image: Rc<Image>) -> Rc<Image> {
        let mut published = self.published_image.borrow_mut();
        if let Some((source, for_nodes)) = &*published
            && Rc::ptr_eq(source, &image)
        {
            return for_nodes.clone();
        }
        let for_nodes = Rc::new(match &*published {
            Some((source, part)) => image_for_nodes_after(&image, (source, part)),
            None => image_for_nodes(&image),
        });
        *published = Some((image, for_nodes.clone()));
        for_nodes
    }

    /// Publishes a snapshot with the next batch, so that not every server's report causes one.
    pub(super) fn publish_soon(&self) {
        self.unpublished.set(true);
    }

    /// Publishes collected changes in batches. The delay adds to the time that a node may go on without a newer
    /// snapshot, four fifths of the `blueprint` bound; together they stay within the `drain` bound. A new configuration
    /// or an evacuation never waits here.
    pub(super) async fn publish_batches(&self) {
        loop {
            self.env.sleep(self.batch_interval()).await;
            if self.unpublished.get() {
                self.publish();
            }
        }
    }

    /// For how long changes are collected before a snapshot is published: half a node's heartbeat interval.
    pub(super) fn batch_interval(&self) -> Duration {
        self.bounds.node_heartbeat() / 2
    }

    /// The nodes to list in a snapshot, which other nodes may choose as parents: those nearest to the root of the tree.
    pub(super) fn nodes_to_publish(&self) -> Vec<wire::Node> {
        let nodes = self.nodes.borrow();
        let mut all: Vec<&wire::Node> = nodes.values().map(|record| &record.node).collect();
        if all.len() > MAX_PUBLISHED_NODES {
            all.sort_by_key(|node| (node.depth, &node.name));
            all.truncate(MAX_PUBLISHED_NODES);
        }
        all.into_iter().cloned().collect()
    }

    /// The version of the latest snapshot; every published change raises it before anything acts on the change.
    pub(super) fn snapshot_version(&self) -> SnapshotVersion {
        SnapshotVersion { term: self.term.get(), count: self.snapshot_count.get() }
    }
}

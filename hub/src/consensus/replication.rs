//! Replication of the image: heartbeats, acknowledgements, commitment, and the requests that wait for it.

use std::{rc::Rc, time::Duration};

use wire::{Heartbeat, HeartbeatAck, Image};

use super::{
    core::{AfterSave, Core, PendingRequest, Role},
    quorum,
    types::{Change, Clock, Effect, InheritedLeases, Message, Outcome, RequestId},
};
use crate::store::{DurableState, Version};

impl Core {
    /// The state to save with the next image of this term.
    pub(super) fn next_version(&self, image: Rc<Image>) -> DurableState {
        let mut next = DurableState::clone(&self.durable);
        next.version_term = next.term;
        next.version_index += 1;
        next.image = Some(image);
        next
    }

    /// Adds the newest image to those that are not committed yet.
    pub(super) fn record_uncommitted(&mut self) {
        if let Some(image) = &self.durable.image {
            self.uncommitted.insert(self.durable.version_index, image.clone());
        }
    }

    /// Periodic step of the leader, once per heartbeat interval: a membership change if one is ready, else heartbeats.
    pub(super) fn on_leader_tick(&mut self, clock: Clock) {
        if !self.change_membership(clock.now) {
            self.send_heartbeats(clock);
        }
    }

    /// Continues after the sync of an image that no request waits for. A leader whose disk is full steps down.
    pub(super) fn after_image_saved(&mut self, clock: Clock, synced: bool) {
        if !synced {
            return self.transfer_leadership(clock);
        }
        self.record_uncommitted();
        self.send_heartbeats(clock);
        self.advance_commit(clock);
    }

    /// Sends a heartbeat to each connected control node, and the image separately to those that do not hold it.
    pub(super) fn send_heartbeats(&mut self, clock: Clock) {
        let nonce = self.next_nonce();
        let version = self.version();
        let heartbeat = Heartbeat {
            term: self.durable.term,
            nonce,
            version_term: version.term,
            version_index: version.index,
            committed: self.committed.as_ref().map_or(0, |c| c.0),
            ..Heartbeat::default()
        };
        let mut connected = Vec::new();
        for (name, peer) in self.peers.iter_mut().filter(|p| p.1.connected) {
            peer.record_sent(nonce, clock.now);
            connected.push(name.clone());
        }
        self.effect(Effect::Send { to: connected, message: Message::Heartbeat(Box::new(heartbeat)) });
        self.send_images(clock);
    }

    /// Follows the sender, unless its term is older, and syncs the new term and image before acknowledging them.
    pub(super) fn on_heartbeat(&mut self, clock: Clock, from: &str, mut heartbeat: Heartbeat) {
        let term = self.durable.term;
        if heartbeat.transfer {
            return self.on_transfer(clock, from, heartbeat);
        }
        if heartbeat.term < term || (heartbeat.term == term && self.role == Role::Leader) {
            return self.send_ack(heartbeat.nonce, false);
        }
        if heartbeat.term > term || self.role != Role::Follower || self.leader != from {
            self.follow(from);
        }
        self.last_leader_contact = clock.now;
        if !self.followed_leaders.contains(from) {
            self.followed_leaders.insert(from.into());
        }
        let image = self.received_image(&mut heartbeat);
        if heartbeat.term == term && image.is_none() {
            self.renew_hold(clock);
            return self.send_ack(heartbeat.nonce, true);
        }
        let mut next = DurableState::clone(&self.durable);
        if heartbeat.term > term {
            next.term = heartbeat.term;
            next.voted_for.clear();
        }
        if image.is_some() {
            next.version_term = heartbeat.version_term;
            next.version_index = heartbeat.version_index;
            next.image = image;
            next.rescued = false;
        }
        self.save(next, AfterSave::AcknowledgeHeartbeat { nonce: heartbeat.nonce });
    }

    /// Acknowledges a heartbeat after the sync of its term or image; it is rejected if the disk was full.
    pub(super) fn after_acceptance_saved(&mut self, clock: Clock, nonce: u64, synced: bool) {
        self.renew_hold(clock);
        self.send_ack(nonce, synced);
    }

    fn send_ack(&mut self, nonce: u64, accepted: bool) {
        let version = self.version();
        self.effect(Effect::Reply(Message::HeartbeatAck(HeartbeatAck {
            term: self.durable.term,
            nonce,
            version_term: version.term,
            version_index: version.index,
            incarnation: self.durable.incarnation,
            has_no_image: self.durable.has_no_image(),
            accepted,
            leaving: self.leaving,
        })));
    }

    /// Handles a transfer of leadership: the leader of this term stepped down and chose this node as its successor.
    fn on_transfer(&mut self, clock: Clock, from: &str, heartbeat: Heartbeat) {
        if heartbeat.term != self.durable.term || self.durable.has_no_image() {
            return;
        }
        self.log(format!("{from} transfers leadership to this node"));
        self.inherited_leases =
            Some(InheritedLeases { term: heartbeat.term, received_at: clock.now, leases: heartbeat.leases });
        self.campaign(clock, true);
    }

    /// Records which version another control node has synced, and steps down if its term is newer.
    pub(super) fn on_ack(&mut self, clock: Clock, from: &str, ack: HeartbeatAck) {
        let term = self.durable.term;
        let leading = self.role == Role::Leader;
        let Some(peer) = self.peers.get_mut(from) else { return };
        if peer.incarnation != ack.incarnation {
            peer.last_ack = None;
        }
        peer.incarnation = ack.incarnation;
        peer.has_no_image = ack.has_no_image;
        peer.leaving = ack.leaving;
        self.highest_term_seen = self.highest_term_seen.max(ack.term);
        if ack.term > term {
            return self.follow("");
        }
        if !leading || ack.term != term {
            return;
        }
        let sent = peer.sent_heartbeats.iter().find(|s| s.0 == ack.nonce).map(|s| s.1);
        if let (true, Some(sent)) = (ack.accepted, sent) {
            let version = Version { term: ack.version_term, index: ack.version_index };
            peer.version = peer.version.max(Some(version));
            peer.last_ack = peer.last_ack.max(Some(sent));
            // This acknowledgement reports whether the image was accepted; if its delta did not apply, the image is
            // sent again, whole if no delta is available.
            if peer.image_in_flight.is_some_and(|sent| sent.nonce == ack.nonce || Some(sent.version) <= peer.version) {
                peer.image_in_flight = None;
            }
            self.send_image(clock, from);
        }
        self.advance_commit(clock);
        self.effect(Effect::Changed);
    }

    /// Commits the newest image that is on a quorum of disks, and resolves the requests that wait for it.
    pub(super) fn advance_commit(&mut self, clock: Clock) {
        if self.role != Role::Leader {
            return;
        }
        let committable = self.uncommitted.keys().rev().copied().find(|index| self.on_quorum(*index));
        if let Some(index) = committable
            && let Some(image) = self.uncommitted.remove(&index)
        {
            self.uncommitted = self.uncommitted.split_off(&index);
            self.committed = Some((index, image));
            self.effect(Effect::Changed);
        }
        self.resolve_pending(clock.now);
    }

    /// Whether the image with this index of this term is on a quorum of disks. The newest image names the members: one
    /// that changes the membership requires both majorities as soon as it is saved.
    fn on_quorum(&self, index: u64) -> bool {
        let Some(image) = &self.durable.image else { return false };
        let version = Version { term: self.durable.term, index };
        quorum::has_quorum(image, |m| {
            self.member_satisfies(m, true, |p| {
                p.version.is_some_and(|held| held.term == version.term && held >= version)
            })
        })
    }

    fn resolve_pending(&mut self, now: Duration) {
        let Some((committed, image)) = self.committed.clone() else { return };
        let contact = self.quorum_contact(now);
        let skips_confirmation = self.guards.early_result;
        for request in std::mem::take(&mut self.pending_requests) {
            match request {
                // Returns the request's own image, although a later one may have been committed together with it.
                PendingRequest::Commit { request_id, index, image } if index <= committed => {
                    self.resolve(request_id, Outcome::Committed(image));
                }
                PendingRequest::Confirmation { request_id, index, requested_at }
                    if skips_confirmation || (index <= committed && contact.is_some_and(|t| t >= requested_at)) =>
                {
                    self.resolve(request_id, Outcome::Confirmed(image.clone()));
                }
                pending => self.pending_requests.push(pending),
            }
        }
    }

    /// Handles a proposed change of the newest image. If nothing has to change, the request is resolved once that image
    /// is committed and a quorum has confirmed this leader after the call, so that no response depends on an image that
    /// could still be lost or that a later leader replaced.
    pub(super) fn on_propose(&mut self, clock: Clock, request_id: RequestId, change: Change) {
        if self.leaving || !self.leads_with_lease(clock.now) {
            return self.resolve(request_id, Outcome::Unavailable);
        }
        let Some(image) = &self.durable.image else { return self.resolve(request_id, Outcome::Unavailable) };
        match change(image) {
            Some(next) => {
                let next = self.next_version(Rc::new(next));
                self.save(next, AfterSave::AwaitCommit { request_id });
            }
            None => self.await_confirmation(clock, request_id),
        }
    }

    /// Handles a read of the newest committed image.
    pub(super) fn on_read(&mut self, clock: Clock, request_id: RequestId) {
        if !self.leads_with_lease(clock.now) {
            return self.resolve(request_id, Outcome::Unavailable);
        }
        self.await_confirmation(clock, request_id);
    }

    fn await_confirmation(&mut self, clock: Clock, request_id: RequestId) {
        let index = self.durable.version_index;
        self.pending_requests.push(PendingRequest::Confirmation { request_id, index, requested_at: clock.now });
        self.send_heartbeats(clock);
        self.resolve_pending(clock.now);
    }

    /// Continues after the sync of a proposed change; a request whose change did not fit on the disk fails.
    pub(super) fn after_change_saved(&mut self, clock: Clock, request_id: RequestId, synced: bool) {
        if !synced {
            self.resolve(request_id, Outcome::DiskFull);
            // A leader that cannot store new images should not lead.
            return self.transfer_leadership(clock);
        }
        let index = self.durable.version_index;
        self.record_uncommitted();
        if let Some(image) = self.uncommitted.get(&index).cloned() {
            self.pending_requests.push(PendingRequest::Commit { request_id, index, image });
        }
        self.send_heartbeats(clock);
        self.advance_commit(clock);
    }
}

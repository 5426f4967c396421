//! Replication of the image: heartbeats, acknowledgements, commitment, and the callers who wait for it.

use std::{rc::Rc, time::Duration};

use wire::{Heartbeat, HeartbeatAck, Image};

use super::{
    core::{AfterSave, Core, Role, Waiting},
    quorum,
    types::{Change, Clock, Effect, InheritedLeases, Message, Outcome, Ticket},
};
use crate::store::{DurableState, Version};

impl Core {
    /// The state with the next image of this term.
    pub(super) fn next_version(&self, image: Rc<Image>) -> DurableState {
        let mut next = DurableState::clone(&self.durable);
        next.version_term = next.term;
        next.version_index += 1;
        next.image = Some(image);
        next
    }

    /// Notes the newest image as one that is to be committed.
    pub(super) fn note_uncommitted(&mut self) {
        if let Some(image) = &self.durable.image {
            self.uncommitted.insert(self.durable.version_index, image.clone());
        }
    }

    /// What the leader does at each heartbeat.
    pub(super) fn lead_on(&mut self, clock: Clock) {
        if !self.change_membership(clock.now) {
            self.send_heartbeats(clock);
        }
    }

    /// Goes on after an image was synced that no caller waits for.
    pub(super) fn image_saved(&mut self, clock: Clock, synced: bool) {
        if !synced {
            return self.transfer_leadership(clock);
        }
        self.note_uncommitted();
        self.send_heartbeats(clock);
        self.advance_commit(clock);
    }

    /// Sends a heartbeat to each connected control node, and beside it the image to whoever lacks it.
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
            peer.note_sent(nonce, clock.now);
            connected.push(name.clone());
        }
        for to in connected {
            self.effect(Effect::Send { to, message: Message::Heartbeat(Box::new(heartbeat.clone())) });
        }
        self.send_images(clock);
    }

    /// Follows the sender, if its term is not older, and syncs what it brought.
    pub(super) fn on_heartbeat(&mut self, clock: Clock, from: &str, mut heartbeat: Heartbeat) {
        let term = self.durable.term;
        if heartbeat.transfer {
            return self.on_transfer(clock, from, heartbeat);
        }
        if heartbeat.term < term || (heartbeat.term == term && self.role == Role::Leader) {
            return self.acknowledge(heartbeat.nonce, false);
        }
        if heartbeat.term > term || self.role != Role::Follower || self.leader != from {
            self.follow(from);
        }
        self.leader_heard = clock.now;
        if !self.followed.contains(from) {
            self.followed.insert(from.into());
        }
        let image = self.image_brought(&mut heartbeat);
        if heartbeat.term == term && image.is_none() {
            self.renew_hold(clock);
            return self.acknowledge(heartbeat.nonce, true);
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

    pub(super) fn acceptance_saved(&mut self, clock: Clock, nonce: u64, synced: bool) {
        self.renew_hold(clock);
        self.acknowledge(nonce, synced);
    }

    fn acknowledge(&mut self, nonce: u64, accepted: bool) {
        let version = self.version();
        self.effect(Effect::Reply(Message::HeartbeatAck(HeartbeatAck {
            term: self.durable.term,
            nonce,
            version_term: version.term,
            version_index: version.index,
            incarnation: self.durable.incarnation,
            empty: self.durable.empty(),
            accepted,
            leaving: self.leaving,
        })));
    }

    /// The leader of this term stepped down and hands over to this node.
    fn on_transfer(&mut self, clock: Clock, from: &str, heartbeat: Heartbeat) {
        if heartbeat.term != self.durable.term || self.durable.empty() {
            return;
        }
        self.log(format!("{from} hands over leadership"));
        self.inherited = Some(InheritedLeases { term: heartbeat.term, at: clock.now, leases: heartbeat.leases });
        self.campaign(clock, true);
    }

    /// Takes in what another control node has synced.
    pub(super) fn on_acknowledgement(&mut self, clock: Clock, from: &str, ack: HeartbeatAck) {
        let term = self.durable.term;
        let leading = self.role == Role::Leader;
        let Some(peer) = self.peers.get_mut(from) else { return };
        if peer.incarnation != ack.incarnation {
            peer.last_ack = None;
        }
        peer.incarnation = ack.incarnation;
        peer.empty = ack.empty;
        peer.leaving = ack.leaving;
        self.newest_term_heard = self.newest_term_heard.max(ack.term);
        if ack.term > term {
            return self.follow("");
        }
        if !leading || ack.term != term {
            return;
        }
        let sent = peer.sent.iter().find(|s| s.0 == ack.nonce).map(|s| s.1);
        if let (true, Some(sent)) = (ack.accepted, sent) {
            let version = Version { term: ack.version_term, index: ack.version_index };
            peer.version = peer.version.max(Some(version));
            peer.last_ack = peer.last_ack.max(Some(sent));
            // The answer to an image tells whether it was taken in; one that did not fit is sent again, whole if need be.
            if peer.image_sent.is_some_and(|sent| sent.nonce == ack.nonce || Some(sent.version) <= peer.version) {
                peer.image_sent = None;
            }
            self.send_image(clock, from);
        }
        self.advance_commit(clock);
        self.effect(Effect::Changed);
    }

    /// Notes what now lies on a quorum of disks, and tells those who wait for it.
    pub(super) fn advance_commit(&mut self, clock: Clock) {
        if self.role != Role::Leader {
            return;
        }
        let reached = self.uncommitted.keys().rev().copied().find(|index| self.on_quorum(*index));
        if let Some(index) = reached
            && let Some(image) = self.uncommitted.remove(&index)
        {
            self.uncommitted = self.uncommitted.split_off(&index);
            self.committed = Some((index, image));
            self.effect(Effect::Changed);
        }
        self.tell_waiting(clock.now);
    }

    /// Whether the image with this index of this term lies on a quorum of disks. The newest image says which these are:
    /// one that changes the membership counts by both sides as soon as it is written.
    fn on_quorum(&self, index: u64) -> bool {
        let Some(image) = &self.durable.image else { return false };
        let version = Version { term: self.durable.term, index };
        quorum::has_quorum(image, |m| {
            self.member_passes(m, true, |p| p.version.is_some_and(|held| held.term == version.term && held >= version))
        })
    }

    fn tell_waiting(&mut self, now: Duration) {
        let Some((committed, image)) = self.committed.clone() else { return };
        let contact = self.quorum_contact(now);
        let early = self.guards.early_verdict;
        for waiting in std::mem::take(&mut self.waiting) {
            match waiting {
                // Each hears of its own change, though a later one may have been committed with it.
                Waiting::Commit { ticket, index, image } if index <= committed => {
                    self.resolve(ticket, Outcome::Committed(image));
                }
                Waiting::Confirmation { ticket, index, asked }
                    if early || (index <= committed && contact.is_some_and(|t| t >= asked)) =>
                {
                    self.resolve(ticket, Outcome::Confirmed(image.clone()));
                }
                other => self.waiting.push(other),
            }
        }
    }

    /// A caller proposes a change of the newest image. Where nothing is to change, the caller hears of it once that
    /// image is committed and a quorum confirmed this leader after the call, so that no answer rests on what could be
    /// lost or on what a later leader replaced.
    pub(super) fn on_propose(&mut self, clock: Clock, ticket: Ticket, change: Change) {
        if self.leaving || !self.leads(clock.now) {
            return self.resolve(ticket, Outcome::Unavailable);
        }
        let Some(image) = &self.durable.image else { return self.resolve(ticket, Outcome::Unavailable) };
        match change(image) {
            Some(next) => {
                let next = self.next_version(Rc::new(next));
                self.save(next, AfterSave::AwaitCommit { ticket });
            }
            None => self.await_confirmation(clock, ticket),
        }
    }

    /// A caller asks for the newest committed image.
    pub(super) fn on_read(&mut self, clock: Clock, ticket: Ticket) {
        if !self.leads(clock.now) {
            return self.resolve(ticket, Outcome::Unavailable);
        }
        self.await_confirmation(clock, ticket);
    }

    fn await_confirmation(&mut self, clock: Clock, ticket: Ticket) {
        let index = self.durable.version_index;
        self.waiting.push(Waiting::Confirmation { ticket, index, asked: clock.now });
        self.send_heartbeats(clock);
        self.tell_waiting(clock.now);
    }

    pub(super) fn change_saved(&mut self, clock: Clock, ticket: Ticket, synced: bool) {
        if !synced {
            self.resolve(ticket, Outcome::DiskFull);
            // One that can take nothing new had better not lead.
            return self.transfer_leadership(clock);
        }
        let index = self.durable.version_index;
        self.note_uncommitted();
        if let Some(image) = self.uncommitted.get(&index).cloned() {
            self.waiting.push(Waiting::Commit { ticket, index, image });
        }
        self.send_heartbeats(clock);
        self.advance_commit(clock);
    }
}

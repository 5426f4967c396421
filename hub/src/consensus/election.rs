//! Elections: who votes for whom, and how a candidate becomes the leader.

use std::collections::BTreeSet;

use wire::{Heartbeat, VoteRequest, VoteResponse};

use super::{
    core::{AfterSave, Core, Role},
    quorum,
    types::{Clock, Effect, Message},
};
use crate::store::{DurableState, Version};

/// A candidate waits between one and two heartbeats for votes, in this many steps of chance.
const VOTE_WAIT_STEPS: u32 = 16;

/// For how many holds a node that handed leadership over leaves it to others.
const HANDED_OVER_HOLDS: u32 = 3;

impl Core {
    /// Asks to lead: first whether it would be elected, so that a node that is cut off raises no terms; at once after a
    /// transfer of leadership.
    pub(super) fn campaign(&mut self, clock: Clock, transfer: bool) {
        if self.leaving || !self.counts_itself() {
            return;
        }
        if transfer {
            self.stand(transfer);
        } else {
            let silent = clock.now.saturating_sub(self.leader_heard).as_millis();
            self.log(format!("asks for votes: nothing of {:?} for {silent} ms", self.leader));
            self.request_votes(clock, true, false);
        }
    }

    /// Votes for itself in the next term.
    fn stand(&mut self, transfer: bool) {
        let mut next = DurableState::clone(&self.durable);
        next.term = self.next_term();
        next.voted_for.clone_from(&self.identity.name);
        self.save(next, AfterSave::RequestVotes { transfer });
    }

    pub(super) fn request_votes(&mut self, clock: Clock, pre_vote: bool, transfer: bool) {
        let nonce = self.next_nonce();
        // Chance keeps two candidates from splitting the votes for ever.
        let step = clock.random as u32 % VOTE_WAIT_STEPS;
        let wait = self.timing.heartbeat + self.timing.heartbeat * step / VOTE_WAIT_STEPS;
        let granted = BTreeSet::from([self.identity.name.clone()]);
        self.role = Role::Candidate { pre_vote, transfer, nonce, since: clock.now, wait, granted };
        let version = self.version();
        let request = VoteRequest {
            term: if pre_vote { self.next_term() } else { self.durable.term },
            version_term: version.term,
            version_index: version.index,
            incarnation: self.durable.incarnation,
            transfer,
            pre_vote,
            nonce,
        };
        let connected: Vec<String> = self.peers.iter().filter(|p| p.1.connected).map(|p| p.0.clone()).collect();
        for to in connected {
            self.effect(Effect::Send { to, message: Message::VoteRequest(request.clone()) });
        }
        self.try_win();
    }

    fn next_term(&self) -> u64 {
        self.durable.term.max(self.newest_term_heard) + 1
    }

    /// Answers a candidate.
    pub(super) fn on_vote_request(&mut self, clock: Clock, from: &str, request: VoteRequest) {
        if !self.may_vote(clock, from, &request) {
            return self.answer_vote(request.nonce, false);
        }
        if request.pre_vote {
            return self.answer_vote(request.nonce, true);
        }
        if request.term > self.durable.term {
            self.follow("");
        }
        let mut next = DurableState::clone(&self.durable);
        next.term = request.term;
        next.voted_for = from.into();
        self.save(next, AfterSave::GrantVote { nonce: request.nonce });
    }

    fn may_vote(&self, clock: Clock, from: &str, request: &VoteRequest) -> bool {
        let holds = (clock.now < self.hold_until && !request.transfer) || self.leads(clock.now);
        let state = &self.durable;
        let free = request.term > state.term
            || (request.term == state.term && (state.voted_for.is_empty() || state.voted_for == from));
        let version = Version { term: request.version_term, index: request.version_index };
        let up_to_date = version >= self.version() || self.guards.vote_for_older;
        // A newer image may name members that this one does not; a candidate counts itself and its votes by its own.
        let has_newer_image = version > self.version();
        let known = state.image.is_none() || has_newer_image || self.counts(from, request.incarnation);
        !holds && free && up_to_date && known && !state.rescued
    }

    pub(super) fn vote_saved(&mut self, clock: Clock, nonce: u64, synced: bool) {
        self.renew_hold(clock);
        self.answer_vote(nonce, synced);
    }

    fn answer_vote(&mut self, nonce: u64, granted: bool) {
        self.effect(Effect::Reply(Message::VoteResponse(VoteResponse {
            term: self.durable.term,
            granted,
            incarnation: self.durable.incarnation,
            empty: self.durable.empty(),
            nonce,
        })));
    }

    /// Counts a vote.
    pub(super) fn on_vote_response(&mut self, from: &str, response: VoteResponse) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.incarnation = response.incarnation;
            peer.empty = response.empty;
        }
        self.newest_term_heard = self.newest_term_heard.max(response.term);
        let counts = response.granted && self.counts(from, response.incarnation);
        match &mut self.role {
            Role::Candidate { nonce, granted, .. } if *nonce == response.nonce && counts => {
                granted.insert(from.into());
            }
            _ => return,
        }
        self.try_win();
    }

    fn try_win(&mut self) {
        let Role::Candidate { pre_vote, transfer, granted, .. } = &self.role else { return };
        let (pre_vote, transfer) = (*pre_vote, *transfer);
        let Some(image) = &self.durable.image else { return };
        let voted = |name: &str| granted.contains(name);
        let won = quorum::has_quorum(image, |m| self.member_passes(m, true, |_| voted(&m.name)));
        if !won {
            return;
        }
        if pre_vote {
            self.stand(transfer);
        } else {
            self.begin_term();
        }
    }

    /// Begins to lead: the newest image is written again under the own term.
    pub(super) fn begin_term(&mut self) {
        let image = self.durable.image.clone().unwrap_or_default();
        let next = self.next_version(image);
        self.save(next, AfterSave::BeginTerm);
    }

    pub(super) fn term_begun(&mut self, clock: Clock, synced: bool) {
        if !synced {
            return self.follow("");
        }
        self.role = Role::Leader;
        self.leading_since = clock.now;
        self.committed = None;
        self.uncommitted.clear();
        for peer in self.peers.values_mut() {
            peer.last_ack = None;
            peer.version = None;
            peer.image_sent = None;
            peer.sent.clear();
        }
        self.note_uncommitted();
        self.log(format!("leading in term {}", self.durable.term));
        self.send_heartbeats(clock);
        self.advance_commit(clock);
    }

    /// Steps down and hands leadership to a member that has everything, if one is connected.
    pub(super) fn transfer_leadership(&mut self, clock: Clock) {
        let (term, version) = (self.durable.term, self.version());
        let level = |(name, peer): &(&String, &super::core::Peer)| {
            peer.connected && !peer.leaving && peer.version == Some(version) && self.counts(name, peer.incarnation)
        };
        let successor = self.peers.iter().find(level).map(|(name, _)| name.clone());
        self.follow("");
        self.campaign_after = clock.now + self.timing.hold * HANDED_OVER_HOLDS;
        let Some(to) = successor else { return };
        self.log(format!("leadership goes to {to}"));
        let message = Heartbeat { term, transfer: true, ..Heartbeat::default() };
        self.effect(Effect::Send { to, message: Message::Heartbeat(Box::new(message)) });
    }
}

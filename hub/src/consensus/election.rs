//! Elections: pre-votes, votes, the start of a term, and the transfer of leadership.

use std::collections::BTreeSet;

use wire::{Heartbeat, VoteRequest, VoteResponse};

use super::{
    core::{AfterSave, Core, Role},
    quorum,
    types::{Clock, Effect, Message},
};
use crate::store::{DurableState, Version};

/// A candidate waits one to two heartbeat intervals for votes; the random part is a multiple of 1/16 of an interval.
const VOTE_WAIT_STEPS: u32 = 16;

/// Hold times for which a node that transferred leadership starts no election.
const CAMPAIGN_PAUSE_HOLDS: u32 = 3;

impl Core {
    /// Starts an election, if this node is a member and not leaving. It begins with a pre-vote, so that a partitioned
    /// node raises no terms; after a transfer of leadership the vote starts immediately.
    pub(super) fn campaign(&mut self, clock: Clock, transfer: bool) {
        if self.leaving || !self.is_itself_member() {
            return;
        }
        if transfer {
            self.start_candidacy(transfer);
        } else {
            let silence_ms = clock.now.saturating_sub(self.last_leader_contact).as_millis();
            self.log(format!(
                "starting a pre-vote: leader {:?} has been silent for {silence_ms} ms; nothing received since",
                self.leader
            ));
            self.request_votes(clock, true, false);
        }
    }

    /// Starts the next term as a candidate that votes for itself.
    fn start_candidacy(&mut self, transfer: bool) {
        let mut next = DurableState::clone(&self.durable);
        next.term = self.next_term();
        next.voted_for.clone_from(&self.identity.name);
        self.save(next, AfterSave::RequestVotes { transfer });
    }

    /// Becomes a candidate and requests votes or pre-votes from all connected control nodes.
    pub(super) fn request_votes(&mut self, clock: Clock, pre_vote: bool, transfer: bool) {
        let nonce = self.next_nonce();
        // The random part keeps two candidates from splitting the votes again and again.
        let random_step = clock.random as u32 % VOTE_WAIT_STEPS;
        let vote_timeout = self.timing.heartbeat + self.timing.heartbeat * random_step / VOTE_WAIT_STEPS;
        let granted_by = BTreeSet::from([self.identity.name.clone()]);
        self.role = Role::Candidate { pre_vote, transfer, nonce, started_at: clock.now, vote_timeout, granted_by };
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
        self.effect(Effect::Send { to: connected, message: Message::VoteRequest(request) });
        self.check_votes();
    }

    fn next_term(&self) -> u64 {
        self.durable.term.max(self.highest_term_seen) + 1
    }

    /// Handles a vote or pre-vote request; a granted vote is synced before it is sent.
    pub(super) fn on_vote_request(&mut self, clock: Clock, from: &str, request: VoteRequest) {
        if !self.can_grant_vote(clock, from, &request) {
            return self.respond_to_vote(request.nonce, false);
        }
        if request.pre_vote {
            return self.respond_to_vote(request.nonce, true);
        }
        if request.term > self.durable.term {
            self.follow("");
        }
        let mut next = DurableState::clone(&self.durable);
        next.term = request.term;
        next.voted_for = from.into();
        self.save(next, AfterSave::GrantVote { nonce: request.nonce });
    }

    fn can_grant_vote(&self, clock: Clock, from: &str, request: &VoteRequest) -> bool {
        let must_hold = (clock.now < self.hold_until && !request.transfer) || self.leads_with_lease(clock.now);
        let state = &self.durable;
        let vote_available = request.term > state.term
            || (request.term == state.term && (state.voted_for.is_empty() || state.voted_for == from));
        let version = Version { term: request.version_term, index: request.version_index };
        let up_to_date = version >= self.version() || self.guards.vote_for_older;
        // A newer image may name members that this node's image does not; the candidate counts its votes by its own
        // image.
        let has_newer_image = version > self.version();
        let is_known_member =
            state.image.is_none() || has_newer_image || self.is_current_member(from, request.incarnation);
        !must_hold && vote_available && up_to_date && is_known_member && !state.rescued
    }

    /// Responds to a vote request after the sync; the vote is granted only if the sync succeeded.
    pub(super) fn after_vote_saved(&mut self, clock: Clock, nonce: u64, synced: bool) {
        self.renew_hold(clock);
        self.respond_to_vote(nonce, synced);
    }

    fn respond_to_vote(&mut self, nonce: u64, granted: bool) {
        self.effect(Effect::Reply(Message::VoteResponse(VoteResponse {
            term: self.durable.term,
            granted,
            incarnation: self.durable.incarnation,
            has_no_image: self.durable.has_no_image(),
            nonce,
        })));
    }

    /// Counts a vote or pre-vote for the election in progress.
    pub(super) fn on_vote_response(&mut self, from: &str, response: VoteResponse) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.incarnation = response.incarnation;
            peer.has_no_image = response.has_no_image;
        }
        self.highest_term_seen = self.highest_term_seen.max(response.term);
        let is_valid_vote = response.granted && self.is_current_member(from, response.incarnation);
        match &mut self.role {
            Role::Candidate { nonce, granted_by, .. } if *nonce == response.nonce && is_valid_vote => {
                granted_by.insert(from.into());
            }
            _ => return,
        }
        self.check_votes();
    }

    fn check_votes(&mut self) {
        let Role::Candidate { pre_vote, transfer, granted_by, .. } = &self.role else { return };
        let (pre_vote, transfer) = (*pre_vote, *transfer);
        let Some(image) = &self.durable.image else { return };
        let voted = |name: &str| granted_by.contains(name);
        let won = quorum::has_quorum(image, |m| self.member_satisfies(m, true, |_| voted(&m.name)));
        if !won {
            return;
        }
        if pre_vote {
            self.start_candidacy(transfer);
        } else {
            self.begin_term();
        }
    }

    /// Starts leading: saves the newest image again under this node's term, so that it can be committed in this term.
    pub(super) fn begin_term(&mut self) {
        let image = self.durable.image.clone().unwrap_or_default();
        let next = self.next_version(image);
        self.save(next, AfterSave::BeginTerm);
    }

    /// Takes the leader role once the first image of the term is synced.
    pub(super) fn after_term_saved(&mut self, clock: Clock, synced: bool) {
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
            peer.image_in_flight = None;
            peer.sent_heartbeats.clear();
        }
        self.record_uncommitted();
        self.log(format!("leading in term {}, version {}", self.durable.term, build_info::BUILD));
        self.send_heartbeats(clock);
        self.advance_commit(clock);
    }

    /// Steps down and transfers leadership to a connected member that has the newest image, if there is one.
    pub(super) fn transfer_leadership(&mut self, clock: Clock) {
        let (term, version) = (self.durable.term, self.version());
        let is_up_to_date = |(name, peer): &(&String, &super::core::Peer)| {
            peer.connected
                && !peer.leaving
                && peer.version == Some(version)
                && self.is_current_member(name, peer.incarnation)
        };
        let successor = self.peers.iter().find(is_up_to_date).map(|(name, _)| name.clone());
        self.follow("");
        self.no_campaign_before = clock.now + self.timing.hold * CAMPAIGN_PAUSE_HOLDS;
        let Some(to) = successor else { return };
        self.log(format!("transferring leadership to {to}"));
        let message = Heartbeat { term, transfer: true, ..Heartbeat::default() };
        self.effect(Effect::Send { to: vec![to], message: Message::Heartbeat(Box::new(message)) });
    }
}

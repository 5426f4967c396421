//! The state machine of the consensus on one control node: inputs go in, states to sync and effects come out.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
    time::Duration,
};

use wire::{Image, Member};

use super::{
    images::{RecentImages, SentImage},
    quorum,
    types::{
        Clock, DisabledConsensusGuards, Effect, Identity, InheritedLeases, Input, Message, Outcome, PeerHello,
        RequestId, Timing,
    },
};
use crate::store::{DurableState, Version};

/// Number of heartbeats to one node whose sending times are kept; an acknowledgement of an older one proves no contact.
const MAX_SENT_HEARTBEATS: usize = 64;

/// The role of a control node in its term.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Role {
    Follower,
    /// Requests votes, or pre-votes, for `vote_timeout`; `granted_by` names the control nodes that granted one.
    /// `transfer` is set if the former leader transferred leadership to this node.
    Candidate {
        pre_vote: bool,
        transfer: bool,
        nonce: u64,
        started_at: Duration,
        vote_timeout: Duration,
        granted_by: BTreeSet<String>,
    },
    Leader,
}

/// State kept about another control node.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub incarnation: u64,
    pub has_no_image: bool,
    pub rescued: bool,
    pub may_form: bool,
    pub address: String,
    pub zone: String,
    pub connected: bool,
    /// It reported that its process is about to end.
    pub leaving: bool,
    /// It accepts image deltas in place of whole images.
    pub accepts_deltas: bool,
    /// Version of the newest image that it acknowledged to this leader; `None` before its first acknowledgement.
    pub version: Option<Version>,
    /// Sending time of the newest heartbeat that it acknowledged to this leader.
    pub last_ack: Option<Duration>,
    /// The newest image sent to it.
    pub image_in_flight: Option<SentImage>,
    /// Nonce and sending time of the newest heartbeats sent to it.
    pub sent_heartbeats: VecDeque<(u64, Duration)>,
}

impl Peer {
    /// Records when a heartbeat was sent, so that its acknowledgement can be dated.
    pub(super) fn record_sent(&mut self, nonce: u64, now: Duration) {
        self.sent_heartbeats.push_back((nonce, now));
        if self.sent_heartbeats.len() > MAX_SENT_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
    }
}

/// A request that is not resolved yet.
#[derive(Clone, Debug)]
pub(super) enum PendingRequest {
    /// Resolved once the change with this index is committed.
    Commit { request_id: RequestId, index: u64, image: Rc<Image> },
    /// Resolved once the image with this index is committed and a quorum has confirmed leadership after `requested_at`.
    Confirmation { request_id: RequestId, index: u64, requested_at: Duration },
}

/// The step that follows once the state is synced.
#[derive(Clone, Debug)]
pub(super) enum AfterSave {
    GrantVote { nonce: u64 },
    AcknowledgeHeartbeat { nonce: u64 },
    RequestVotes { transfer: bool },
    BeginTerm,
    AwaitCommit { request_id: RequestId },
    Replicate,
}

/// The consensus state machine of one control node, without any I/O.
#[derive(Clone, Debug)]
pub struct Core {
    pub(super) identity: Identity,
    pub(super) timing: Timing,
    pub(super) guards: DisabledConsensusGuards,
    /// The number of members to reach and keep.
    pub(super) target_members: usize,
    pub(super) durable: Rc<DurableState>,
    pub(super) role: Role,
    /// Name of the leader that this node follows; empty if none is known.
    pub(super) leader: String,
    /// Until this time the node votes for no candidate, unless its leader transferred leadership to that candidate.
    pub(super) hold_until: Duration,
    /// When this node last accepted a heartbeat of the leader that it follows.
    pub(super) last_leader_contact: Duration,
    /// Names of all control nodes that this node has followed since its process started.
    pub(super) followed_leaders: BTreeSet<String>,
    /// This node starts no election before this time, because it transferred leadership.
    pub(super) no_campaign_before: Duration,
    pub(super) leading_since: Duration,
    pub(super) leaving: bool,
    pub(super) peers: BTreeMap<String, Peer>,
    pub(super) nonce: u64,
    /// The highest term that any response reported. A candidate uses a higher one: in a lower term, a node that already
    /// voted for another candidate could neither vote nor be elected.
    pub(super) highest_term_seen: u64,
    /// The newest images of this node, from which deltas are computed.
    pub(super) recent_images: RecentImages,
    /// Images of this term that are not yet on a quorum of disks, by index.
    pub(super) uncommitted: BTreeMap<u64, Rc<Image>>,
    /// The newest image of this term that is on a quorum of disks, with its index.
    pub(super) committed: Option<(u64, Rc<Image>)>,
    pub(super) pending_requests: Vec<PendingRequest>,
    pub(super) inherited_leases: Option<InheritedLeases>,
    pending_save: Option<(Rc<DurableState>, AfterSave)>,
    effects: Vec<Effect>,
}

impl Core {
    /// Creates the state machine from the state on disk. It cannot know which heartbeats it acknowledged before a
    /// restart, so it grants no vote for one hold time from now; a leader may still rely on such an acknowledgement.
    pub fn new(
        identity: Identity,
        timing: Timing,
        target_members: usize,
        durable: DurableState,
        guards: DisabledConsensusGuards,
        now: Duration,
    ) -> Self {
        let mut core = Self {
            identity,
            timing,
            guards,
            target_members,
            durable: Rc::new(durable),
            role: Role::Follower,
            leader: String::new(),
            hold_until: now + timing.hold,
            last_leader_contact: now,
            followed_leaders: BTreeSet::new(),
            no_campaign_before: Duration::ZERO,
            leading_since: Duration::ZERO,
            leaving: false,
            peers: BTreeMap::new(),
            nonce: 0,
            highest_term_seen: 0,
            recent_images: RecentImages::default(),
            uncommitted: BTreeMap::new(),
            committed: None,
            pending_requests: Vec::new(),
            inherited_leases: None,
            pending_save: None,
            effects: Vec::new(),
        };
        core.record_image();
        core
    }

    /// Processes one input. A returned state must be synced before any other call, and the result passed to
    /// [`Core::saved`].
    pub fn handle(&mut self, clock: Clock, input: Input) -> Option<Rc<DurableState>> {
        debug_assert!(self.pending_save.is_none(), "the previous state must be saved before the next input");
        match input {
            Input::Connected(hello) => self.on_connected(hello),
            Input::Disconnected(name) => self.on_disconnected(&name),
            Input::Message { from, message } => self.on_message(clock, &from, message),
            Input::Propose { request_id, change } => self.on_propose(clock, request_id, change),
            Input::Read { request_id } => self.on_read(clock, request_id),
            Input::Tick => self.on_tick(clock),
            Input::Leave => self.on_leave(clock),
        }
        self.state_to_save()
    }

    /// Continues after the sync; `synced` is `false` if the disk was full, and then the previous state is still in
    /// force.
    pub fn saved(&mut self, clock: Clock, synced: bool) -> Option<Rc<DurableState>> {
        let (state, next_step) = self.pending_save.take()?;
        if synced {
            self.durable = state;
            self.record_image();
        }
        match next_step {
            AfterSave::GrantVote { nonce } => self.after_vote_saved(clock, nonce, synced),
            AfterSave::AcknowledgeHeartbeat { nonce } => self.after_acceptance_saved(clock, nonce, synced),
            AfterSave::RequestVotes { transfer } if synced => self.request_votes(clock, false, transfer),
            AfterSave::RequestVotes { .. } => {}
            AfterSave::BeginTerm => self.after_term_saved(clock, synced),
            AfterSave::AwaitCommit { request_id } => self.after_change_saved(clock, request_id, synced),
            AfterSave::Replicate => self.after_image_saved(clock, synced),
        }
        self.state_to_save()
    }

    /// Takes the effects collected since the last call; they may be executed only once nothing is left to sync.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Records the newest image, so that deltas from it can be sent.
    fn record_image(&mut self) {
        if let Some(image) = &self.durable.image {
            self.recent_images.record(self.durable.version(), image);
        }
    }

    fn state_to_save(&self) -> Option<Rc<DurableState>> {
        self.pending_save.as_ref().map(|p| p.0.clone())
    }

    pub(super) fn save(&mut self, state: DurableState, next_step: AfterSave) {
        self.pending_save = Some((Rc::new(state), next_step));
    }

    pub(super) fn effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(super) fn log(&mut self, text: impl Into<String>) {
        self.effect(Effect::Log(text.into()));
    }

    pub(super) fn resolve(&mut self, request_id: RequestId, outcome: Outcome) {
        self.effect(Effect::Resolve { request_id, outcome });
    }

    fn on_connected(&mut self, hello: PeerHello) {
        if hello.name == self.identity.name {
            return;
        }
        let peer = self.peers.entry(hello.name).or_default();
        if peer.incarnation != hello.incarnation {
            peer.last_ack = None;
        }
        *peer = Peer {
            incarnation: hello.incarnation,
            has_no_image: hello.has_no_image,
            rescued: hello.rescued,
            accepts_deltas: hello.accepts_deltas,
            may_form: hello.may_form,
            address: hello.address,
            zone: hello.zone,
            connected: true,
            leaving: false,
            version: None,
            last_ack: peer.last_ack,
            image_in_flight: None,
            sent_heartbeats: VecDeque::new(),
        };
    }

    fn on_disconnected(&mut self, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.connected = false;
        }
    }

    fn on_message(&mut self, clock: Clock, from: &str, message: Message) {
        match message {
            Message::VoteRequest(m) => self.on_vote_request(clock, from, m),
            Message::VoteResponse(m) => self.on_vote_response(from, m),
            Message::Heartbeat(m) => self.on_heartbeat(clock, from, *m),
            Message::HeartbeatAck(m) => self.on_ack(clock, from, m),
        }
    }

    fn on_tick(&mut self, clock: Clock) {
        match &self.role {
            Role::Leader if self.quorum_lost(clock.now) => {
                // Its messages may still arrive although no acknowledgement reaches it; a successor that receives the
                // transfer need not wait for the hold to end.
                self.log("no quorum acknowledges heartbeats; stepping down");
                self.transfer_leadership(clock);
            }
            Role::Leader => self.on_leader_tick(clock),
            _ if self.durable.has_no_image() => self.try_form(),
            Role::Follower if clock.now >= self.hold_until.max(self.no_campaign_before) => self.campaign(clock, false),
            Role::Candidate { started_at, vote_timeout, .. } if clock.now >= *started_at + *vote_timeout => {
                self.campaign(clock, false)
            }
            _ => {}
        }
        if self.role == Role::Leader {
            // The leader lease may have expired since the last tick.
            self.effect(Effect::Changed);
        }
    }

    fn on_leave(&mut self, clock: Clock) {
        self.leaving = true;
        if self.role == Role::Leader {
            self.transfer_leadership(clock);
        }
        self.effect(Effect::Changed);
    }

    /// Gives up leadership or candidacy and follows `leader`; empty if no leader is known.
    pub(super) fn follow(&mut self, leader: &str) {
        let was_leader = self.role == Role::Leader;
        self.role = Role::Follower;
        self.leader = leader.into();
        self.committed = None;
        self.uncommitted.clear();
        for request in std::mem::take(&mut self.pending_requests) {
            match request {
                PendingRequest::Commit { request_id, .. } => self.resolve(request_id, Outcome::Unknown),
                PendingRequest::Confirmation { request_id, .. } => self.resolve(request_id, Outcome::Unavailable),
            }
        }
        if was_leader {
            self.log("no longer leading");
            self.effect(Effect::Changed);
        }
    }

    /// Grants no vote for one hold time from now. A random part of up to one heartbeat interval keeps two nodes from
    /// starting elections at the same moment afterwards.
    pub(super) fn renew_hold(&mut self, clock: Clock) {
        let jitter = Duration::from_millis(clock.random % (self.timing.heartbeat.as_millis() as u64).max(1));
        self.hold_until = clock.now + self.timing.hold + jitter;
    }

    pub(super) fn next_nonce(&mut self) -> u64 {
        self.nonce += 1;
        self.nonce
    }

    /// Version of this node's newest image.
    pub(super) fn version(&self) -> Version {
        self.durable.version()
    }

    /// Whether a disk with this incarnation belongs to a member according to the newest image.
    pub(super) fn is_current_member(&self, name: &str, incarnation: u64) -> bool {
        let Some(image) = &self.durable.image else { return false };
        if self.guards.any_incarnation {
            return image.members.iter().any(|m| m.name == name);
        }
        quorum::is_member(image, name, incarnation)
    }

    pub(super) fn is_itself_member(&self) -> bool {
        self.is_current_member(&self.identity.name, self.durable.incarnation)
    }

    /// Whether a member satisfies a predicate; `false` if its node now has a disk of another incarnation.
    /// `own` is the result for this node itself.
    pub(super) fn member_satisfies(
        &self,
        member: &Member,
        self_satisfies: bool,
        predicate: impl Fn(&Peer) -> bool,
    ) -> bool {
        let same_incarnation = |incarnation: u64| incarnation == member.incarnation || self.guards.any_incarnation;
        if member.name == self.identity.name {
            return self_satisfies && same_incarnation(self.durable.incarnation);
        }
        self.peers.get(&member.name).is_some_and(|p| same_incarnation(p.incarnation) && predicate(p))
    }

    /// The latest time at which a quorum is known to have followed this leader: acknowledged heartbeats count from when
    /// they were sent.
    pub(super) fn quorum_contact(&self, now: Duration) -> Option<Duration> {
        let image = self.durable.image.as_ref()?;
        quorum::latest_quorum_time(image, |member| {
            if member.name == self.identity.name {
                return self.member_satisfies(member, true, |_| false).then_some(now);
            }
            let peer = self.peers.get(&member.name)?;
            self.member_satisfies(member, false, |_| true).then_some(peer.last_ack).flatten()
        })
    }

    fn quorum_lost(&self, now: Duration) -> bool {
        let contact = self.quorum_contact(now).unwrap_or_default().max(self.leading_since);
        now > contact + self.timing.quorum_timeout && !self.guards.no_lease
    }

    /// Whether this node is the leader with a valid lease: an image of its term is committed, and a quorum acknowledged
    /// a heartbeat that was sent within the leader lease.
    pub fn leads_with_lease(&self, now: Duration) -> bool {
        let in_lease = |t: Duration| now < t + self.timing.lease;
        self.role == Role::Leader
            && self.committed.is_some()
            && (self.guards.no_lease || self.quorum_contact(now).is_some_and(in_lease))
    }

    /// The newest image known to be on a quorum of disks; `None` unless this node leads.
    pub fn committed_image(&self) -> Option<Rc<Image>> {
        self.committed.as_ref().map(|c| c.1.clone())
    }

    /// Version of the newest image known to be on a quorum of disks; `None` unless this node leads.
    pub fn committed_version(&self) -> Option<Version> {
        self.committed.as_ref().map(|c| Version { term: self.durable.term, index: c.0 })
    }

    /// The state on this node's disk.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// The term of this node, and the time since which it leads (if it leads).
    pub fn term(&self) -> (u64, Duration) {
        (self.durable.term, self.leading_since)
    }

    /// Whether this node has the leader role, with or without a valid lease.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Whether this node sends messages that the other control nodes respond to.
    pub fn expects_responses(&self) -> bool {
        self.role != Role::Follower
    }

    /// Name of the leader known to this node; empty if none is known.
    pub fn leader(&self) -> &str {
        if self.is_leader() { &self.identity.name } else { &self.leader }
    }

    /// The outstanding leases that the leader of the previous term reported to this node with a leadership transfer;
    /// `None` if there was no transfer or another term came between.
    pub fn inherited_leases(&self) -> Option<&InheritedLeases> {
        self.inherited_leases.as_ref().filter(|i| i.term + 1 == self.durable.term)
    }

    /// Whether a former leader that this node followed is connected and acknowledges this leader's heartbeats.
    pub fn former_leader_follows(&self) -> bool {
        let is_following = |name: &String| self.peers.get(name).is_some_and(|p| p.connected && p.last_ack.is_some());
        self.followed_leaders.iter().any(is_following)
    }

    /// Whether this node is leaving and no replacement for its membership can be awaited any more.
    pub fn can_shut_down(&self) -> bool {
        self.leaving && !self.awaits_replacement()
    }

    /// Whether this node is still a member and a connected control node that is no member could replace it.
    fn awaits_replacement(&self) -> bool {
        let is_replacement =
            |(name, peer): (&String, &Peer)| peer.connected && !self.is_current_member(name, peer.incarnation);
        self.is_itself_member() && self.peers.iter().any(is_replacement)
    }
}

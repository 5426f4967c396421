//! The state of a control node in the consensus, and how its steps are taken.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
    time::Duration,
};

use wire::{Image, Member};

use super::{
    images::{RecentImages, SentImage},
    quorum,
    types::{Clock, Effect, Guards, Identity, InheritedLeases, Input, Message, Outcome, PeerHello, Ticket, Timing},
};
use crate::store::{DurableState, Version};

/// How many heartbeats to one node may be unanswered before the oldest is forgotten.
const HEARTBEATS_IN_FLIGHT: usize = 64;

/// What a control node does in its term.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Role {
    Follower,
    Candidate { pre_vote: bool, transfer: bool, nonce: u64, since: Duration, wait: Duration, granted: BTreeSet<String> },
    Leader,
}

/// What is known of another control node.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub incarnation: u64,
    pub empty: bool,
    pub rescued: bool,
    pub may_form: bool,
    pub address: String,
    pub zone: String,
    pub connected: bool,
    /// It said that it is about to end.
    pub leaving: bool,
    /// It takes changes of the image in place of whole ones.
    pub takes_deltas: bool,
    /// The newest image that it acknowledged to this leader; unknown before its first answer.
    pub version: Option<Version>,
    /// When the newest heartbeat was sent that it acknowledged to this leader.
    pub last_ack: Option<Duration>,
    /// The newest image that was sent to it.
    pub image_sent: Option<SentImage>,
    /// When the newest heartbeats were sent, by nonce.
    pub sent: VecDeque<(u64, Duration)>,
}

impl Peer {
    pub(super) fn note_sent(&mut self, nonce: u64, now: Duration) {
        self.sent.push_back((nonce, now));
        if self.sent.len() > HEARTBEATS_IN_FLIGHT {
            self.sent.pop_front();
        }
    }
}

/// A caller that waits.
#[derive(Clone, Debug)]
pub(super) enum Waiting {
    /// For a change to be committed under this index.
    Commit { ticket: Ticket, index: u64, image: Rc<Image> },
    /// For the image with this index to be committed and a quorum to confirm leadership after `asked`.
    Confirmation { ticket: Ticket, index: u64, asked: Duration },
}

/// What follows once the state is synced.
#[derive(Clone, Debug)]
pub(super) enum AfterSave {
    GrantVote { nonce: u64 },
    AcknowledgeHeartbeat { nonce: u64 },
    RequestVotes { transfer: bool },
    BeginTerm,
    AwaitCommit { ticket: Ticket },
    Replicate,
}

/// A control node's part in the consensus, without any I/O.
#[derive(Clone, Debug)]
pub struct Core {
    pub(super) identity: Identity,
    pub(super) timing: Timing,
    pub(super) guards: Guards,
    /// How many members there are to be.
    pub(super) target_members: usize,
    pub(super) durable: Rc<DurableState>,
    pub(super) role: Role,
    /// Whom this node follows; empty when it knows of none.
    pub(super) leader: String,
    /// Until when this node votes for nobody but the leader it follows.
    pub(super) hold_until: Duration,
    /// When a heartbeat of the leader that this node follows was last taken in.
    pub(super) leader_heard: Duration,
    /// The other control nodes that this node followed.
    pub(super) followed: BTreeSet<String>,
    /// Until when this node does not ask to lead, as it handed leadership over.
    pub(super) campaign_after: Duration,
    pub(super) leading_since: Duration,
    pub(super) leaving: bool,
    pub(super) peers: BTreeMap<String, Peer>,
    pub(super) nonce: u64,
    /// The newest term that any answer told of. A candidate asks in a newer one: in an older term, a node that already
    /// voted for another could neither vote nor be elected.
    pub(super) newest_term_heard: u64,
    /// The images that changes are told of.
    pub(super) recent: RecentImages,
    /// Images of this term that do not lie on a quorum of disks yet, by index.
    pub(super) uncommitted: BTreeMap<u64, Rc<Image>>,
    /// The newest image of this term that lies on a quorum of disks, and its index.
    pub(super) committed: Option<(u64, Rc<Image>)>,
    pub(super) waiting: Vec<Waiting>,
    pub(super) inherited: Option<InheritedLeases>,
    pending: Option<(Rc<DurableState>, AfterSave)>,
    effects: Vec<Effect>,
}

impl Core {
    /// A control node with what its disk holds. As it can't know what it promised before it ended, it holds to a
    /// possible leader for one hold from now.
    pub fn new(
        identity: Identity,
        timing: Timing,
        target_members: usize,
        durable: DurableState,
        guards: Guards,
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
            leader_heard: now,
            followed: BTreeSet::new(),
            campaign_after: Duration::ZERO,
            leading_since: Duration::ZERO,
            leaving: false,
            peers: BTreeMap::new(),
            nonce: 0,
            newest_term_heard: 0,
            recent: RecentImages::default(),
            uncommitted: BTreeMap::new(),
            committed: None,
            waiting: Vec::new(),
            inherited: None,
            pending: None,
            effects: Vec::new(),
        };
        core.note_image();
        core
    }

    /// Takes one input. A state that is returned must be synced before anything else, and [`Core::saved`] told.
    pub fn handle(&mut self, clock: Clock, input: Input) -> Option<Rc<DurableState>> {
        debug_assert!(self.pending.is_none(), "the step before is over");
        match input {
            Input::Connected(hello) => self.on_connected(hello),
            Input::Disconnected(name) => self.on_disconnected(&name),
            Input::Message { from, message } => self.on_message(clock, &from, message),
            Input::Propose { ticket, change } => self.on_propose(clock, ticket, change),
            Input::Read { ticket } => self.on_read(clock, ticket),
            Input::Tick => self.on_tick(clock),
            Input::Leave => self.on_leave(clock),
        }
        self.to_save()
    }

    /// Goes on once the state is synced; `false` when the disk had no room for it, and then what it held still stands.
    pub fn saved(&mut self, clock: Clock, synced: bool) -> Option<Rc<DurableState>> {
        let (state, then) = self.pending.take()?;
        if synced {
            self.durable = state;
            self.note_image();
        }
        match then {
            AfterSave::GrantVote { nonce } => self.vote_saved(clock, nonce, synced),
            AfterSave::AcknowledgeHeartbeat { nonce } => self.acceptance_saved(clock, nonce, synced),
            AfterSave::RequestVotes { transfer } if synced => self.request_votes(clock, false, transfer),
            AfterSave::RequestVotes { .. } => {}
            AfterSave::BeginTerm => self.term_begun(clock, synced),
            AfterSave::AwaitCommit { ticket } => self.change_saved(clock, ticket, synced),
            AfterSave::Replicate => self.image_saved(clock, synced),
        }
        self.to_save()
    }

    /// What the steps asked for since the last call; acted on once nothing is left to sync.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Remembers the newest image, so that changes of it can be told.
    fn note_image(&mut self) {
        if let Some(image) = &self.durable.image {
            self.recent.note(self.durable.version(), image);
        }
    }

    fn to_save(&self) -> Option<Rc<DurableState>> {
        self.pending.as_ref().map(|p| p.0.clone())
    }

    pub(super) fn save(&mut self, state: DurableState, then: AfterSave) {
        self.pending = Some((Rc::new(state), then));
    }

    pub(super) fn effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(super) fn log(&mut self, text: impl Into<String>) {
        self.effect(Effect::Log(text.into()));
    }

    pub(super) fn resolve(&mut self, ticket: Ticket, outcome: Outcome) {
        self.effect(Effect::Resolve { ticket, outcome });
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
            empty: hello.empty,
            rescued: hello.rescued,
            takes_deltas: hello.takes_deltas,
            may_form: hello.may_form,
            address: hello.address,
            zone: hello.zone,
            connected: true,
            leaving: false,
            version: None,
            last_ack: peer.last_ack,
            image_sent: None,
            sent: VecDeque::new(),
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
            Message::HeartbeatAck(m) => self.on_acknowledgement(clock, from, m),
        }
    }

    fn on_tick(&mut self, clock: Clock) {
        match &self.role {
            Role::Leader if self.quorum_lost(clock.now) => {
                // It may still be heard where it hears nobody: whoever hears it need not wait for silence.
                self.log("no quorum answers");
                self.transfer_leadership(clock);
            }
            Role::Leader => self.lead_on(clock),
            _ if self.durable.empty() => self.form(),
            Role::Follower if clock.now >= self.hold_until.max(self.campaign_after) => self.campaign(clock, false),
            Role::Candidate { since, wait, .. } if clock.now >= *since + *wait => self.campaign(clock, false),
            _ => {}
        }
        if self.role == Role::Leader {
            // The lease may have run out.
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

    /// Stops leading or asking, and follows a leader, if one is named.
    pub(super) fn follow(&mut self, leader: &str) {
        let led = self.role == Role::Leader;
        self.role = Role::Follower;
        self.leader = leader.into();
        self.committed = None;
        self.uncommitted.clear();
        for waiting in std::mem::take(&mut self.waiting) {
            match waiting {
                Waiting::Commit { ticket, .. } => self.resolve(ticket, Outcome::Unknown),
                Waiting::Confirmation { ticket, .. } => self.resolve(ticket, Outcome::Unavailable),
            }
        }
        if led {
            self.log("no longer leading");
            self.effect(Effect::Changed);
        }
    }

    /// Promises to vote for nobody else for a hold; a little chance keeps two nodes from asking at once afterwards.
    pub(super) fn renew_hold(&mut self, clock: Clock) {
        let spread = Duration::from_millis(clock.random % (self.timing.heartbeat.as_millis() as u64).max(1));
        self.hold_until = clock.now + self.timing.hold + spread;
    }

    pub(super) fn next_nonce(&mut self) -> u64 {
        self.nonce += 1;
        self.nonce
    }

    /// Where this node's image stands.
    pub(super) fn version(&self) -> Version {
        self.durable.version()
    }

    /// Whether a disk of this incarnation counts in the newest image.
    pub(super) fn counts(&self, name: &str, incarnation: u64) -> bool {
        let Some(image) = &self.durable.image else { return false };
        if self.guards.any_incarnation {
            return image.members.iter().any(|m| m.name == name);
        }
        quorum::is_member(image, name, incarnation)
    }

    pub(super) fn counts_itself(&self) -> bool {
        self.counts(&self.identity.name, self.durable.incarnation)
    }

    /// Whether a member passes a test, by what is known of the disk it names; `own` is this node's answer.
    pub(super) fn member_passes(&self, member: &Member, own: bool, test: impl Fn(&Peer) -> bool) -> bool {
        let same = |incarnation: u64| incarnation == member.incarnation || self.guards.any_incarnation;
        if member.name == self.identity.name {
            return own && same(self.durable.incarnation);
        }
        self.peers.get(&member.name).is_some_and(|p| same(p.incarnation) && test(p))
    }

    /// The latest moment since which a quorum is known to hold to this leader.
    pub(super) fn quorum_contact(&self, now: Duration) -> Option<Duration> {
        let image = self.durable.image.as_ref()?;
        quorum::quorum_moment(image, |member| {
            if member.name == self.identity.name {
                return self.member_passes(member, true, |_| false).then_some(now);
            }
            let peer = self.peers.get(&member.name)?;
            self.member_passes(member, false, |_| true).then_some(peer.last_ack).flatten()
        })
    }

    fn quorum_lost(&self, now: Duration) -> bool {
        let contact = self.quorum_contact(now).unwrap_or_default().max(self.leading_since);
        now > contact + self.timing.quorum_patience && !self.guards.no_lease
    }

    /// Whether this node leads for sure: its term is committed and a quorum was heard within the lease.
    pub fn leads(&self, now: Duration) -> bool {
        let in_lease = |t: Duration| now < t + self.timing.lease;
        self.role == Role::Leader
            && self.committed.is_some()
            && (self.guards.no_lease || self.quorum_contact(now).is_some_and(in_lease))
    }

    /// The newest image known to lie on a quorum of disks; only while leading.
    pub fn committed_image(&self) -> Option<Rc<Image>> {
        self.committed.as_ref().map(|c| c.1.clone())
    }

    /// Where the newest image stands that is known to lie on a quorum of disks; only while leading.
    pub fn committed_version(&self) -> Option<Version> {
        self.committed.as_ref().map(|c| Version { term: self.durable.term, index: c.0 })
    }

    /// What lies on this node's disk, or will once the present step is over.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// The newest term this node knows, and since when it leads it.
    pub fn term(&self) -> (u64, Duration) {
        (self.durable.term, self.leading_since)
    }

    /// Whether this node leads a term, for sure or not.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Whether this node asked others for something that they are to answer.
    pub fn awaits_answers(&self) -> bool {
        self.role != Role::Follower
    }

    /// Who leads, as far as this node knows.
    pub fn leader(&self) -> &str {
        if self.is_leader() { &self.identity.name } else { &self.leader }
    }

    /// What the leader of the term before left to this node, where it handed over and nobody led between.
    pub fn inherited_leases(&self) -> Option<&InheritedLeases> {
        self.inherited.as_ref().filter(|i| i.term + 1 == self.durable.term)
    }

    /// Whether a control node that led before is alive and follows this leader.
    pub fn earlier_leader_alive(&self) -> bool {
        let alive = |name: &String| self.peers.get(name).is_some_and(|p| p.connected && p.last_ack.is_some());
        self.followed.iter().any(alive)
    }

    /// Whether this node was told to leave and nothing more can be handed over.
    pub fn may_end(&self) -> bool {
        self.leaving && !self.awaits_replacement()
    }

    /// Whether it is still a member that another connected control node could replace.
    fn awaits_replacement(&self) -> bool {
        let spare = |(name, peer): (&String, &Peer)| peer.connected && !self.counts(name, peer.incarnation);
        self.counts_itself() && self.peers.iter().any(spare)
    }
}

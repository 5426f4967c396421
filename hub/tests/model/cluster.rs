//! A simulated cluster of control nodes for the model checker: the product's consensus core, disks, messages in flight,
//! and the results reported to operators. Nothing here waits: time advances only by explicit steps.

use std::{cell::Cell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use base::Bounds;
use hub::{
    consensus::{
        Clock, Core, DisabledConsensusGuards, Effect, Identity, Input, Message, PeerHello, RequestId, Timing,
        has_quorum,
    },
    store::{DurableState, Version},
};
use wire::{Frame, Image, Member, Message as _, Route};

use super::{
    monitor::{Monitor, OrderResult, Request},
    rng::Rng,
};

/// The result of syncing the next state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SyncResult {
    Synced,
    /// The machine loses power during the sync; `written` tells whether the state reached the disk.
    PowerLost {
        written: bool,
    },
}

/// A message in flight. It is lost if the sender's or the receiver's process ends, because that closes the link.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub from: usize,
    pub to: usize,
    pub message: Message,
    /// Runs of the sender's and the receiver's process when the message was sent.
    run_ids: (u64, u64),
}

/// One machine with its disk and its process.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    zone: String,
    address: SocketAddr,
    pub disk: DurableState,
    /// The running process; `None` while it is down.
    pub core: Option<Core>,
    /// Number of the current run of the process.
    run_id: u64,
    /// Its process was asked to leave and will be killed soon.
    pub leaving: bool,
    /// It was removed for good and can't be started again.
    pub removed: bool,
}

/// All machines and the messages between them.
#[derive(Clone)]
pub struct Cluster {
    pub nodes: Vec<Node>,
    pub messages: Vec<Envelope>,
    pub now: Duration,
    pub monitor: Monitor,
    /// Pairs of sender and receiver between which no message is delivered.
    pub blocked_paths: Vec<(usize, usize)>,
    pub guards: DisabledConsensusGuards,
    /// The machines that are named as seeds in the settings when a process starts.
    pub seeds: Vec<usize>,
    /// The number of messages sent that carry an image, whole or as a delta.
    pub images_sent: usize,
    /// The size of all messages sent, in bytes.
    pub bytes_sent: usize,
    /// Whether election timeouts have a random part; otherwise they are equal on all machines.
    pub random_timeouts: bool,
    last_request_id: RequestId,
    last_incarnation: u64,
    last_run_id: u64,
    target_members: usize,
    newest_committed: Version,
    rng: Rng,
}

/// The durations of the product with the default bounds.
pub fn timing() -> Timing {
    Timing::from_bounds(&Bounds::default())
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7440))
}

impl Cluster {
    /// Creates `count` empty machines and starts them for the first time; the first three are the seeds.
    pub fn new(count: usize, zones: usize, target_members: usize, guards: DisabledConsensusGuards) -> Self {
        let mut cluster = Self {
            nodes: Vec::new(),
            messages: Vec::new(),
            now: Duration::from_secs(1),
            monitor: Monitor::default(),
            blocked_paths: Vec::new(),
            guards,
            seeds: vec![0, 1, 2],
            images_sent: 0,
            bytes_sent: 0,
            random_timeouts: true,
            last_request_id: 0,
            last_incarnation: 0,
            last_run_id: 0,
            target_members,
            newest_committed: Version::default(),
            rng: Rng::new(1),
        };
        (0..count).for_each(|_| {
            cluster.add(zones, true);
        });
        cluster
    }

    /// Restarts the random numbers with another seed.
    pub fn reseed(&mut self, seed: u64) {
        self.rng = Rng::new(!seed);
    }

    /// Adds an empty machine and starts it.
    pub fn add(&mut self, zones: usize, first_start: bool) -> usize {
        let index = self.nodes.len();
        let node = Node {
            name: format!("h{index}"),
            zone: format!("z{}", index % zones),
            address: address(index),
            disk: DurableState::default(),
            core: None,
            run_id: 0,
            leaving: false,
            removed: false,
        };
        self.nodes.push(node);
        self.wipe(index);
        if first_start && index < 3 {
            self.nodes[index].disk.formation_seeds = (0..3).map(|i| address(i).to_string()).collect();
        }
        self.start(index);
        index
    }

    /// Replaces a machine's disk by an empty one with a new incarnation.
    pub fn wipe(&mut self, index: usize) {
        self.last_incarnation += 1;
        self.nodes[index].disk = DurableState { incarnation: self.last_incarnation, ..DurableState::default() };
    }

    fn hello(&self, index: usize) -> PeerHello {
        let node = &self.nodes[index];
        PeerHello {
            name: node.name.clone(),
            zone: node.zone.clone(),
            address: node.address.to_string(),
            incarnation: node.disk.incarnation,
            has_no_image: node.disk.has_no_image(),
            rescued: node.disk.rescued,
            may_form: node.disk.may_form(),
            accepts_deltas: true,
        }
    }

    /// Starts a machine's process from the state on its disk, and opens links to all running machines.
    pub fn start(&mut self, index: usize) {
        if self.nodes[index].core.is_some() || self.nodes[index].removed {
            return;
        }
        self.last_run_id += 1;
        let run_id = self.last_run_id;
        let (guards, target_members, now) = (self.guards, self.target_members, self.now);
        let seeds = self.seeds.iter().copied().map(address).collect();
        let node = &mut self.nodes[index];
        node.run_id = run_id;
        node.leaving = false;
        let identity = Identity { name: node.name.clone(), zone: node.zone.clone(), address: node.address, seeds };
        node.core = Some(Core::new(identity, timing(), target_members, node.disk.clone(), guards, now));
        for other in self.running() {
            if other != index {
                let (own_hello, other_hello) = (self.hello(index), self.hello(other));
                self.input(other, Input::Connected(own_hello));
                self.input(index, Input::Connected(other_hello));
            }
        }
    }

    /// Ends a machine's process immediately; its disk is kept.
    pub fn kill(&mut self, index: usize) {
        if self.nodes[index].core.take().is_none() {
            return;
        }
        let name = self.nodes[index].name.clone();
        self.messages.retain(|m| m.from != index && m.to != index);
        for other in self.running() {
            self.input(other, Input::Disconnected(name.clone()));
        }
    }

    /// Asks a process to leave; it keeps running until it is killed.
    pub fn leave(&mut self, index: usize) {
        self.nodes[index].leaving = true;
        self.input(index, Input::Leave);
    }

    /// The machines whose process is running.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].core.is_some()).collect()
    }

    /// Whether messages from one machine are delivered to another.
    pub fn can_reach(&self, from: usize, to: usize) -> bool {
        !self.blocked_paths.contains(&(from, to))
    }

    fn clock(&mut self) -> Clock {
        let random = if self.random_timeouts { self.rng.next() } else { 0 };
        Clock { now: self.now, random }
    }

    /// Passes one input to a machine whose syncs succeed.
    pub fn input(&mut self, index: usize, input: Input) {
        self.input_with(index, input, None, SyncResult::Synced);
    }

    /// Passes one input to a machine; replies go to the machine `from`.
    pub fn input_with(&mut self, index: usize, input: Input, from: Option<usize>, sync_result: SyncResult) {
        let clock = self.clock();
        let Some(core) = self.nodes[index].core.as_mut() else { return };
        let mut save = core.handle(clock, input);
        while let Some(state) = save {
            if let SyncResult::PowerLost { written } = sync_result {
                if written {
                    self.nodes[index].disk = DurableState::clone(&state);
                }
                return self.kill(index);
            }
            self.nodes[index].disk = DurableState::clone(&state);
            let Some(core) = self.nodes[index].core.as_mut() else { return };
            let clock = Clock { random: clock.random >> 8, ..clock };
            save = core.saved(clock, true);
        }
        let effects = self.nodes[index].core.as_mut().map(Core::take_effects).unwrap_or_default();
        for effect in effects {
            self.execute(index, from, effect);
        }
        self.check_leaders();
    }

    fn execute(&mut self, index: usize, from: Option<usize>, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                for name in to {
                    let to = self.nodes.iter().position(|n| n.name == name);
                    self.send(index, to, message.clone());
                }
            }
            Effect::Reply(message) => self.send(index, from, message),
            Effect::Resolve { request_id, outcome } => self.monitor.on_outcome(request_id, outcome),
            Effect::Changed | Effect::Log(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: Option<usize>, message: Message) {
        let Some(to) = to.filter(|to| self.nodes[*to].core.is_some()) else { return };
        self.images_sent +=
            usize::from(matches!(&message, Message::Heartbeat(h) if h.image.is_some() || h.delta.is_some()));
        self.bytes_sent += Frame { body: Some(message.clone().into_body()) }.encoded_len();
        let run_ids = (self.nodes[from].run_id, self.nodes[to].run_id);
        self.messages.push(Envelope { from, to, message, run_ids });
    }

    /// Delivers a message, unless the path is blocked or one of the processes has ended; then it is lost.
    pub fn deliver(&mut self, at: usize, sync_result: SyncResult) {
        let envelope = self.messages.remove(at);
        let Envelope { from, to, message, run_ids } = envelope;
        let current_run_ids = (self.nodes[from].run_id, self.nodes[to].run_id);
        if run_ids == current_run_ids && self.nodes[to].core.is_some() && self.can_reach(from, to) {
            let name = self.nodes[from].name.clone();
            self.input_with(to, Input::Message { from: name, message }, Some(from), sync_result);
        }
    }

    /// An operator sends order `id` to a machine; it is based on the state after `after` orders.
    pub fn order(&mut self, index: usize, id: u32, after: usize, sync_result: SyncResult) {
        let result: Rc<Cell<Option<OrderResult>>> = Rc::default();
        let result_slot = result.clone();
        let change = Box::new(move |image: &Image| {
            let applied = applied_orders(image);
            let order_result = match () {
                () if applied.contains(&id) => OrderResult::Taken,
                () if applied.len() != after => OrderResult::Conflict,
                () => {
                    let mut next = image.clone();
                    next.note = format!("{}{id};", image.note);
                    return Some(next);
                }
            };
            result_slot.set(Some(order_result));
            None
        });
        let request_id = self.new_request_id(Request::Order { id });
        self.input_with(index, Input::Propose { request_id, change }, None, sync_result);
        if let Some(result) = result.take() {
            self.monitor.on_order_result(request_id, result);
        }
    }

    /// An operator adds `count` routes at a machine.
    pub fn add_routes(&mut self, index: usize, count: usize) {
        let change = Box::new(move |image: &Image| {
            let mut next = image.clone();
            let first = image.routes.len();
            let route = |n| Route { name: format!("d{n}"), note: "n".repeat(250), ..Route::default() };
            next.routes.extend((first..first + count).map(route));
            Some(next)
        });
        let request_id = self.new_request_id(Request::Read);
        self.input(index, Input::Propose { request_id, change });
    }

    /// An operator reads the image from a machine.
    pub fn read(&mut self, index: usize) {
        let request_id = self.new_request_id(Request::Read);
        self.input(index, Input::Read { request_id });
    }

    fn new_request_id(&mut self, call: Request) -> RequestId {
        self.last_request_id += 1;
        self.monitor.on_request(self.last_request_id, call);
        self.last_request_id
    }

    /// Advances the time; a process only notices at its next tick.
    pub fn elapse(&mut self, duration: Duration) {
        self.now += duration;
        self.check_leaders();
    }

    /// Checks that there is at most one leader per term, and at most one with a valid lease.
    fn check_leaders(&mut self) {
        let now = self.now;
        let mut leaders = Vec::new();
        for node in &self.nodes {
            let Some(core) = &node.core else { continue };
            self.newest_committed = self.newest_committed.max(core.committed_version().unwrap_or_default());
            if core.is_leader() {
                self.monitor.on_leader(core.term().0, &node.name);
            }
            if core.leads_with_lease(now) {
                leaders.push(node.name.clone());
            }
        }
        self.monitor.on_leaders_with_lease(&leaders);
    }

    /// The complete state that determines what can happen next, as text.
    pub fn fingerprint(&self) -> String {
        let nodes: Vec<_> = self.nodes.iter().map(|n| (&n.core, &n.disk)).collect();
        let row = |m: &Envelope| format!("{} {} {:?}", m.from, m.to, m.message);
        let mut messages: Vec<String> = self.messages.iter().map(row).collect();
        // Sorted, because they may be delivered in any order.
        messages.sort();
        format!("{:?} {nodes:?} {messages:?} {:?} {:?}", self.now, self.blocked_paths, self.monitor)
    }

    /// Unblocks all paths, restarts all machines and delivers messages in the order of sending; returns whether an
    /// order is then acknowledged within 200 tries.
    pub fn recovers(&mut self) -> bool {
        self.blocked_paths.clear();
        for index in self.running() {
            if self.nodes[index].leaving {
                self.kill(index);
            }
        }
        for index in 0..self.nodes.len() {
            self.start(index);
        }
        // Each try sends another order, based on the newest committed state at that time.
        for id in (u32::MAX - 200)..u32::MAX {
            self.run_round(timing().heartbeat / 4);
            let leader = self.running().into_iter().find(|i| self.leads_with_lease(*i));
            if let Some(leader) = leader {
                let after =
                    self.nodes[leader].core.as_ref().and_then(Core::committed_image).map(|i| applied_orders(&i).len());
                self.order(leader, id, after.unwrap_or(0), SyncResult::Synced);
                self.run_round(timing().heartbeat / 4);
                if self.monitor.acknowledged(id) {
                    return true;
                }
            }
        }
        false
    }

    /// Whether every image that may be the newest keeps a quorum of disks when this machine's disk is lost.
    pub fn tolerates_loss_of(&self, index: usize) -> bool {
        let committed =
            self.nodes.iter().filter_map(|n| n.core.as_ref()?.committed_version()).max().unwrap_or_default();
        let committed = committed.max(self.newest_committed);
        let kept = |member: &Member| {
            let holds = |(i, n): (usize, &Node)| i != index && n.disk.incarnation == member.incarnation;
            self.nodes.iter().enumerate().any(holds)
        };
        let recent = self.nodes.iter().filter(|n| n.disk.version() >= committed);
        recent.filter_map(|n| n.disk.image.as_ref()).all(|image| has_quorum(image, kept))
    }

    /// Whether a machine is the leader with a valid lease.
    pub fn leads_with_lease(&self, index: usize) -> bool {
        self.nodes[index].core.as_ref().is_some_and(|c| c.leads_with_lease(self.now))
    }

    /// Advances the time, lets every process tick once and delivers all messages, up to 200.
    pub fn run_round(&mut self, duration: Duration) {
        self.elapse(duration);
        for index in self.running() {
            self.input(index, Input::Tick);
        }
        for _ in 0..200 {
            if self.messages.is_empty() {
                break;
            }
            self.deliver(0, SyncResult::Synced);
        }
    }

    /// Advances the time, lets every process tick once and delivers at most `max_messages` messages.
    pub fn run_partial_round(&mut self, duration: Duration, max_messages: usize) {
        self.elapse(duration);
        for index in self.running() {
            self.input(index, Input::Tick);
        }
        for _ in 0..max_messages.min(self.messages.len()) {
            self.deliver(0, SyncResult::Synced);
        }
    }

    /// The machines that are members according to the newest image on any disk.
    pub fn member_indices(&self) -> Vec<usize> {
        let newest = self.nodes.iter().max_by_key(|n| n.disk.version()).and_then(|n| n.disk.image.clone());
        let members = newest.map(|i| i.members.clone()).unwrap_or_default();
        (0..self.nodes.len()).filter(|i| members.iter().any(|m| m.name == self.nodes[*i].name)).collect()
    }

    /// The number of members in the zone that has the most.
    pub fn max_members_in_a_zone(&self) -> usize {
        let zones: Vec<&str> = self.member_indices().iter().map(|i| self.nodes[*i].zone.as_str()).collect();
        zones.iter().map(|z| zones.iter().filter(|other| *other == z).count()).max().unwrap_or(0)
    }

    /// The orders in the newest image on any disk.
    pub fn newest_applied_orders(&self) -> Vec<u32> {
        let newest = self.nodes.iter().max_by_key(|n| n.disk.version());
        newest.and_then(|n| n.disk.image.as_deref()).map(applied_orders).unwrap_or_default()
    }

    /// Runs 200 rounds without failures, so that a leader is elected and all machines hold the same image.
    pub fn stabilize(&mut self) {
        for _ in 0..200 {
            self.run_round(timing().heartbeat / 4);
        }
        assert!(self.running().iter().any(|i| self.leads_with_lease(*i)), "nobody leads without failures");
    }
}

/// The orders in an image, in the order they were applied.
pub fn applied_orders(image: &Image) -> Vec<u32> {
    image.note.split(';').filter_map(|id| id.parse().ok()).collect()
}

/// A summary of each machine, for failure messages.
pub fn describe(cluster: &Cluster) -> BTreeMap<String, String> {
    let row = |n: &Node| {
        let members: Vec<&str> = n.disk.image.iter().flat_map(|i| i.members.iter().map(|m| m.name.as_str())).collect();
        let text =
            format!("up {} term {} version {:?} members {members:?}", n.core.is_some(), n.disk.term, n.disk.version());
        (n.name.clone(), text)
    };
    cluster.nodes.iter().map(row).collect()
}

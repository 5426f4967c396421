//! A world of control nodes for the model checker: the product's own consensus core, disks, messages under way, and what
//! operators were told. Nothing here waits: time moves when a step says so.

use std::{cell::Cell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use base::Bounds;
use hub::{
    consensus::{Clock, Core, Effect, Guards, Identity, Input, Message, PeerHello, Ticket, Timing, has_quorum},
    store::{DurableState, Version},
};
use wire::{Frame, Image, Member, Message as _, Route};

use super::{
    dice::Dice,
    monitor::{Call, Monitor, Verdict},
};

/// How the disk answers the next state that is to be synced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskFate {
    Synced,
    /// The machine loses power: the state may be on the disk or not.
    PowerLost {
        written: bool,
    },
}

/// A message under way. A link ends with either process, and takes what is under way with it.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub from: usize,
    pub to: usize,
    pub message: Message,
    lives: (u64, u64),
}

/// One machine.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    zone: String,
    address: SocketAddr,
    pub disk: DurableState,
    pub core: Option<Core>,
    life: u64,
    /// Its process was told to end, and soon does.
    pub leaving: bool,
    /// It never comes back.
    pub removed: bool,
}

/// All machines and what passes between them.
#[derive(Clone)]
pub struct World {
    pub nodes: Vec<Node>,
    pub messages: Vec<Envelope>,
    pub now: Duration,
    pub monitor: Monitor,
    /// Pairs that don't hear each other, by direction.
    pub cuts: Vec<(usize, usize)>,
    pub guards: Guards,
    /// The machines that settings name at a start.
    pub seeds: Vec<usize>,
    /// How many messages with an image were sent.
    pub images_sent: usize,
    /// The bytes of all messages that were sent.
    pub bytes_sent: usize,
    /// Whether chance decides how long candidates wait; else all wait equally long.
    pub chance: bool,
    tickets: Ticket,
    incarnations: u64,
    lives: u64,
    target_members: usize,
    newest_committed: Version,
    dice: Dice,
}

/// The spans of the product at the users' bounds.
pub fn timing() -> Timing {
    Timing::from_bounds(&Bounds::default())
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7440))
}

impl World {
    /// `count` empty machines that start for the first time; the first three are named in the settings.
    pub fn new(count: usize, zones: usize, target_members: usize, guards: Guards) -> Self {
        let mut world = Self {
            nodes: Vec::new(),
            messages: Vec::new(),
            now: Duration::from_secs(1),
            monitor: Monitor::default(),
            cuts: Vec::new(),
            guards,
            seeds: vec![0, 1, 2],
            images_sent: 0,
            bytes_sent: 0,
            chance: true,
            tickets: 0,
            incarnations: 0,
            lives: 0,
            target_members,
            newest_committed: Version::default(),
            dice: Dice::new(1),
        };
        (0..count).for_each(|_| {
            world.add(zones, true);
        });
        world
    }

    /// Draws by another seed from here on.
    pub fn reseed(&mut self, seed: u64) {
        self.dice = Dice::new(!seed);
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
            life: 0,
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

    /// Empties a disk.
    pub fn wipe(&mut self, index: usize) {
        self.incarnations += 1;
        self.nodes[index].disk = DurableState { incarnation: self.incarnations, ..DurableState::default() };
    }

    fn hello(&self, index: usize) -> PeerHello {
        let node = &self.nodes[index];
        PeerHello {
            name: node.name.clone(),
            zone: node.zone.clone(),
            address: node.address.to_string(),
            incarnation: node.disk.incarnation,
            empty: node.disk.empty(),
            rescued: node.disk.rescued,
            may_form: node.disk.may_form(),
            takes_deltas: true,
        }
    }

    /// Starts a machine's process with what its disk holds.
    pub fn start(&mut self, index: usize) {
        if self.nodes[index].core.is_some() || self.nodes[index].removed {
            return;
        }
        self.lives += 1;
        let life = self.lives;
        let (guards, target, now) = (self.guards, self.target_members, self.now);
        let seeds = self.seeds.iter().copied().map(address).collect();
        let node = &mut self.nodes[index];
        node.life = life;
        node.leaving = false;
        let identity = Identity { name: node.name.clone(), zone: node.zone.clone(), address: node.address, seeds };
        node.core = Some(Core::new(identity, timing(), target, node.disk.clone(), guards, now));
        for other in self.running() {
            if other != index {
                let (mine, theirs) = (self.hello(index), self.hello(other));
                self.input(other, Input::Connected(mine));
                self.input(index, Input::Connected(theirs));
            }
        }
    }

    /// Ends a machine's process at once; its disk stays as it is.
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

    /// Tells a process to end; it runs on until it is killed.
    pub fn leave(&mut self, index: usize) {
        self.nodes[index].leaving = true;
        self.input(index, Input::Leave);
    }

    /// The machines whose process runs.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].core.is_some()).collect()
    }

    /// Whether a message from one machine reaches another.
    pub fn hears(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to))
    }

    fn clock(&mut self) -> Clock {
        let random = if self.chance { self.dice.next() } else { 0 };
        Clock { now: self.now, random }
    }

    /// Gives one input to a machine whose disk syncs.
    pub fn input(&mut self, index: usize, input: Input) {
        self.input_with(index, input, None, DiskFate::Synced);
    }

    /// Gives one input to a machine; `from` is who gets replies.
    pub fn input_with(&mut self, index: usize, input: Input, from: Option<usize>, fate: DiskFate) {
        let clock = self.clock();
        let Some(core) = self.nodes[index].core.as_mut() else { return };
        let mut save = core.handle(clock, input);
        while let Some(state) = save {
            if let DiskFate::PowerLost { written } = fate {
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
            self.obey(index, from, effect);
        }
        self.look();
    }

    fn obey(&mut self, index: usize, from: Option<usize>, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let to = self.nodes.iter().position(|n| n.name == to);
                self.send(index, to, message);
            }
            Effect::Reply(message) => self.send(index, from, message),
            Effect::Resolve { ticket, outcome } => self.monitor.resolved(ticket, outcome),
            Effect::Changed | Effect::Log(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: Option<usize>, message: Message) {
        let Some(to) = to.filter(|to| self.nodes[*to].core.is_some()) else { return };
        self.images_sent +=
            usize::from(matches!(&message, Message::Heartbeat(h) if h.image.is_some() || h.delta.is_some()));
        self.bytes_sent += Frame { body: Some(message.clone().into_body()) }.encoded_len();
        let lives = (self.nodes[from].life, self.nodes[to].life);
        self.messages.push(Envelope { from, to, message, lives });
    }

    /// Brings a message to its receiver, unless a cut or an ended process swallows it.
    pub fn deliver(&mut self, at: usize, fate: DiskFate) {
        let envelope = self.messages.remove(at);
        let Envelope { from, to, message, lives } = envelope;
        let now_lives = (self.nodes[from].life, self.nodes[to].life);
        if lives == now_lives && self.nodes[to].core.is_some() && self.hears(from, to) {
            let name = self.nodes[from].name.clone();
            self.input_with(to, Input::Message { from: name, message }, Some(from), fate);
        }
    }

    /// An operator sends an order to a machine: `id` is to follow `after` others.
    pub fn order(&mut self, index: usize, id: u32, after: usize, fate: DiskFate) {
        let verdict: Rc<Cell<Option<Verdict>>> = Rc::default();
        let note = verdict.clone();
        let change = Box::new(move |image: &Image| {
            let applied = history(image);
            let told = match () {
                () if applied.contains(&id) => Verdict::Taken,
                () if applied.len() != after => Verdict::Conflict,
                () => {
                    let mut next = image.clone();
                    next.note = format!("{}{id};", image.note);
                    return Some(next);
                }
            };
            note.set(Some(told));
            None
        });
        let ticket = self.ticket(Call::Order { id });
        self.input_with(index, Input::Propose { ticket, change }, None, fate);
        if let Some(verdict) = verdict.take() {
            self.monitor.verdict(ticket, verdict);
        }
    }

    /// An operator adds so many doorways at a machine.
    pub fn add_doorways(&mut self, index: usize, count: usize) {
        let change = Box::new(move |image: &Image| {
            let mut next = image.clone();
            let first = image.routes.len();
            let doorway = |n| Route { name: format!("d{n}"), note: "n".repeat(250), ..Route::default() };
            next.routes.extend((first..first + count).map(doorway));
            Some(next)
        });
        let ticket = self.ticket(Call::Read);
        self.input(index, Input::Propose { ticket, change });
    }

    /// An operator reads the image from a machine.
    pub fn read(&mut self, index: usize) {
        let ticket = self.ticket(Call::Read);
        self.input(index, Input::Read { ticket });
    }

    fn ticket(&mut self, call: Call) -> Ticket {
        self.tickets += 1;
        self.monitor.called(self.tickets, call);
        self.tickets
    }

    /// Time goes on; no process notices until it is told by a tick.
    pub fn elapse(&mut self, span: Duration) {
        self.now += span;
        self.look();
    }

    /// Notes who leads; more than one at a time, or in one term, is a violation.
    fn look(&mut self) {
        let now = self.now;
        let mut sure = Vec::new();
        for node in &self.nodes {
            let Some(core) = &node.core else { continue };
            self.newest_committed = self.newest_committed.max(core.committed_version().unwrap_or_default());
            if core.is_leader() {
                self.monitor.leader(core.term().0, &node.name);
            }
            if core.leads(now) {
                sure.push(node.name.clone());
            }
        }
        self.monitor.sure_leaders(&sure);
    }

    /// All that decides what can happen next, as text.
    pub fn fingerprint(&self) -> String {
        let nodes: Vec<_> = self.nodes.iter().map(|n| (&n.core, &n.disk)).collect();
        let row = |m: &Envelope| format!("{} {} {:?}", m.from, m.to, m.message);
        let mut messages: Vec<String> = self.messages.iter().map(row).collect();
        // They may come in any order.
        messages.sort();
        format!("{:?} {nodes:?} {messages:?} {:?} {:?}", self.now, self.cuts, self.monitor)
    }

    /// Heals everything and lets the machines run on, messages in the order they were sent; tells whether an order is
    /// then acknowledged within some seconds.
    pub fn recovers(&mut self) -> bool {
        self.cuts.clear();
        for index in self.running() {
            if self.nodes[index].leaving {
                self.kill(index);
            }
        }
        for index in 0..self.nodes.len() {
            self.start(index);
        }
        // Each try is another order, as each follows what is newest then.
        for id in (u32::MAX - 200)..u32::MAX {
            self.run_on(timing().heartbeat / 4);
            let leader = self.running().into_iter().find(|i| self.leads(*i));
            if let Some(leader) = leader {
                let after = self.nodes[leader].core.as_ref().and_then(Core::committed_image).map(|i| history(&i).len());
                self.order(leader, id, after.unwrap_or(0), DiskFate::Synced);
                self.run_on(timing().heartbeat / 4);
                if self.monitor.acknowledged(id) {
                    return true;
                }
            }
        }
        false
    }

    /// Whether every image that may be the newest keeps a quorum of disks when this one is lost.
    pub fn bears_loss_of(&self, index: usize) -> bool {
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

    /// Whether a machine leads for sure.
    pub fn leads(&self, index: usize) -> bool {
        self.nodes[index].core.as_ref().is_some_and(|c| c.leads(self.now))
    }

    /// A span in which every process ticks once and every message arrives.
    pub fn run_on(&mut self, span: Duration) {
        self.elapse(span);
        for index in self.running() {
            self.input(index, Input::Tick);
        }
        for _ in 0..200 {
            if self.messages.is_empty() {
                break;
            }
            self.deliver(0, DiskFate::Synced);
        }
    }

    /// A span in which every process ticks once and only some messages arrive.
    pub fn run_some(&mut self, span: Duration, most: usize) {
        self.elapse(span);
        for index in self.running() {
            self.input(index, Input::Tick);
        }
        for _ in 0..most.min(self.messages.len()) {
            self.deliver(0, DiskFate::Synced);
        }
    }

    /// The machines that the newest image on any disk names as members.
    pub fn member_indices(&self) -> Vec<usize> {
        let newest = self.nodes.iter().max_by_key(|n| n.disk.version()).and_then(|n| n.disk.image.clone());
        let members = newest.map(|i| i.members.clone()).unwrap_or_default();
        (0..self.nodes.len()).filter(|i| members.iter().any(|m| m.name == self.nodes[*i].name)).collect()
    }

    /// How many members the zone with the most of them holds.
    pub fn most_members_in_a_zone(&self) -> usize {
        let zones: Vec<&str> = self.member_indices().iter().map(|i| self.nodes[*i].zone.as_str()).collect();
        zones.iter().map(|z| zones.iter().filter(|other| *other == z).count()).max().unwrap_or(0)
    }

    /// The orders that the newest image on any disk holds.
    pub fn newest_history(&self) -> Vec<u32> {
        let newest = self.nodes.iter().max_by_key(|n| n.disk.version());
        newest.and_then(|n| n.disk.image.as_deref()).map(history).unwrap_or_default()
    }

    /// Runs on until a leader has every machine level.
    pub fn settle(&mut self) {
        for _ in 0..200 {
            self.run_on(timing().heartbeat / 4);
        }
        assert!(self.running().iter().any(|i| self.leads(*i)), "nobody leads in calm");
    }
}

/// The orders that an image holds, in the order they were taken.
pub fn history(image: &Image) -> Vec<u32> {
    image.note.split(';').filter_map(|id| id.parse().ok()).collect()
}

/// The newest members of each running leader, for reports.
pub fn describe(world: &World) -> BTreeMap<String, String> {
    let row = |n: &Node| {
        let members: Vec<&str> = n.disk.image.iter().flat_map(|i| i.members.iter().map(|m| m.name.as_str())).collect();
        let text =
            format!("up {} term {} version {:?} members {members:?}", n.core.is_some(), n.disk.term, n.disk.version());
        (n.name.clone(), text)
    };
    world.nodes.iter().map(row).collect()
}

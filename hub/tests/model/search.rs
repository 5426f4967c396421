//! A breadth-first search over the orders in which events can come, from states in which something is under way.

use std::{
    collections::{HashSet, VecDeque, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
    time::Duration,
};

use hub::consensus::{Guards, Input};

use super::world::{DiskFate, World, timing};

/// Where a search begins.
#[derive(Clone, Copy, Debug)]
pub enum Start {
    /// An order lies on the leader's disk alone, and is sent again.
    OrderUnderWay,
    /// The leader hears nobody, and the others don't hear it.
    LeaderCutOff,
    /// A member is gone for long, and a spare control node stands by.
    MemberLost,
    /// A member comes back with an empty disk.
    DiskLost,
}

/// How far a search goes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub states: usize,
    pub guards: Guards,
}

/// What a search found.
pub struct Found {
    pub states: usize,
    /// How many events deep the search was complete, or went when it ended.
    pub depth: usize,
    pub violation: Option<String>,
}

/// One thing that may happen next.
#[derive(Clone, Copy, Debug)]
enum Event {
    Deliver(usize),
    Lose(usize),
    DeliverAndLosePower(usize),
    /// A hold goes by, and one machine notices.
    HoldPasses(usize),
    Tick(usize),
    Kill(usize),
    Start(usize),
    Order {
        machine: usize,
        id: u32,
    },
    Read(usize),
}

/// How many of the costly events a path may hold.
#[derive(Clone, Copy, Debug, Hash)]
struct Budget {
    losses: u8,
    kills: u8,
    holds: u8,
    ticks: u8,
    orders: u8,
    reads: u8,
}

const BUDGET: Budget = Budget { losses: 1, kills: 1, holds: 2, ticks: 2, orders: 2, reads: 1 };

#[derive(Clone)]
struct State {
    world: World,
    budget: Budget,
    path: Vec<Event>,
}

fn begin(start: Start, guards: Guards) -> World {
    let machines = if matches!(start, Start::MemberLost) { 4 } else { 3 };
    let mut world = World::new(machines, 3, 3, guards);
    world.settle();
    world.chance = false;
    let leader = (0..3).find(|i| world.leads(*i)).expect("somebody leads in calm");
    let other = (leader + 1) % 3;
    match start {
        Start::OrderUnderWay => world.order(leader, 1, 0, DiskFate::Synced),
        Start::LeaderCutOff => {
            for peer in (0..3).filter(|i| *i != leader) {
                world.cuts.push((leader, peer));
            }
            world.order(leader, 1, 0, DiskFate::Synced);
        }
        Start::MemberLost => {
            world.kill(other);
            world.elapse(timing().replace_after);
            world.order(leader, 1, 0, DiskFate::Synced);
        }
        Start::DiskLost => {
            world.kill(other);
            world.wipe(other);
            world.start(other);
            world.order(leader, 1, 0, DiskFate::Synced);
        }
    }
    world
}

fn key(state: &State) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.budget.hash(&mut hasher);
    state.world.fingerprint().hash(&mut hasher);
    hasher.finish()
}

fn events(state: &State) -> Vec<Event> {
    let (world, budget) = (&state.world, state.budget);
    let mut out = Vec::new();
    for at in 0..world.messages.len() {
        out.push(Event::Deliver(at));
        if budget.losses > 0 {
            out.push(Event::Lose(at));
        }
        if budget.kills > 0 {
            out.push(Event::DeliverAndLosePower(at));
        }
    }
    for machine in 0..world.nodes.len() {
        if world.nodes[machine].core.is_none() {
            out.push(Event::Start(machine));
            continue;
        }
        if budget.ticks > 0 {
            out.push(Event::Tick(machine));
        }
        if budget.holds > 0 {
            out.push(Event::HoldPasses(machine));
        }
        if budget.kills > 0 {
            out.push(Event::Kill(machine));
        }
        if budget.orders > 0 && world.nodes[machine].core.as_ref().is_some_and(|c| c.is_leader()) {
            out.push(Event::Order { machine, id: 1 });
            out.push(Event::Order { machine, id: 2 });
        }
        if budget.reads > 0 && world.leads(machine) {
            out.push(Event::Read(machine));
        }
    }
    out
}

fn apply(state: &State, event: Event) -> State {
    let mut next = state.clone();
    next.path.push(event);
    let (world, budget) = (&mut next.world, &mut next.budget);
    match event {
        Event::Deliver(at) => world.deliver(at, DiskFate::Synced),
        Event::Lose(at) => {
            budget.losses -= 1;
            world.messages.remove(at);
        }
        Event::DeliverAndLosePower(at) => {
            budget.kills -= 1;
            world.deliver(at, DiskFate::PowerLost { written: false });
        }
        Event::HoldPasses(machine) => {
            budget.holds -= 1;
            world.elapse(timing().hold + Duration::from_millis(1));
            world.input(machine, Input::Tick);
        }
        Event::Tick(machine) => {
            budget.ticks -= 1;
            world.input(machine, Input::Tick);
        }
        Event::Kill(machine) => {
            budget.kills -= 1;
            world.kill(machine);
        }
        Event::Start(machine) => world.start(machine),
        Event::Order { machine, id } => {
            budget.orders -= 1;
            world.order(machine, id, 0, DiskFate::Synced);
        }
        Event::Read(machine) => {
            budget.reads -= 1;
            world.read(machine);
        }
    }
    next
}

/// Searches until the limit or until nothing new is reached.
pub fn search(start: Start, limits: Limits) -> Found {
    let first = State { world: begin(start, limits.guards), budget: BUDGET, path: Vec::new() };
    let mut seen = HashSet::from([key(&first)]);
    let mut queue = VecDeque::from([first]);
    let mut depth = 0;
    while let Some(state) = queue.pop_front() {
        depth = state.path.len();
        if seen.len() >= limits.states {
            break;
        }
        for event in events(&state) {
            let next = apply(&state, event);
            if let Some(first) = next.world.monitor.violations.first() {
                let violation = Some(format!("{first} after {:?}", next.path));
                return Found { states: seen.len(), depth: next.path.len(), violation };
            }
            if seen.insert(key(&next)) {
                queue.push_back(next);
            }
        }
    }
    Found { states: seen.len(), depth, violation: None }
}

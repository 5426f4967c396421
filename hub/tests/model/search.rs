//! A breadth-first search over the possible orders of events, from states in which a request or a failure is in
//! progress.

use std::{
    collections::{HashSet, VecDeque, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
    time::Duration,
};

use hub::consensus::{DisabledConsensusGuards, Input};

use super::cluster::{Cluster, SyncResult, timing};

/// The state in which a search begins.
#[derive(Clone, Copy, Debug)]
pub enum Start {
    /// An order is on the leader's disk only, and is sent again.
    UncommittedOrder,
    /// The leader's messages do not reach the other members.
    LeaderPartitioned,
    /// A member has been unreachable for long enough to be replaced, and a learner is available.
    MemberLost,
    /// A member restarts with an empty disk.
    DiskLost,
}

/// The number of states at which a search ends, and the guards to use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub states: usize,
    pub guards: DisabledConsensusGuards,
}

/// The result of a search.
pub struct SearchResult {
    pub states: usize,
    /// The number of events that led to the last state visited, or to the violation.
    pub depth: usize,
    pub violation: Option<String>,
}

/// An event that may happen next.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Deliver the message with this index.
    Deliver(usize),
    /// Lose the message with this index.
    Lose(usize),
    /// Deliver the message with this index; the receiver loses power before it can sync.
    DeliverAndLosePower(usize),
    /// A hold time passes, and one machine processes a tick.
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

/// The number of events of each kind that a path may still contain; they bound the search.
#[derive(Clone, Copy, Debug, Hash)]
struct EventBudget {
    losses: u8,
    kills: u8,
    holds: u8,
    ticks: u8,
    orders: u8,
    reads: u8,
}

const INITIAL_BUDGET: EventBudget = EventBudget { losses: 1, kills: 1, holds: 2, ticks: 2, orders: 2, reads: 1 };

#[derive(Clone)]
struct State {
    cluster: Cluster,
    budget: EventBudget,
    path: Vec<Event>,
}

/// Brings a cluster into the state in which the search begins.
fn initial_cluster(start: Start, guards: DisabledConsensusGuards) -> Cluster {
    let machines = if matches!(start, Start::MemberLost) { 4 } else { 3 };
    let mut cluster = Cluster::new(machines, 3, 3, guards);
    cluster.stabilize();
    cluster.random_timeouts = false;
    let leader = (0..3).find(|i| cluster.leads_with_lease(*i)).expect("a node that leads without failures");
    let other = (leader + 1) % 3;
    match start {
        Start::UncommittedOrder => cluster.order(leader, 1, 0, SyncResult::Synced),
        Start::LeaderPartitioned => {
            for peer in (0..3).filter(|i| *i != leader) {
                cluster.blocked_paths.push((leader, peer));
            }
            cluster.order(leader, 1, 0, SyncResult::Synced);
        }
        Start::MemberLost => {
            cluster.kill(other);
            cluster.elapse(timing().replace_after);
            cluster.order(leader, 1, 0, SyncResult::Synced);
        }
        Start::DiskLost => {
            cluster.kill(other);
            cluster.wipe(other);
            cluster.start(other);
            cluster.order(leader, 1, 0, SyncResult::Synced);
        }
    }
    cluster
}

/// Identifies a state, to skip the ones that were visited already.
fn state_hash(state: &State) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.budget.hash(&mut hasher);
    state.cluster.fingerprint().hash(&mut hasher);
    hasher.finish()
}

/// The events that are possible in a state within its budget.
fn events(state: &State) -> Vec<Event> {
    let (cluster, budget) = (&state.cluster, state.budget);
    let mut events = Vec::new();
    for message_index in 0..cluster.messages.len() {
        events.push(Event::Deliver(message_index));
        if budget.losses > 0 {
            events.push(Event::Lose(message_index));
        }
        if budget.kills > 0 {
            events.push(Event::DeliverAndLosePower(message_index));
        }
    }
    for machine in 0..cluster.nodes.len() {
        if cluster.nodes[machine].core.is_none() {
            events.push(Event::Start(machine));
            continue;
        }
        if budget.ticks > 0 {
            events.push(Event::Tick(machine));
        }
        if budget.holds > 0 {
            events.push(Event::HoldPasses(machine));
        }
        if budget.kills > 0 {
            events.push(Event::Kill(machine));
        }
        if budget.orders > 0 && cluster.nodes[machine].core.as_ref().is_some_and(|c| c.is_leader()) {
            events.push(Event::Order { machine, id: 1 });
            events.push(Event::Order { machine, id: 2 });
        }
        if budget.reads > 0 && cluster.leads_with_lease(machine) {
            events.push(Event::Read(machine));
        }
    }
    events
}

/// The state after an event.
fn apply(state: &State, event: Event) -> State {
    let mut next = state.clone();
    next.path.push(event);
    let (cluster, budget) = (&mut next.cluster, &mut next.budget);
    match event {
        Event::Deliver(message_index) => cluster.deliver(message_index, SyncResult::Synced),
        Event::Lose(message_index) => {
            budget.losses -= 1;
            cluster.messages.remove(message_index);
        }
        Event::DeliverAndLosePower(message_index) => {
            budget.kills -= 1;
            cluster.deliver(message_index, SyncResult::PowerLost { written: false });
        }
        Event::HoldPasses(machine) => {
            budget.holds -= 1;
            cluster.elapse(timing().hold + Duration::from_millis(1));
            cluster.input(machine, Input::Tick);
        }
        Event::Tick(machine) => {
            budget.ticks -= 1;
            cluster.input(machine, Input::Tick);
        }
        Event::Kill(machine) => {
            budget.kills -= 1;
            cluster.kill(machine);
        }
        Event::Start(machine) => cluster.start(machine),
        Event::Order { machine, id } => {
            budget.orders -= 1;
            cluster.order(machine, id, 0, SyncResult::Synced);
        }
        Event::Read(machine) => {
            budget.reads -= 1;
            cluster.read(machine);
        }
    }
    next
}

/// Searches until a violation is found, the limit is reached or no new states are left.
pub fn search(start: Start, limits: Limits) -> SearchResult {
    let first = State { cluster: initial_cluster(start, limits.guards), budget: INITIAL_BUDGET, path: Vec::new() };
    let mut visited = HashSet::from([state_hash(&first)]);
    let mut queue = VecDeque::from([first]);
    let mut depth = 0;
    while let Some(state) = queue.pop_front() {
        depth = state.path.len();
        if visited.len() >= limits.states {
            break;
        }
        for event in events(&state) {
            let next = apply(&state, event);
            if let Some(first) = next.cluster.monitor.violations.first() {
                let violation = Some(format!("{first} after {:?}", next.path));
                return SearchResult { states: visited.len(), depth: next.path.len(), violation };
            }
            if visited.insert(state_hash(&next)) {
                queue.push_back(next);
            }
        }
    }
    SearchResult { states: visited.len(), depth, violation: None }
}

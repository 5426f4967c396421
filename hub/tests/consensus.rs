//! The consensus core under all orders of events that a bounded search reaches, and in long random walks that go
//! further.

mod model;

use hub::consensus::DisabledConsensusGuards;
use model::{
    ALL_GUARDS,
    search::{Limits, Start, search},
    walk::{Plan, walk},
};

const THREE_NODES: Plan = Plan { machines: 3, zones: 3, target_members: 3, steps: 6000, guards: ALL_GUARDS };

/// Three members and one learner.
const FOUR_NODES_WITH_LEARNER: Plan = Plan { machines: 4, ..THREE_NODES };

/// As in larger deployments: eight control nodes in four zones, with two tolerated machine losses.
const EIGHT_NODES: Plan = Plan { machines: 8, zones: 4, target_members: 5, ..THREE_NODES };

fn assert_walks_are_clean(plan: Plan, seeds: std::ops::RangeInclusive<u64>) {
    let mut taken = 0;
    let count = seeds.clone().count() as u64;
    for seed in seeds {
        taken += walk(seed, plan).unwrap_or_else(|text| panic!("{text}"));
    }
    println!("{count} walks of {} steps: {taken} orders acknowledged", plan.steps);
    assert!(taken > count * 5, "the walks must get enough orders acknowledged: {taken} in {count} walks");
}

/// Asserts that with the guard disabled, a walk finds a violation that contains `what`.
fn assert_a_walk_finds(plan: Plan, guards: DisabledConsensusGuards, what: &str) {
    let violation = (1..=300).find_map(|seed| walk(seed, Plan { guards, ..plan }).err().filter(|e| e.contains(what)));
    let text = violation.unwrap_or_else(|| panic!("nothing like {what:?} was found with the guard disabled"));
    println!("{}", text.lines().next().unwrap_or_default());
}

#[test]
fn walks_over_three_control_nodes_are_clean() {
    assert_walks_are_clean(THREE_NODES, 1..=150);
}

#[test]
fn walks_with_a_spare_control_node_are_clean() {
    assert_walks_are_clean(FOUR_NODES_WITH_LEARNER, 1..=150);
}

#[test]
fn walks_over_eight_control_nodes_are_clean() {
    assert_walks_are_clean(EIGHT_NODES, 1..=60);
}

#[test]
fn a_result_returned_before_its_commit_is_found() {
    assert_a_walk_finds(THREE_NODES, DisabledConsensusGuards { early_result: true, ..ALL_GUARDS }, "order");
}

#[test]
fn a_replaced_disk_that_still_counts_in_quorums_is_found() {
    assert_a_walk_finds(THREE_NODES, DisabledConsensusGuards { any_incarnation: true, ..ALL_GUARDS }, "was reported");
}

#[test]
fn a_leader_without_a_lease_is_found() {
    assert_a_walk_finds(THREE_NODES, DisabledConsensusGuards { no_lease: true, ..ALL_GUARDS }, "lead at the same time");
}

#[test]
fn a_vote_for_an_older_image_is_found() {
    assert_a_walk_finds(THREE_NODES, DisabledConsensusGuards { vote_for_older: true, ..ALL_GUARDS }, "was reported");
}

/// The maximum number of states that a search visits; an environment variable overrides it.
fn max_states() -> usize {
    std::env::var("PORTSPOKE_MODEL_STATES").ok().and_then(|s| s.parse().ok()).unwrap_or(40_000)
}

#[test]
fn every_order_of_events_after_an_order_is_clean() {
    for start in [Start::UncommittedOrder, Start::LeaderPartitioned, Start::MemberLost, Start::DiskLost] {
        let result = search(start, Limits { states: max_states(), guards: ALL_GUARDS });
        println!("{start:?}: {} states, depth {}", result.states, result.depth);
        assert!(result.violation.is_none(), "{start:?}: {:?}", result.violation);
        assert!(result.states > 1000 && result.depth >= 4, "{start:?}: {} states", result.states);
    }
}

#[test]
fn the_search_finds_results_returned_before_their_commit() {
    let guards = DisabledConsensusGuards { early_result: true, ..ALL_GUARDS };
    let result = search(Start::UncommittedOrder, Limits { states: max_states(), guards });
    println!("{} states, depth {}: {:?}", result.states, result.depth, result.violation);
    assert!(result.violation.is_some());
}

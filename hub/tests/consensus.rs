//! The consensus core under every order of events that a bounded search reaches, and under long random walks beyond it.

mod model;

use hub::consensus::Guards;
use model::{
    ALL_GUARDS,
    search::{Limits, Start, search},
    walk::{Plan, walk},
};

const THREE: Plan = Plan { machines: 3, zones: 3, target_members: 3, steps: 6000, guards: ALL_GUARDS };

/// With a spare control node that stands by.
const SPARE: Plan = Plan { machines: 4, ..THREE };

/// As on the larger sites: two machines may be lost, eight control nodes over four zones.
const EIGHT: Plan = Plan { machines: 8, zones: 4, target_members: 5, ..THREE };

fn clean(plan: Plan, seeds: std::ops::RangeInclusive<u64>) {
    let mut taken = 0;
    let count = seeds.clone().count() as u64;
    for seed in seeds {
        taken += walk(seed, plan).unwrap_or_else(|text| panic!("{text}"));
    }
    println!("{count} walks of {} steps: {taken} orders acknowledged", plan.steps);
    assert!(taken > count * 5, "the walks must get somewhere: {taken} orders in {count} walks");
}

/// Some walk must find what the guard prevents.
fn found(plan: Plan, guards: Guards, what: &str) {
    let hit = (1..=300).find_map(|seed| walk(seed, Plan { guards, ..plan }).err().filter(|e| e.contains(what)));
    let text = hit.unwrap_or_else(|| panic!("without its guard nothing of {what:?} was found"));
    println!("{}", text.lines().next().unwrap_or_default());
}

#[test]
fn walks_over_three_control_nodes_are_clean() {
    clean(THREE, 1..=150);
}

#[test]
fn walks_with_a_spare_control_node_are_clean() {
    clean(SPARE, 1..=150);
}

#[test]
fn walks_over_eight_control_nodes_are_clean() {
    clean(EIGHT, 1..=60);
}

#[test]
fn a_verdict_that_is_told_before_it_is_committed_is_found() {
    found(THREE, Guards { early_verdict: true, ..ALL_GUARDS }, "order");
}

#[test]
fn a_lost_disk_that_counts_on_is_found() {
    found(THREE, Guards { any_incarnation: true, ..ALL_GUARDS }, "was told");
}

#[test]
fn a_leader_without_a_lease_is_found() {
    found(THREE, Guards { no_lease: true, ..ALL_GUARDS }, "lead at once");
}

#[test]
fn a_vote_for_an_older_image_is_found() {
    found(THREE, Guards { vote_for_older: true, ..ALL_GUARDS }, "was told");
}

/// States that one search visits at most; the variable asks for more.
fn most_states() -> usize {
    std::env::var("PORTSPOKE_MODEL_STATES").ok().and_then(|s| s.parse().ok()).unwrap_or(40_000)
}

#[test]
fn every_order_of_events_after_an_order_is_clean() {
    for start in [Start::OrderUnderWay, Start::LeaderCutOff, Start::MemberLost, Start::DiskLost] {
        let found = search(start, Limits { states: most_states(), guards: ALL_GUARDS });
        println!("{start:?}: {} states, depth {}", found.states, found.depth);
        assert!(found.violation.is_none(), "{start:?}: {:?}", found.violation);
        assert!(found.states > 1000 && found.depth >= 4, "{start:?}: {} states", found.states);
    }
}

#[test]
fn the_search_finds_verdicts_told_early() {
    let guards = Guards { early_verdict: true, ..ALL_GUARDS };
    let found = search(Start::OrderUnderWay, Limits { states: most_states(), guards });
    println!("{} states, depth {}: {:?}", found.states, found.depth, found.violation);
    assert!(found.violation.is_some());
}

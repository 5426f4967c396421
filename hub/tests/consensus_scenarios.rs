//! Failure scenarios of the control nodes, step by step: partitions of twenty seconds, further losses right after a
//! repair, hundreds of changes, power losses during the first start.

mod model;

use std::time::Duration;

use hub::consensus::{DisabledConsensusGuards, Input, Message};
use model::{
    ALL_GUARDS,
    cluster::{Cluster, SyncResult, applied_orders, timing},
};

const RECOVERY_TIME: Duration = Duration::from_secs(4);

fn stable_cluster(machines: usize, target_members: usize, guards: DisabledConsensusGuards) -> Cluster {
    let mut cluster = Cluster::new(machines, 3, target_members, guards);
    cluster.stabilize();
    cluster
}

fn leader(cluster: &Cluster) -> usize {
    cluster.running().into_iter().find(|i| cluster.leads_with_lease(*i)).expect("a node that leads")
}

fn run_for(cluster: &mut Cluster, duration: Duration) {
    let end = cluster.now + duration;
    while cluster.now < end {
        cluster.run_round(timing().heartbeat / 4);
    }
}

fn block_both_directions(cluster: &mut Cluster, one: usize, others: &[usize]) {
    for other in others {
        cluster.blocked_paths.push((one, *other));
        cluster.blocked_paths.push((*other, one));
    }
}

fn assert_clean(cluster: &Cluster) {
    assert!(cluster.monitor.violations.is_empty(), "{:?}", cluster.monitor.violations);
}

/// The leader is partitioned for twenty seconds, for sending, for receiving or both, while operators read and send the
/// same orders on both sides. It must not confirm anything after its lease has expired.
#[test]
fn a_leader_that_is_cut_off_for_twenty_seconds_confirms_nothing() {
    for direction in 0..3 {
        let mut cluster = stable_cluster(3, 3, ALL_GUARDS);
        let old_leader = leader(&cluster);
        let others: Vec<usize> = (0..3).filter(|i| *i != old_leader).collect();
        for other in &others {
            if direction != 1 {
                cluster.blocked_paths.push((old_leader, *other));
            }
            if direction != 0 {
                cluster.blocked_paths.push((*other, old_leader));
            }
        }
        let mut sent = 0;
        let end = cluster.now + Duration::from_secs(20);
        while cluster.now < end {
            sent += 1;
            let after = cluster.newest_applied_orders().len();
            cluster.order(old_leader, sent, after, SyncResult::Synced);
            cluster.read(old_leader);
            run_for(&mut cluster, timing().heartbeat);
            if let Some(new_leader) = others.iter().copied().find(|i| cluster.leads_with_lease(*i)) {
                cluster.order(new_leader, sent, after, SyncResult::Synced);
                cluster.read(new_leader);
            }
            if cluster.now + Duration::from_secs(19) > end {
                assert!(
                    !cluster.leads_with_lease(old_leader),
                    "direction {direction}: it still leads after its lease expired"
                );
            }
        }
        cluster.blocked_paths.clear();
        run_for(&mut cluster, Duration::from_secs(2));
        assert_clean(&cluster);
        assert!(cluster.monitor.acknowledged_count() > 0, "direction {direction}: the other side acknowledged nothing");
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    Killed,
    DiskLost,
    Replaced,
    ReplacedAsPlanned,
}

const LOSSES: [Loss; 4] = [Loss::Killed, Loss::DiskLost, Loss::Replaced, Loss::ReplacedAsPlanned];

/// Applies a loss and waits until the machine, or the one that replaces it, has had time to recover.
fn apply_loss(cluster: &mut Cluster, index: usize, loss: Loss) {
    match loss {
        Loss::Killed => {
            cluster.kill(index);
            run_for(cluster, Duration::from_millis(700));
            cluster.start(index);
        }
        Loss::DiskLost => {
            cluster.kill(index);
            cluster.wipe(index);
            run_for(cluster, Duration::from_millis(700));
            cluster.start(index);
        }
        Loss::Replaced => {
            cluster.kill(index);
            cluster.wipe(index);
            cluster.nodes[index].removed = true;
            run_for(cluster, Duration::from_secs(1));
            cluster.add(3, false);
        }
        Loss::ReplacedAsPlanned => {
            cluster.add(3, false);
            run_for(cluster, Duration::from_secs(1));
            cluster.leave(index);
            run_for(cluster, Duration::from_millis(500));
            cluster.kill(index);
            cluster.wipe(index);
            cluster.nodes[index].removed = true;
        }
    }
    run_for(cluster, RECOVERY_TIME);
}

/// Three losses in every combination, each as soon as the bound allows it, on the leader or on a follower; a machine
/// that was just repaired may be hit again. Afterwards all machines lose power, and orders must still be accepted.
#[test]
fn a_second_and_third_loss_right_after_a_repair_leave_a_majority() {
    let mut scenarios = 0;
    for (first, second, third) in loss_sequences() {
        for on_leader in [true, false] {
            let mut cluster = stable_cluster(3, 3, ALL_GUARDS);
            let mut orders = 0;
            for loss in [first, second, third] {
                let leader_index = leader(&cluster);
                orders += 1;
                cluster.order(leader_index, orders, orders as usize - 1, SyncResult::Synced);
                cluster.run_round(timing().heartbeat / 4);
                let members = cluster.member_indices();
                let victim = if on_leader {
                    leader_index
                } else {
                    *members.iter().find(|i| **i != leader_index).expect("a follower")
                };
                apply_loss(&mut cluster, victim, loss);
            }
            for index in cluster.running() {
                cluster.kill(index);
            }
            assert!(cluster.recovers(), "{first:?} {second:?} {third:?} on the leader {on_leader}: nothing is taken");
            assert_clean(&cluster);
            scenarios += 1;
        }
    }
    println!("{scenarios} scenarios of three losses and a loss of all power");
}

fn loss_sequences() -> impl Iterator<Item = (Loss, Loss, Loss)> {
    LOSSES.into_iter().flat_map(|a| LOSSES.into_iter().flat_map(move |b| LOSSES.into_iter().map(move |c| (a, b, c))))
}

/// Eight control machines in four zones with five members lose two members at the same time, three times.
#[test]
fn five_members_of_eight_tolerate_two_losses_at_once_and_again() {
    let mut cluster = Cluster::new(8, 4, 5, ALL_GUARDS);
    cluster.stabilize();
    run_for(&mut cluster, Duration::from_secs(2));
    assert_eq!(cluster.member_indices().len(), 5);
    for round in 0..3 {
        let leader_index = leader(&cluster);
        let others: Vec<usize> = cluster.member_indices().into_iter().filter(|i| *i != leader_index).collect();
        for victim in [leader_index, others[0]] {
            cluster.kill(victim);
            cluster.wipe(victim);
            cluster.nodes[victim].removed = true;
        }
        run_for(&mut cluster, Duration::from_secs(1));
        for _ in 0..2 {
            cluster.add(4, false);
        }
        run_for(&mut cluster, Duration::from_secs(6));
        let leader_index = leader(&cluster);
        let after = cluster.newest_applied_orders().len();
        cluster.order(leader_index, round + 1, after, SyncResult::Synced);
        run_for(&mut cluster, Duration::from_secs(1));
        assert!(cluster.monitor.acknowledged(round + 1), "round {round}");
        assert_eq!(cluster.member_indices().len(), 5, "round {round}");
        assert!(cluster.max_members_in_a_zone() <= 2, "round {round}: no zone may hold a majority");
    }
    assert_clean(&cluster);
}

/// One side of a partition replaces a member that it can't reach, while the other side elects a leader: a membership
/// change that needed a majority of the new members only would create two independent systems.
fn members_change_while_the_old_ones_elect(guards: DisabledConsensusGuards) -> Vec<String> {
    let mut violations = Vec::new();
    for eighths_early in 0..12u32 {
        let mut cluster = stable_cluster(4, 3, guards);
        let leader_index = leader(&cluster);
        let members = cluster.member_indices();
        let followers: Vec<usize> = members.into_iter().filter(|i| *i != leader_index).collect();
        let learner = (0..4).find(|i| *i != leader_index && !followers.contains(i)).expect("a spare control node");
        let (near, far) = (followers[0], followers[1]);
        block_both_directions(&mut cluster, far, &[leader_index, learner]);
        let until = cluster.now + timing().replace_after - timing().heartbeat * eighths_early / 8;
        while cluster.now < until {
            cluster.run_round(timing().heartbeat / 8);
        }
        block_both_directions(&mut cluster, near, &[leader_index, learner]);
        // No orders until here, because an uncommitted order would delay the membership change.
        run_for(&mut cluster, timing().hold);
        for id in 1..30 {
            for index in cluster.running() {
                if cluster.leads_with_lease(index) {
                    cluster.order(index, id * 10 + index as u32, 0, SyncResult::Synced);
                    cluster.read(index);
                }
            }
            run_for(&mut cluster, timing().heartbeat);
        }
        violations.extend(cluster.monitor.violations.clone());
    }
    violations
}

#[test]
fn members_change_by_agreement_of_old_and_new() {
    let violations = members_change_while_the_old_ones_elect(ALL_GUARDS);
    assert!(violations.is_empty(), "{violations:?}");
    let violations = members_change_while_the_old_ones_elect(DisabledConsensusGuards { no_joint: true, ..ALL_GUARDS });
    assert!(!violations.is_empty(), "nothing was found with the guard disabled");
}

/// A member that voted for a candidate which then failed has a newer term than the only member with the newest image.
#[test]
fn a_member_that_voted_in_a_newer_term_does_not_block_the_election() {
    let mut cluster = stable_cluster(3, 3, ALL_GUARDS);
    let leader_index = leader(&cluster);
    let followers: Vec<usize> = (0..3).filter(|i| *i != leader_index).collect();
    // One order is on the leader and one follower; the other follower has voted in a newer term.
    block_both_directions(&mut cluster, followers[1], &[leader_index, followers[0]]);
    cluster.order(leader_index, 1, 0, SyncResult::Synced);
    run_for(&mut cluster, timing().heartbeat);
    assert!(cluster.monitor.acknowledged(1));
    cluster.kill(followers[1]);
    cluster.nodes[followers[1]].disk.term += 3;
    cluster.nodes[followers[1]].disk.voted_for = cluster.nodes[leader_index].name.clone();
    cluster.kill(leader_index);
    cluster.nodes[leader_index].removed = true;
    assert!(cluster.recovers(), "the two that are left elect nobody");
    assert_clean(&cluster);
}

/// A member misses a membership change and is then one of the two that are left: the other one has the newest image,
/// but the first one's image does not name it as a member.
#[test]
fn a_member_that_missed_a_change_of_the_membership_votes_for_one_that_it_does_not_know() {
    let mut cluster = stable_cluster(4, 3, ALL_GUARDS);
    let leader_index = leader(&cluster);
    let learner = (0..4).find(|i| !cluster.member_indices().contains(i)).expect("one learner");
    let followers: Vec<usize> = cluster.member_indices().into_iter().filter(|i| *i != leader_index).collect();
    let (missing, leaving) = (followers[0], followers[1]);
    block_both_directions(&mut cluster, missing, &[leader_index, leaving, learner]);
    cluster.leave(leaving);
    run_for(&mut cluster, timing().heartbeat * 8);
    assert!(cluster.member_indices().contains(&learner), "the learner replaces the one that leaves");
    cluster.kill(leaving);
    cluster.nodes[leaving].removed = true;
    assert!(cluster.tolerates_loss_of(leader_index), "two of the three members' disks are left");
    cluster.kill(leader_index);
    cluster.nodes[leader_index].removed = true;
    assert!(cluster.recovers(), "the two that are left elect nobody");
    assert_clean(&cluster);
}

/// A member that was down for three hundred changes must receive the newest state before it can lead; at most two
/// images are sent for that.
#[test]
fn a_member_away_for_three_hundred_changes_never_leads_with_old_state() {
    let mut cluster = stable_cluster(3, 3, ALL_GUARDS);
    let leader_index = leader(&cluster);
    let missing = (leader_index + 1) % 3;
    cluster.kill(missing);
    for id in 1..=300 {
        let leader_index = leader(&cluster);
        cluster.order(leader_index, id, id as usize - 1, SyncResult::Synced);
        cluster.run_round(timing().heartbeat / 4);
    }
    assert_eq!(cluster.monitor.acknowledged_count(), 300);
    cluster.start(missing);
    let restarted_at = cluster.now;
    let images_before = cluster.images_sent;
    while cluster.nodes[missing].disk.image.as_ref().is_none_or(|i| applied_orders(i).len() < 300) {
        assert!(cluster.now < restarted_at + Duration::from_secs(1), "it did not catch up within a second");
        cluster.run_round(timing().heartbeat / 4);
    }
    println!("caught up in {:?} with {} images sent", cluster.now - restarted_at, cluster.images_sent - images_before);
    assert!(cluster.images_sent - images_before <= 2);
    cluster.kill(leader(&cluster));
    assert!(cluster.recovers());
    assert_clean(&cluster);
}

/// Each of the first control nodes loses power after each step of the first start, and restarts with its disk.
#[test]
fn the_first_start_survives_a_loss_of_power_at_any_step() {
    for victim in 0..3 {
        for steps in 0..12 {
            let mut cluster = Cluster::new(3, 3, 3, ALL_GUARDS);
            for _ in 0..steps {
                cluster.run_partial_round(timing().heartbeat / 4, 3);
            }
            cluster.kill(victim);
            cluster.start(victim);
            assert!(cluster.recovers(), "node {victim} after {steps} steps: nothing is taken");
            assert_clean(&cluster);
        }
    }
}

/// Changed settings name three empty machines as seeds, while the machines that hold the state can't be reached.
fn empty_seeds_far_from_the_state(guards: DisabledConsensusGuards) -> Cluster {
    let mut cluster = stable_cluster(3, 3, guards);
    let leader_index = leader(&cluster);
    cluster.order(leader_index, 1, 0, SyncResult::Synced);
    run_for(&mut cluster, timing().heartbeat);
    for index in 0..3 {
        cluster.nodes[index].removed = true;
        cluster.kill(index);
    }
    cluster.seeds = vec![3, 4, 5];
    (0..3).for_each(|_| {
        cluster.add(3, false);
    });
    run_for(&mut cluster, Duration::from_secs(5));
    for index in 3..6 {
        cluster.read(index);
    }
    run_for(&mut cluster, Duration::from_secs(1));
    cluster
}

#[test]
fn empty_machines_form_no_second_system() {
    let cluster = empty_seeds_far_from_the_state(ALL_GUARDS);
    assert!(cluster.running().iter().all(|i| !cluster.leads_with_lease(*i)));
    assert_clean(&cluster);
    let cluster = empty_seeds_far_from_the_state(DisabledConsensusGuards { form_again: true, ..ALL_GUARDS });
    assert!(!cluster.monitor.violations.is_empty(), "nothing was found with the guard disabled");
}

/// A large image in flight must not delay heartbeats: while it takes ten hold times to arrive, the leader stays the
/// same.
#[test]
fn leadership_stays_while_a_large_image_is_in_flight() {
    let mut cluster = stable_cluster(5, 5, ALL_GUARDS);
    let leader_index = leader(&cluster);
    let term = cluster.nodes[leader_index].disk.term;
    cluster.add_routes(leader_index, 2000);
    let carries_image = |cluster: &Cluster, message_index: usize| match &cluster.messages[message_index].message {
        Message::Heartbeat(h) => h.image.is_some() || h.delta.is_some(),
        _ => false,
    };
    let end = cluster.now + timing().hold * 10;
    while cluster.now < end {
        cluster.elapse(timing().heartbeat / 4);
        for index in cluster.running() {
            cluster.input(index, Input::Tick);
        }
        let mut message_index = 0;
        while message_index < cluster.messages.len() {
            if carries_image(&cluster, message_index) {
                message_index += 1;
            } else {
                cluster.deliver(message_index, SyncResult::Synced);
            }
        }
        assert!(cluster.leads_with_lease(leader_index), "it lost the lead at {:?}", cluster.now);
    }
    run_for(&mut cluster, Duration::from_secs(1));
    assert!(cluster.leads_with_lease(leader_index));
    let route_count_of = |i: usize| cluster.nodes[i].disk.image.as_ref().map_or(0, |image| image.routes.len());
    for index in cluster.running() {
        assert_eq!((cluster.nodes[index].disk.term, route_count_of(index)), (term, 2000), "h{index}");
    }
    assert_clean(&cluster);
}

/// After a change of leadership the new leader saves the same image under its own term; that takes few bytes on the
/// network, however large the image is.
#[test]
fn a_change_of_leadership_sends_no_whole_image() {
    let bytes = |route_count: usize| {
        let mut cluster = stable_cluster(5, 5, ALL_GUARDS);
        let old_leader = leader(&cluster);
        cluster.add_routes(old_leader, route_count);
        run_for(&mut cluster, Duration::from_secs(2));
        cluster.bytes_sent = 0;
        cluster.leave(old_leader);
        run_for(&mut cluster, Duration::from_secs(1));
        assert!(!cluster.leads_with_lease(old_leader) && cluster.leads_with_lease(leader(&cluster)));
        assert_clean(&cluster);
        cluster.bytes_sent
    };
    let (few, many) = (bytes(20), bytes(2000));
    assert!(many < few * 2, "{few} bytes with 20 doorways, {many} with 2000");
}

/// A change of one route among thousands is sent as a small delta to each of the other control nodes.
#[test]
fn a_small_change_to_a_large_image_costs_little() {
    let mut cluster = stable_cluster(5, 5, ALL_GUARDS);
    let leader_index = leader(&cluster);
    cluster.add_routes(leader_index, 2000);
    run_for(&mut cluster, Duration::from_secs(2));
    cluster.bytes_sent = 0;
    cluster.add_routes(leader_index, 1);
    cluster.run_round(timing().heartbeat / 4);
    let route_count_of = |i: usize| cluster.nodes[i].disk.image.as_ref().map_or(0, |image| image.routes.len());
    assert!(cluster.running().iter().all(|i| route_count_of(*i) == 2001));
    assert!(cluster.bytes_sent < 20_000, "{} bytes", cluster.bytes_sent);
}

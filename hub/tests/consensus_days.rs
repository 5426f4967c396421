//! Days of the control nodes, step by step: cut off for twenty seconds, a second loss after a repair, hundreds of changes,
//! the first start.

mod model;

use std::time::Duration;

use hub::consensus::{Guards, Input, Message};
use model::{
    ALL_GUARDS,
    world::{DiskFate, World, history, timing},
};

const SYNC_TIME: Duration = Duration::from_secs(4);

fn calm(machines: usize, target_members: usize, guards: Guards) -> World {
    let mut world = World::new(machines, 3, target_members, guards);
    world.settle();
    world
}

fn leader(world: &World) -> usize {
    world.running().into_iter().find(|i| world.leads(*i)).expect("somebody leads")
}

fn run_for(world: &mut World, span: Duration) {
    let end = world.now + span;
    while world.now < end {
        world.run_on(timing().heartbeat / 4);
    }
}

fn cut_both_ways(world: &mut World, one: usize, others: &[usize]) {
    for other in others {
        world.cuts.push((one, *other));
        world.cuts.push((*other, one));
    }
}

fn assert_clean(world: &World) {
    assert!(world.monitor.violations.is_empty(), "{:?}", world.monitor.violations);
}

/// A leader is cut off for twenty seconds, to hear or to be heard or both, while operators send orders to both sides and
/// read; the same orders are sent to the other side again.
#[test]
fn a_leader_that_is_cut_off_for_twenty_seconds_confirms_nothing() {
    for way in 0..3 {
        let mut world = calm(3, 3, ALL_GUARDS);
        let old = leader(&world);
        let others: Vec<usize> = (0..3).filter(|i| *i != old).collect();
        for other in &others {
            if way != 1 {
                world.cuts.push((old, *other));
            }
            if way != 0 {
                world.cuts.push((*other, old));
            }
        }
        let mut sent = 0;
        let end = world.now + Duration::from_secs(20);
        while world.now < end {
            sent += 1;
            let after = world.newest_history().len();
            world.order(old, sent, after, DiskFate::Synced);
            world.read(old);
            run_for(&mut world, timing().heartbeat);
            if let Some(new) = others.iter().copied().find(|i| world.leads(*i)) {
                world.order(new, sent, after, DiskFate::Synced);
                world.read(new);
            }
            if world.now + Duration::from_secs(19) > end {
                assert!(!world.leads(old), "way {way}: it leads on after its lease");
            }
        }
        world.cuts.clear();
        run_for(&mut world, Duration::from_secs(2));
        assert_clean(&world);
        assert!(world.monitor.taken() > 0, "way {way}: the others took nothing");
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

/// Brings a loss about and waits until the machine, or its successor, has had its time.
fn lose(world: &mut World, index: usize, loss: Loss) {
    match loss {
        Loss::Killed => {
            world.kill(index);
            run_for(world, Duration::from_millis(700));
            world.start(index);
        }
        Loss::DiskLost => {
            world.kill(index);
            world.wipe(index);
            run_for(world, Duration::from_millis(700));
            world.start(index);
        }
        Loss::Replaced => {
            world.kill(index);
            world.wipe(index);
            world.nodes[index].removed = true;
            run_for(world, Duration::from_secs(1));
            world.add(3, false);
        }
        Loss::ReplacedAsPlanned => {
            world.add(3, false);
            run_for(world, Duration::from_secs(1));
            world.leave(index);
            run_for(world, Duration::from_millis(500));
            world.kill(index);
            world.wipe(index);
            world.nodes[index].removed = true;
        }
    }
    run_for(world, SYNC_TIME);
}

/// Any loss follows any other as soon as the bound allows it, on the leader, on the follower or on the one that was
/// repaired, three times in a row; afterwards all power is lost.
#[test]
fn a_second_and_third_loss_right_after_a_repair_leave_a_majority() {
    let mut days = 0;
    for (first, second, third) in triples() {
        for on_leader in [true, false] {
            let mut world = calm(3, 3, ALL_GUARDS);
            let mut orders = 0;
            for loss in [first, second, third] {
                let top = leader(&world);
                orders += 1;
                world.order(top, orders, orders as usize - 1, DiskFate::Synced);
                world.run_on(timing().heartbeat / 4);
                let members = world.member_indices();
                let victim = if on_leader { top } else { *members.iter().find(|i| **i != top).expect("a follower") };
                lose(&mut world, victim, loss);
            }
            for index in world.running() {
                world.kill(index);
            }
            assert!(world.recovers(), "{first:?} {second:?} {third:?} on the leader {on_leader}: nothing is taken");
            assert_clean(&world);
            days += 1;
        }
    }
    println!("{days} days of three losses and a loss of all power");
}

fn triples() -> impl Iterator<Item = (Loss, Loss, Loss)> {
    LOSSES.into_iter().flat_map(|a| LOSSES.into_iter().flat_map(move |b| LOSSES.into_iter().map(move |c| (a, b, c))))
}

/// With two losses borne and eight control machines over four zones.
#[test]
fn five_members_of_eight_bear_two_losses_at_once_and_again() {
    let mut world = World::new(8, 4, 5, ALL_GUARDS);
    world.settle();
    run_for(&mut world, Duration::from_secs(2));
    assert_eq!(world.member_indices().len(), 5);
    for round in 0..3 {
        let top = leader(&world);
        let others: Vec<usize> = world.member_indices().into_iter().filter(|i| *i != top).collect();
        for victim in [top, others[0]] {
            world.kill(victim);
            world.wipe(victim);
            world.nodes[victim].removed = true;
        }
        run_for(&mut world, Duration::from_secs(1));
        for _ in 0..2 {
            world.add(4, false);
        }
        run_for(&mut world, Duration::from_secs(6));
        let top = leader(&world);
        let after = world.newest_history().len();
        world.order(top, round + 1, after, DiskFate::Synced);
        run_for(&mut world, Duration::from_secs(1));
        assert!(world.monitor.acknowledged(round + 1), "round {round}");
        assert_eq!(world.member_indices().len(), 5, "round {round}");
        assert!(world.most_members_in_a_zone() <= 2, "round {round}: no zone may hold a majority");
    }
    assert_clean(&world);
}

/// One side of a cut replaces a member that it can't reach, while the other side elects: a change that only the new
/// members agreed to would leave two systems.
fn members_change_while_the_old_ones_elect(guards: Guards) -> Vec<String> {
    let mut found = Vec::new();
    for early in 0..12u32 {
        let mut world = calm(4, 3, guards);
        let top = leader(&world);
        let members = world.member_indices();
        let rest: Vec<usize> = members.into_iter().filter(|i| *i != top).collect();
        let spare = (0..4).find(|i| *i != top && !rest.contains(i)).expect("a spare");
        let (near, far) = (rest[0], rest[1]);
        cut_both_ways(&mut world, far, &[top, spare]);
        let until = world.now + timing().replace_after - timing().heartbeat * early / 8;
        while world.now < until {
            world.run_on(timing().heartbeat / 8);
        }
        cut_both_ways(&mut world, near, &[top, spare]);
        // Orders under way would put the change off.
        run_for(&mut world, timing().hold);
        for id in 1..30 {
            for index in world.running() {
                if world.leads(index) {
                    world.order(index, id * 10 + index as u32, 0, DiskFate::Synced);
                    world.read(index);
                }
            }
            run_for(&mut world, timing().heartbeat);
        }
        found.extend(world.monitor.violations.clone());
    }
    found
}

#[test]
fn members_change_by_agreement_of_old_and_new() {
    let found = members_change_while_the_old_ones_elect(ALL_GUARDS);
    assert!(found.is_empty(), "{found:?}");
    let found = members_change_while_the_old_ones_elect(Guards { no_joint: true, ..ALL_GUARDS });
    assert!(!found.is_empty(), "without the guard nothing was found");
}

/// A member that voted for a candidate which then vanished has a newer term than the only one that is up to date.
#[test]
fn a_member_that_voted_in_a_newer_term_does_not_block_the_election() {
    let mut world = calm(3, 3, ALL_GUARDS);
    let top = leader(&world);
    let rest: Vec<usize> = (0..3).filter(|i| *i != top).collect();
    // One order lies on the leader and one follower; the other follower has voted in a newer term.
    cut_both_ways(&mut world, rest[1], &[top, rest[0]]);
    world.order(top, 1, 0, DiskFate::Synced);
    run_for(&mut world, timing().heartbeat);
    assert!(world.monitor.acknowledged(1));
    world.kill(rest[1]);
    world.nodes[rest[1]].disk.term += 3;
    world.nodes[rest[1]].disk.voted_for = world.nodes[top].name.clone();
    world.kill(top);
    world.nodes[top].removed = true;
    assert!(world.recovers(), "the two that are left elect nobody");
    assert_clean(&world);
}

/// A member misses a change of the membership, and is then one of the two that are left: the other has the newest image,
/// and is a member that the first one's image does not name.
#[test]
fn a_member_that_missed_a_change_of_the_membership_votes_for_one_that_it_does_not_know() {
    let mut world = calm(4, 3, ALL_GUARDS);
    let top = leader(&world);
    let spare = (0..4).find(|i| !world.member_indices().contains(i)).expect("one stands by");
    let rest: Vec<usize> = world.member_indices().into_iter().filter(|i| *i != top).collect();
    let (away, leaving) = (rest[0], rest[1]);
    cut_both_ways(&mut world, away, &[top, leaving, spare]);
    world.leave(leaving);
    run_for(&mut world, timing().heartbeat * 8);
    assert!(world.member_indices().contains(&spare), "it takes the place of the one that leaves");
    world.kill(leaving);
    world.nodes[leaving].removed = true;
    assert!(world.bears_loss_of(top), "two of the three members' disks are left");
    world.kill(top);
    world.nodes[top].removed = true;
    assert!(world.recovers(), "the two that are left elect nobody");
    assert_clean(&world);
}

/// A member that was away for three hundred changes catches up before it can lead, by one image; its disk holds no more
/// than the others'.
#[test]
fn a_member_away_for_three_hundred_changes_never_leads_with_old_state() {
    let mut world = calm(3, 3, ALL_GUARDS);
    let top = leader(&world);
    let away = (top + 1) % 3;
    world.kill(away);
    for id in 1..=300 {
        let top = leader(&world);
        world.order(top, id, id as usize - 1, DiskFate::Synced);
        world.run_on(timing().heartbeat / 4);
    }
    assert_eq!(world.monitor.taken(), 300);
    world.start(away);
    let begun = world.now;
    let images = world.images_sent;
    while world.nodes[away].disk.image.as_ref().is_none_or(|i| history(i).len() < 300) {
        assert!(world.now < begun + Duration::from_secs(1), "it did not catch up within a second");
        world.run_on(timing().heartbeat / 4);
    }
    println!("caught up in {:?} with {} images sent", world.now - begun, world.images_sent - images);
    assert!(world.images_sent - images <= 2);
    world.kill(leader(&world));
    assert!(world.recovers());
    assert_clean(&world);
}

/// Each of the first control nodes loses power at each step of the first start, and comes back with its disk.
#[test]
fn the_first_start_outlives_a_loss_of_power_at_any_step() {
    for victim in 0..3 {
        for steps in 0..12 {
            let mut world = World::new(3, 3, 3, ALL_GUARDS);
            for _ in 0..steps {
                world.run_some(timing().heartbeat / 4, 3);
            }
            world.kill(victim);
            world.start(victim);
            assert!(world.recovers(), "node {victim} after {steps} steps: nothing is taken");
            assert_clean(&world);
        }
    }
}

/// Later settings name three empty machines, while those that hold the state are not to be reached.
fn empty_seeds_far_from_the_state(guards: Guards) -> World {
    let mut world = calm(3, 3, guards);
    let top = leader(&world);
    world.order(top, 1, 0, DiskFate::Synced);
    run_for(&mut world, timing().heartbeat);
    for index in 0..3 {
        world.nodes[index].removed = true;
        world.kill(index);
    }
    world.seeds = vec![3, 4, 5];
    (0..3).for_each(|_| {
        world.add(3, false);
    });
    run_for(&mut world, Duration::from_secs(5));
    for index in 3..6 {
        world.read(index);
    }
    run_for(&mut world, Duration::from_secs(1));
    world
}

#[test]
fn empty_machines_form_no_second_system() {
    let world = empty_seeds_far_from_the_state(ALL_GUARDS);
    assert!(world.running().iter().all(|i| !world.leads(*i)));
    assert_clean(&world);
    let world = empty_seeds_far_from_the_state(Guards { form_again: true, ..ALL_GUARDS });
    assert!(!world.monitor.violations.is_empty(), "without the guard nothing was found");
}

/// A large image on its way holds up no heartbeat: while it takes ten election spans to come, the lead stays where it is.
#[test]
fn the_lead_stays_while_a_large_image_is_under_way() {
    let mut world = calm(5, 5, ALL_GUARDS);
    let top = leader(&world);
    let term = world.nodes[top].disk.term;
    world.add_doorways(top, 2000);
    let carries_image = |world: &World, at: usize| match &world.messages[at].message {
        Message::Heartbeat(h) => h.image.is_some() || h.delta.is_some(),
        _ => false,
    };
    let end = world.now + timing().hold * 10;
    while world.now < end {
        world.elapse(timing().heartbeat / 4);
        for index in world.running() {
            world.input(index, Input::Tick);
        }
        let mut at = 0;
        while at < world.messages.len() {
            if carries_image(&world, at) {
                at += 1;
            } else {
                world.deliver(at, DiskFate::Synced);
            }
        }
        assert!(world.leads(top), "it lost the lead at {:?}", world.now);
    }
    run_for(&mut world, Duration::from_secs(1));
    assert!(world.leads(top));
    let rows = |i: usize| world.nodes[i].disk.image.as_ref().map_or(0, |image| image.routes.len());
    for index in world.running() {
        assert_eq!((world.nodes[index].disk.term, rows(index)), (term, 2000), "h{index}");
    }
    assert_clean(&world);
}

/// The next leader finds what the one before it wrote: it is told in some bytes, however large the image is.
#[test]
fn a_change_of_the_lead_costs_no_image() {
    let bytes = |doorways: usize| {
        let mut world = calm(5, 5, ALL_GUARDS);
        let old = leader(&world);
        world.add_doorways(old, doorways);
        run_for(&mut world, Duration::from_secs(2));
        world.bytes_sent = 0;
        world.leave(old);
        run_for(&mut world, Duration::from_secs(1));
        assert!(!world.leads(old) && world.leads(leader(&world)));
        assert_clean(&world);
        world.bytes_sent
    };
    let (few, many) = (bytes(20), bytes(2000));
    assert!(many < few * 2, "{few} bytes with 20 doorways, {many} with 2000");
}

/// A change to one doorway of thousands is told as that one, to each of the others.
#[test]
fn a_small_change_to_a_large_image_costs_little() {
    let mut world = calm(5, 5, ALL_GUARDS);
    let top = leader(&world);
    world.add_doorways(top, 2000);
    run_for(&mut world, Duration::from_secs(2));
    world.bytes_sent = 0;
    world.add_doorways(top, 1);
    world.run_on(timing().heartbeat / 4);
    let rows = |i: usize| world.nodes[i].disk.image.as_ref().map_or(0, |image| image.routes.len());
    assert!(world.running().iter().all(|i| rows(*i) == 2001));
    assert!(world.bytes_sent < 20_000, "{} bytes", world.bytes_sent);
}

//! Leases and the runs of nodes' processes that hold them.

use std::time::Duration;

use hub::leases::{Holder, LeaseTable, Share};
use wire::{HeldShare, NodeHeartbeat};

const SPAN: Duration = Duration::from_secs(2);
const NOW: Duration = Duration::from_secs(100);

fn holder(boot: u64, nonce: u64) -> Holder<'static> {
    Holder { node: "n1", boot, nonce }
}

fn beat(boot: u64, heard: u64) -> NodeHeartbeat {
    NodeHeartbeat { name: "n1".into(), boot_id: boot, last_ack_nonce: heard, ..NodeHeartbeat::default() }
}

fn table() -> LeaseTable {
    let mut table = LeaseTable::new(Duration::ZERO);
    table.told(
        &NodeHeartbeat {
            shares: vec![HeldShare { server: "s1".into(), want: 9, ..HeldShare::default() }],
            ..beat(2, 0)
        },
        NOW,
    );
    table.give_primary("g1", holder(2, 5), NOW + SPAN);
    assert_eq!(
        table.share("s1", holder(2, 5), 9, NOW, NOW + SPAN, false),
        Share { count: 9, scarce: false, sharers: 1 }
    );
    table
}

/// The last heartbeat of an earlier run is held up and comes after the next run was given its leases.
#[test]
fn word_of_an_earlier_run_takes_no_lease_of_the_next_run_back() {
    let mut table = table();
    table.told(&NodeHeartbeat { leaving: true, ..beat(1, 900) }, NOW);
    table.told(&beat(1, 900), NOW);
    let empty = HeldShare { server: "s1".into(), ..HeldShare::default() };
    table.told(&NodeHeartbeat { shares: vec![empty], ..beat(1, 900) }, NOW);
    assert!(!table.primary_free("g1", NOW));
    assert_eq!(table.out(NOW), [("s1".to_string(), "n1".to_string(), 9)]);
}

#[test]
fn a_run_hands_its_own_leases_back() {
    let mut table = table();
    table.told(&beat(2, 6), NOW);
    assert!(table.primary_free("g1", NOW));
    let mut table = self::table();
    table.told(&NodeHeartbeat { leaving: true, ..beat(2, 0) }, NOW);
    assert!(table.primary_free("g1", NOW) && table.out(NOW).is_empty());
}

#[test]
fn leases_run_out_and_are_inherited_with_the_run_that_holds_them() {
    let table = table();
    let left = table.left(NOW);
    let mut next = LeaseTable::inherit(NOW, NOW, &left);
    next.told(&NodeHeartbeat { leaving: true, ..beat(1, 900) }, NOW);
    assert!(!next.primary_free("g1", NOW + SPAN));
    assert!(next.primary_free("g1", NOW + SPAN + Duration::from_millis(2)));
}

const NODES: usize = 12;
const CAP: u64 = 9;
const HEARTBEAT: Duration = Duration::from_millis(250);

/// Twelve nodes that all want a connection, over a minute: the longest time that any of them had none, and the most
/// connections that were out at once.
fn longest_without_a_share(soft: bool) -> (Duration, u64) {
    let names: Vec<String> = (0..NODES).map(|i| format!("n{i:02}")).collect();
    let mut table = LeaseTable::new(Duration::ZERO);
    let mut held = [0; NODES];
    let mut since = [NOW; NODES];
    let (mut longest, mut most) = (Duration::ZERO, 0);
    for turn in 1..=240 {
        let now = NOW + HEARTBEAT * turn;
        for (i, name) in names.iter().enumerate() {
            let told = HeldShare { server: "s1".into(), count: held[i], want: 1 };
            let nonce = u64::from(turn);
            let beat = NodeHeartbeat {
                name: name.clone(),
                boot_id: 1,
                last_ack_nonce: nonce,
                shares: vec![told],
                ..NodeHeartbeat::default()
            };
            table.told(&beat, now);
            let to = Holder { node: name, boot: 1, nonce };
            let share = table.share("s1", to, CAP, now, now + SPAN, soft);
            assert!(share.scarce || turn == 1, "the nodes are not told that connections are scarce");
            held[i] = share.count;
            if held[i] > 0 {
                since[i] = now;
            }
            longest = longest.max(now - since[i]);
        }
        most = most.max(table.out(now).iter().map(|(_, _, count)| count).sum());
    }
    (longest, most)
}

/// With more nodes than connections, which nodes go without must not follow from their names.
#[test]
fn with_more_nodes_than_connections_every_node_gets_its_turn() {
    let (longest, most) = longest_without_a_share(false);
    assert!(most <= CAP, "{most} of {CAP} connections were out");
    assert!(longest <= SPAN * 4, "a node had no connection for {longest:?}");
}

/// A server that counts its connections itself turns away what is over its cap: every node may try.
#[test]
fn every_node_may_try_a_server_that_guards_its_own_cap() {
    let (longest, _) = longest_without_a_share(true);
    assert!(longest <= SPAN, "a node had no connection for {longest:?}");
}

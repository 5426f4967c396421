//! Leases, and the runs of the nodes' processes that hold them.

use std::time::Duration;

use hub::leases::{Holder, LeaseTable, Share};
use wire::{HeldShare, NodeHeartbeat};

const LEASE_DURATION: Duration = Duration::from_secs(2);
const NOW: Duration = Duration::from_secs(100);

fn holder(boot: u64, nonce: u64) -> Holder<'static> {
    Holder { node: "n1", boot_id: boot, nonce }
}

fn heartbeat(boot: u64, last_ack_nonce: u64) -> NodeHeartbeat {
    NodeHeartbeat { name: "n1".into(), boot_id: boot, last_ack_nonce, ..NodeHeartbeat::default() }
}

fn table() -> LeaseTable {
    let mut table = LeaseTable::new(Duration::ZERO);
    table.record_heartbeat(
        &NodeHeartbeat {
            shares: vec![HeldShare { server: "s1".into(), wanted: 9, ..HeldShare::default() }],
            ..heartbeat(2, 0)
        },
        NOW,
    );
    table.grant_primary("g1", holder(2, 5), NOW + LEASE_DURATION);
    assert_eq!(
        table.grant_share("s1", holder(2, 5), 9, NOW, NOW + LEASE_DURATION, false),
        Share { count: 9, scarce: false, sharers: 1 }
    );
    table
}

/// The last heartbeat of an earlier run is delayed and arrives after the next run has received its leases.
#[test]
fn a_report_of_an_earlier_run_takes_back_no_lease_of_the_next_run() {
    let mut table = table();
    table.record_heartbeat(&NodeHeartbeat { leaving: true, ..heartbeat(1, 900) }, NOW);
    table.record_heartbeat(&heartbeat(1, 900), NOW);
    let empty = HeldShare { server: "s1".into(), ..HeldShare::default() };
    table.record_heartbeat(&NodeHeartbeat { shares: vec![empty], ..heartbeat(1, 900) }, NOW);
    assert!(!table.primary_free("g1", NOW));
    assert_eq!(table.outstanding_shares(NOW), [("s1".to_string(), "n1".to_string(), 9)]);
}

#[test]
fn a_run_gives_its_own_leases_back() {
    let mut table = table();
    table.record_heartbeat(&heartbeat(2, 6), NOW);
    assert!(table.primary_free("g1", NOW));
    let mut table = self::table();
    table.record_heartbeat(&NodeHeartbeat { leaving: true, ..heartbeat(2, 0) }, NOW);
    assert!(table.primary_free("g1", NOW) && table.outstanding_shares(NOW).is_empty());
}

#[test]
fn leases_run_out_and_are_inherited_with_the_run_that_holds_them() {
    let table = table();
    let outstanding = table.outstanding_primary_leases(NOW);
    let mut next = LeaseTable::inherit(NOW, NOW, &outstanding);
    next.record_heartbeat(&NodeHeartbeat { leaving: true, ..heartbeat(1, 900) }, NOW);
    assert!(!next.primary_free("g1", NOW + LEASE_DURATION));
    assert!(next.primary_free("g1", NOW + LEASE_DURATION + Duration::from_millis(2)));
}

const NODE_COUNT: usize = 12;
const CONNECTION_CAP: u64 = 9;
const HEARTBEAT: Duration = Duration::from_millis(250);

/// Simulates twelve nodes that each request a connection, for one minute. Returns the longest time that a node had
/// none, and the maximum number of connections leased at the same time.
fn longest_without_a_share(enforces_own_cap: bool) -> (Duration, u64) {
    let names: Vec<String> = (0..NODE_COUNT).map(|i| format!("n{i:02}")).collect();
    let mut table = LeaseTable::new(Duration::ZERO);
    let mut held = [0; NODE_COUNT];
    let mut since = [NOW; NODE_COUNT];
    let (mut longest, mut max_leased) = (Duration::ZERO, 0);
    for round in 1..=240 {
        let now = NOW + HEARTBEAT * round;
        for (i, name) in names.iter().enumerate() {
            let held_share = HeldShare { server: "s1".into(), count: held[i], wanted: 1 };
            let nonce = u64::from(round);
            let heartbeat = NodeHeartbeat {
                name: name.clone(),
                boot_id: 1,
                last_ack_nonce: nonce,
                shares: vec![held_share],
                ..NodeHeartbeat::default()
            };
            table.record_heartbeat(&heartbeat, now);
            let holder = Holder { node: name, boot_id: 1, nonce };
            let share = table.grant_share("s1", holder, CONNECTION_CAP, now, now + LEASE_DURATION, enforces_own_cap);
            assert!(share.scarce || round == 1, "a node was not informed that connections are scarce");
            held[i] = share.count;
            if held[i] > 0 {
                since[i] = now;
            }
            longest = longest.max(now - since[i]);
        }
        max_leased = max_leased.max(table.outstanding_shares(now).iter().map(|(_, _, count)| count).sum());
    }
    (longest, max_leased)
}

/// With more nodes than connections, the nodes' names must not decide which of them have none.
#[test]
fn with_more_nodes_than_connections_every_node_gets_its_turn() {
    let (longest, max_leased) = longest_without_a_share(false);
    assert!(max_leased <= CONNECTION_CAP, "{max_leased} connections were leased out; the cap is {CONNECTION_CAP}");
    assert!(longest <= LEASE_DURATION * 4, "a node had no connection for {longest:?}");
}

/// A server that enforces its own cap rejects excess connections, so every node may try.
#[test]
fn every_node_may_try_a_server_that_guards_its_own_cap() {
    let (longest, _) = longest_without_a_share(true);
    assert!(longest <= LEASE_DURATION, "a node had no connection for {longest:?}");
}

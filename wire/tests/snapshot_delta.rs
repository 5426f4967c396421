//! State snapshots as deltas: a delta results in exactly the state that was published, and deltas that are lost,
//! repeated or reordered on their way never result in any other state.

use std::rc::Rc;

use bolero::check;
use wire::{
    Election, FullSnapshot, Group, Image, LegacyOrder, Limits, Node, Route, Server, ServerLog, Snapshot, SnapshotDelta,
    SnapshotVersion, snapshot::DeltaError,
};

/// Applies one change, given by three bytes: the kind of item, its name, and its new value.
fn change(snapshot: &mut FullSnapshot, [kind, name, value]: [u8; 3]) {
    let image = snapshot.image.as_mut().expect("an image");
    let (name, value) = (format!("x{}", name % 12), u64::from(value));
    // A third of the changes remove the item.
    let removed = value % 3 == 0;
    macro_rules! set {
        ($list:expr, $field:ident, $new:expr) => {{
            $list.retain(|item| item.$field != name);
            if !removed {
                $list.push($new);
            }
        }};
    }
    match kind % 9 {
        0 => set!(image.routes, name, Route { name: name.clone(), max_staleness_ms: value, ..Route::default() }),
        1 => set!(image.groups, name, Group { name: name.clone(), cap: value, ..Group::default() }),
        2 => set!(image.elections, group, Election { group: name.clone(), epoch: value, ..Election::default() }),
        3 => set!(image.logs, server, ServerLog { server: name.clone(), log_id: value, ..ServerLog::default() }),
        4 => set!(snapshot.servers, name, Server { name: name.clone(), report_seq: value, ..Server::default() }),
        5 => set!(snapshot.nodes, name, Node { name: name.clone(), depth: value as u32, ..Node::default() }),
        6 if removed => image.evacuated_zones.retain(|zone| *zone != name),
        6 if !image.evacuated_zones.contains(&name) => image.evacuated_zones.push(name),
        7 => image.limits = (!removed).then_some(Limits { statement_ms: value, idle_ms: 7 }),
        _ => image.sequence += value,
    }
}

fn start() -> FullSnapshot {
    FullSnapshot {
        version: Some(SnapshotVersion { term: 1, count: 1 }),
        image: Some(Image::default()),
        ..FullSnapshot::default()
    }
}

/// The snapshots that a sequence of changes publishes, three changes each. A snapshot whose
/// first change has a kind divisible by 8 begins a new term.
fn published(changes: &[[u8; 3]]) -> Vec<Snapshot> {
    let mut state = start();
    let mut all = vec![Snapshot::from_message(state.clone()).expect("a complete message")];
    for chunk in changes.chunks(3) {
        chunk.iter().for_each(|c| change(&mut state, *c));
        let version = state.version.as_mut().expect("a version mark");
        match chunk[0][0] % 8 {
            0 => *version = SnapshotVersion { term: version.term + 1, count: 1 },
            _ => version.count += 1,
        }
        all.push(Snapshot::from_message(state.clone()).expect("a complete message"));
    }
    all
}

fn deltas(all: &[Snapshot]) -> Vec<SnapshotDelta> {
    all.windows(2).map(|pair| pair[0].delta_to(&pair[1])).collect()
}

#[test]
fn a_delta_between_any_two_states_leads_to_the_newer_one() {
    check!().with_type::<Vec<[u8; 3]>>().with_iterations(2_000).for_each(|changes| {
        let all = published(changes);
        for (i, old) in all.iter().enumerate() {
            for new in &all[i + 1..] {
                assert_eq!(old.apply(&old.delta_to(new)).as_ref(), Ok(new));
            }
        }
    });
}

/// Applies deltas in any order, some repeatedly and some never, and the full snapshot where a delta does not fit.
#[test]
fn lost_doubled_and_reordered_deltas_yield_only_published_states_and_in_the_end_the_newest() {
    check!().with_type::<(Vec<[u8; 3]>, Vec<u8>)>().with_iterations(2_000).for_each(|(changes, order)| {
        let all = published(changes);
        let deltas = deltas(&all);
        let newest = all.last().expect("a first state");
        let mut held = all[0].clone();
        let last = deltas.len().checked_sub(1);
        let picked = order.iter().filter(|_| !deltas.is_empty()).map(|at| usize::from(*at) % deltas.len());
        for (step, at) in picked.chain(last).enumerate() {
            let before = held.version;
            match held.apply(&deltas[at]) {
                Ok(new) => held = new,
                Err(DeltaError::Old) => {}
                // A parent responds with its newest snapshot; at the last request this is the newest of all.
                Err(DeltaError::Gap) if step == order.len() => held = newest.clone(),
                Err(DeltaError::Gap) => {
                    let full = Snapshot::from_message(all[at + 1].to_message()).expect("a complete message");
                    assert_eq!(full, all[at + 1]);
                    held = full;
                }
                Err(DeltaError::Digest) => panic!("a delta that fits leads to another state"),
            }
            assert!(held.version >= before, "went back from {before:?} to {:?}", held.version);
            assert!(all.contains(&held), "{held:?} was never published");
        }
        assert_eq!(held, *newest);
    });
}

/// The digest rejects a delta that claims a base other than its own. Without that check the result would be a state
/// that was never published, which the second half shows.
#[test]
fn a_delta_forced_onto_another_state_is_rejected_by_its_digest() {
    let all = published(&[[0, 1, 1], [0, 2, 2], [0, 3, 4], [0, 5, 5], [0, 6, 7], [0, 7, 8]]);
    let mut forced = all[1].delta_to(&all[2]);
    forced.base_version = Some(all[0].version);
    assert_eq!(all[0].apply(&forced), Err(DeltaError::Digest));
    // With a forged digest the check passes, and the result is none of the published states.
    let mut mixed = all[0].to_message();
    mixed.version = forced.version;
    let image = mixed.image.as_mut().expect("an image");
    image.routes.extend(forced.routes.clone());
    image.sequence = forced.sequence;
    forced.digest = Snapshot::from_message(mixed).expect("a complete message").digest();
    let wrong = all[0].apply(&forced).expect("no guard is left");
    assert!(!all.contains(&wrong));
}

#[test]
fn a_delta_never_leads_back_nor_over_a_gap() {
    let all = published(&[[0, 1, 1], [0, 2, 2], [0, 3, 4], [0, 1, 5], [0, 2, 7], [0, 3, 8]]);
    let delta = all[0].delta_to(&all[1]);
    assert_eq!(all[1].apply(&delta), Err(DeltaError::Old));
    assert_eq!(all[2].apply(&delta), Err(DeltaError::Old));
    assert_eq!(all[0].apply(&all[1].delta_to(&all[2])), Err(DeltaError::Gap));
    // A newer term is newer whatever its count, and its delta still applies to its exact base only.
    let mut later = all[1].clone();
    later.version = SnapshotVersion { term: all[2].version.term + 1, count: 1 };
    assert_eq!(all[2].apply(&all[1].delta_to(&later)), Err(DeltaError::Gap));
    assert_eq!(all[2].apply(&all[2].delta_to(&later)).map(|new| new.version), Ok(later.version));
}

#[test]
fn nodes_are_not_sent_what_only_control_nodes_need() {
    let mut message = start();
    let image = message.image.as_mut().expect("an image");
    image.legacy_orders.push(LegacyOrder { number: 1, sum: 2 });
    image.members.push(Default::default());
    image.server_addresses.push(Default::default());
    image.note = "the operators' own".into();
    image.routes.push(Route { name: "a".into(), note: "long".into(), ..Route::default() });
    let sent = Snapshot::from_message(message).expect("a complete message").to_message().image.expect("an image");
    assert!(
        sent.legacy_orders.is_empty()
            && sent.members.is_empty()
            && sent.server_addresses.is_empty()
            && sent.note.is_empty()
    );
    assert_eq!(sent.routes[..], [Route { name: "a".into(), ..Route::default() }]);
}

#[test]
fn a_server_of_which_only_the_count_of_reports_rose_is_not_sent_again() {
    let mut message = start();
    message.servers.push(Server { name: "s".into(), report_seq: 1, ..Server::default() });
    let old = Snapshot::from_message(message.clone()).expect("a complete message");
    message.version = Some(SnapshotVersion { term: 1, count: 2 });
    message.servers[0].report_seq = 9;
    let mut new = Snapshot::from_message(message.clone()).expect("a complete message");
    new.keep_unchanged(&old);
    assert!(old.delta_to(&new).servers.is_empty());
    assert!(Rc::ptr_eq(&old.image, &new.image));
    message.servers[0].draining = true;
    let mut new = Snapshot::from_message(message).expect("a complete message");
    new.keep_unchanged(&old);
    assert_eq!(old.delta_to(&new).servers, new.servers);
}

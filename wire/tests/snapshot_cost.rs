//! What a change of one server costs must not depend on the number of routes: nodes with a tenth of a core would
//! otherwise do nothing else beside a large configuration.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use wire::{Group, Image, Route, Server, Snapshot, SnapshotVersion, snapshot::image_for_nodes};

const SERVERS: usize = 90;
const FEW_ROUTES: usize = 40;
const MANY_ROUTES: usize = 14_000;
/// The shortest of this many runs is taken, so that a busy machine does not count.
const RUNS: usize = 400;

fn image(routes: usize) -> Rc<Image> {
    let route = |i: usize| Route { name: format!("db{i}"), group: format!("g{}", i % 30), ..Route::default() };
    let group = |i: usize| Group {
        name: format!("g{i}"),
        servers: (0..3).map(|k| format!("s{i}-{k}")).collect(),
        confirms: true,
        ..Group::default()
    };
    Rc::new(image_for_nodes(&Image {
        routes: (0..routes).map(route).collect(),
        groups: (0..30).map(group).collect(),
        ..Image::default()
    }))
}

fn servers(draining: bool) -> Vec<Server> {
    let server = |i: usize| Server { name: format!("s{}-{}", i / 3, i % 3), zone: "north".into(), ..Server::default() };
    let mut servers: Vec<Server> = (0..SERVERS).map(server).collect();
    servers[7].draining = draining;
    servers
}

fn snapshot(image: &Rc<Image>, count: u64) -> Snapshot {
    Snapshot::new(SnapshotVersion { term: 1, count }, image.clone(), servers(count > 1), Vec::new())
}

fn shortest(mut run: impl FnMut()) -> Duration {
    let time = |_| {
        let start = Instant::now();
        run();
        start.elapsed()
    };
    (0..RUNS).map(time).min().unwrap_or_default()
}

/// The shortest times in which the leader publishes the change of one server, and a node applies it.
fn times(routes: usize) -> (Duration, Duration) {
    let image = image(routes);
    let old = snapshot(&image, 1);
    let delta = old.delta_to(&snapshot(&image, 2));
    assert_eq!(delta.servers.len(), 1);
    let leader = shortest(|| {
        let mut new = snapshot(&image, 2);
        new.keep_unchanged(&old);
        std::hint::black_box(old.delta_to(&new));
    });
    let node = shortest(|| drop(std::hint::black_box(old.apply(&delta).expect("the delta applies"))));
    (leader, node)
}

#[test]
fn a_servers_change_costs_the_same_beside_few_and_many_routes() {
    let ((leader_few, node_few), (leader_many, node_many)) = (times(FEW_ROUTES), times(MANY_ROUTES));
    println!("leader {leader_few:?} and {leader_many:?}, node {node_few:?} and {node_many:?}");
    assert!(leader_many < leader_few * 3, "leader: {leader_few:?} beside {FEW_ROUTES} routes, {leader_many:?}");
    assert!(node_many < node_few * 3 / 2, "node: {node_few:?} beside {FEW_ROUTES} routes, {node_many:?}");
}

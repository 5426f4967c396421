//! Large frames over a slow link: heartbeats are sent between their pieces, and snapshots and deltas keep their order.

use std::{cell::RefCell, rc::Rc, time::Duration};

use base::Env;
use kit::sim::Sim;
use wire::{Body, FullSnapshot, Hello, Image, NodeHeartbeat, Route, SnapshotDelta, SnapshotVersion, open};

fn address() -> std::net::SocketAddr {
    "10.1.0.9:9000".parse().expect("an address")
}

fn hello(pieces: bool) -> Body {
    Body::Hello(Hello { name: "n".into(), accepts_pieces: pieces, ..Hello::default() })
}

/// A full snapshot that fills many pieces even when compressed.
fn large_snapshot(count: u64) -> Body {
    let mut state = 1u64;
    let mut random = move || {
        state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        state >> 33
    };
    let route = |_| Route { name: format!("{:x}{:x}{:x}", random(), random(), random()), ..Route::default() };
    let image = Image { routes: (0..6000).map(route).collect(), ..Image::default() };
    Body::FullSnapshot(FullSnapshot {
        version: Some(SnapshotVersion { term: 1, count }),
        image: Some(image),
        ..FullSnapshot::default()
    })
}

fn small_delta(count: u64) -> Body {
    Body::SnapshotDelta(SnapshotDelta { version: Some(SnapshotVersion { term: 1, count }), ..SnapshotDelta::default() })
}

fn heartbeat(nonce: u64) -> Body {
    Body::NodeHeartbeat(NodeHeartbeat { nonce, ..NodeHeartbeat::default() })
}

fn label(body: &Body) -> String {
    match body {
        Body::FullSnapshot(snapshot) => format!("large {}", snapshot.version.unwrap_or_default().count),
        Body::SnapshotDelta(delta) => format!("small {}", delta.version.unwrap_or_default().count),
        Body::NodeHeartbeat(heartbeat) => format!("heartbeat {}", heartbeat.nonce),
        other => format!("{other:?}"),
    }
}

/// The frames, in the order of arrival, that are received over a link after `bodies` were queued at once.
fn received(receiver_accepts_pieces: bool, bodies: Vec<Body>) -> Vec<String> {
    let sim = Sim::new(1);
    let (near, far) = (sim.add_host("near", "north"), sim.add_host("far", "south"));
    let (near, far): (Env, Env) = (sim.env(near), sim.env(far));
    let out: Rc<RefCell<Vec<String>>> = Rc::default();
    let (labels, count) = (out.clone(), bodies.len());
    let env = far.clone();
    far.spawn(async move {
        let listener = env.listen(address()).await.expect("the address is free");
        let (mut input, output) = open(&env, listener.accept().await.expect("a link"));
        output.send(hello(receiver_accepts_pieces));
        let _ = input.next().await;
        for _ in 0..count {
            let body = input.next().await.expect("a frame");
            labels.borrow_mut().push(label(&body));
        }
    })
    .detach();
    sim.run_for(Duration::from_millis(5));
    let env = near.clone();
    near.spawn(async move {
        let stream = env.connect(address(), Duration::from_secs(1)).await.expect("a link");
        let (mut input, output) = open(&env, stream);
        output.send(hello(true));
        let _ = input.next().await;
        assert!(bodies.into_iter().all(|body| output.send(body)));
        std::future::pending::<()>().await;
    })
    .detach();
    sim.run_for(Duration::from_secs(20));
    out.borrow().clone()
}

#[test]
fn heartbeats_overtake_large_snapshots_and_snapshots_keep_their_order() {
    let out = received(
        true,
        vec![large_snapshot(1), small_delta(2), heartbeat(1), large_snapshot(3), small_delta(4), heartbeat(2)],
    );
    assert_eq!(out, ["heartbeat 1", "heartbeat 2", "large 1", "small 2", "large 3", "small 4"]);
}

#[test]
fn a_side_that_takes_no_pieces_gets_whole_frames() {
    let mut out = received(false, vec![large_snapshot(1), small_delta(2), heartbeat(1)]);
    out.sort();
    assert_eq!(out, ["heartbeat 1", "large 1", "small 2"]);
}

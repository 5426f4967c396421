//! Large frames over a slow way: heartbeats go between their pieces, and news keeps its order.

use std::{cell::RefCell, rc::Rc, time::Duration};

use base::Env;
use kit::sim::Sim;
use wire::{Body, FullSnapshot, Hello, Image, NodeHeartbeat, Route, SnapshotDelta, SnapshotVersion, open};

fn address() -> std::net::SocketAddr {
    "10.1.0.9:9000".parse().expect("an address")
}

fn hello(pieces: bool) -> Body {
    Body::Hello(Hello { name: "n".into(), pieces, ..Hello::default() })
}

/// News that fills many pieces, also when it is compressed.
fn large_news(count: u64) -> Body {
    let mut state = 1u64;
    let mut random = move || {
        state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        state >> 33
    };
    let doorway = |_| Route { name: format!("{:x}{:x}{:x}", random(), random(), random()), ..Route::default() };
    let image = Image { routes: (0..6000).map(doorway).collect(), ..Image::default() };
    Body::FullSnapshot(FullSnapshot {
        version: Some(SnapshotVersion { term: 1, count }),
        image: Some(image),
        ..FullSnapshot::default()
    })
}

fn small_news(count: u64) -> Body {
    Body::SnapshotDelta(SnapshotDelta { version: Some(SnapshotVersion { term: 1, count }), ..SnapshotDelta::default() })
}

fn heartbeat(nonce: u64) -> Body {
    Body::NodeHeartbeat(NodeHeartbeat { nonce, ..NodeHeartbeat::default() })
}

fn label(body: &Body) -> String {
    match body {
        Body::FullSnapshot(n) => format!("large {}", n.version.unwrap_or_default().count),
        Body::SnapshotDelta(d) => format!("small {}", d.version.unwrap_or_default().count),
        Body::NodeHeartbeat(b) => format!("beat {}", b.nonce),
        other => format!("{other:?}"),
    }
}

/// What comes out at the other side of a link after `bodies` were queued at once.
fn carried(receiver_takes_pieces: bool, bodies: Vec<Body>) -> Vec<String> {
    let sim = Sim::new(1);
    let (near, far) = (sim.host("near", "north"), sim.host("far", "south"));
    let (near, far): (Env, Env) = (sim.env(near), sim.env(far));
    let out: Rc<RefCell<Vec<String>>> = Rc::default();
    let (told, count) = (out.clone(), bodies.len());
    let env = far.clone();
    far.spawn(async move {
        let listener = env.listen(address()).await.expect("the address is free");
        let (mut input, output) = open(&env, listener.accept().await.expect("a link"));
        output.send(hello(receiver_takes_pieces));
        let _ = input.next().await;
        for _ in 0..count {
            let body = input.next().await.expect("a frame");
            told.borrow_mut().push(label(&body));
        }
    })
    .detach();
    sim.pass(Duration::from_millis(5));
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
    sim.pass(Duration::from_secs(20));
    out.borrow().clone()
}

#[test]
fn heartbeats_overtake_large_news_and_news_keeps_its_order() {
    let out =
        carried(true, vec![large_news(1), small_news(2), heartbeat(1), large_news(3), small_news(4), heartbeat(2)]);
    assert_eq!(out, ["beat 1", "beat 2", "large 1", "small 2", "large 3", "small 4"]);
}

#[test]
fn a_side_that_takes_no_pieces_gets_whole_frames() {
    let mut out = carried(false, vec![large_news(1), small_news(2), heartbeat(1)]);
    out.sort();
    assert_eq!(out, ["beat 1", "large 1", "small 2"]);
}

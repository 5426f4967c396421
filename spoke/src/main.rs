//! The data plane's program.

use std::{cell::RefCell, rc::Rc, time::Duration};

use base::{
    Env, boot,
    http::{self, Door},
    seam::Part,
};

base::flags!("The data plane of portspoke: takes callers' statements and brings them to the right server.");

#[compio::main]
async fn main() {
    let flags = flags();
    if let Some(path) = boot::given(&flags, platform::VARIABLE) {
        return on_platform(&path).await;
    }
    let (set, place) = boot::must_load(&flags, false);
    boot::log(&set.log);
    let signals = boot::Signals::new().await;
    let env = boot::world(None);
    let spoke = match spoke::run(&env, &place, Default::default()).await {
        Ok(s) => s,
        Err(e) => boot::fail(&format!("http {} or peer {}: {e}", place.http, place.peer)),
    };
    let take = |place: &base::settings::Place| {
        spoke.policy(&place.policy);
        "policy"
    };
    signals.until_end(&env, &flags, take).await;
    spoke.leave().await;
}

/// Runs under the users' platform, whose settings file is at `path`.
async fn on_platform(path: &std::path::Path) {
    let given = platform::load(path, false).unwrap_or_else(|e| boot::wrong(&e));
    let place = boot::place_of(&given.set, "settings");
    boot::log(&given.set.log);
    let signals = boot::Signals::new().await;
    let env = boot::world(None);
    let spoke = match spoke::run_in(&env, &place, Default::default(), Some(platform::Speech::shared())).await {
        Ok(s) => s,
        Err(e) => boot::fail(&format!("http {} or peer {}: {e}", place.http, place.peer)),
    };
    let host = spoke.host();
    let door = Door::new(place.most_sessions, place.most_body);
    let probe = Door::new(64, 1 << 10);
    let mut tree = base::tree::Tree::new(&env);
    if let Some(addr) = given.access {
        let sock = bind(&env, addr).await;
        let (e, d, h) = (env.clone(), door.clone(), host.clone());
        let step = place.bounds.pulse();
        tree.child("able", move || able(e.clone(), d.clone(), h.clone(), step));
        let (e, d, h) = (env.clone(), door.clone(), host.clone());
        tree.child("access", move || platform::serve(e.clone(), sock.clone(), d.clone(), h.clone()));
    }
    if let Some(addr) = given.ready {
        let sock = bind(&env, addr).await;
        let leaving = door.clone();
        let make = Rc::new(move || {
            Rc::new(platform::Probe { host: host.clone(), leaving: leaving.leaving.clone() }) as Rc<dyn http::Session>
        });
        let (e, p) = (env.clone(), probe.clone());
        tree.child("ready", move || http::serve(e.clone(), sock.clone(), p.clone(), make.clone()));
    }
    signals.until_asked(&env, || env.log(Part::Main, "the settings file is read at the next start")).await;
    leave(&env, &door, Duration::from_millis(given.grace)).await;
    spoke.hand_back().await;
}

/// Wakes the door's sessions when this node can no longer do anything for them.
async fn able(
    env: Env,
    door: Door,
    host: Rc<dyn base::talk::Host>,
    step: Duration,
) -> Result<(), std::convert::Infallible> {
    let mut was = false;
    loop {
        let is = host.ready();
        if was && !is {
            env.log(Part::Door, "nothing can be served here now; sessions that rest are closed");
            door.bell.ring();
        }
        was = is;
        env.sleep(step).await;
    }
}

async fn bind(env: &Env, addr: std::net::SocketAddr) -> http::Slot {
    match env.listen(addr).await {
        Ok(l) => Rc::new(RefCell::new(Some(l))),
        Err(e) => boot::fail(&format!("{addr}: {e}")),
    }
}

/// Says that no new callers are wanted, serves on until that is known, then lets each session go once nothing of it is
/// open; open transactions have the first half of the grace.
async fn leave(env: &Env, door: &Door, grace: Duration) {
    door.leaving.set(true);
    env.sleep(grace * 5 / 12).await;
    door.end();
    let end = env.now() + grace * 5 / 12;
    while door.open.get() > 0 && env.now() < end {
        env.sleep(grace / 120).await;
    }
    env.log(Part::Main, format!("{} sessions left open at the end", door.open.get()));
}

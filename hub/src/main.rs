//! The control plane's program.

use std::{cell::RefCell, rc::Rc};

use base::{
    boot,
    http::{self, Door},
    seam::Part,
};

base::flags!("The control plane of portspoke: keeps the operator's word, elects leaders, gives grants.");

#[compio::main]
async fn main() {
    let flags = flags();
    if let Some(path) = boot::given(&flags, platform::VARIABLE) {
        return on_platform(&path).await;
    }
    let (set, place) = boot::must_load(&flags, true);
    boot::log(&set.log);
    let signals = boot::Signals::new().await;
    let env = boot::world(set.data.as_deref());
    if let Some(word) = &flags.rescue {
        // A running hub holds its address, and its disk is not to be touched.
        if env.listen(place.peer).await.is_err() {
            boot::fail(&format!("{} is in use: stop this control node first", place.peer));
        }
        match hub::rescue::rescue(&env, word).await {
            Ok(text) => return println!("{text}"),
            Err(text) => {
                eprintln!("{text}");
                std::process::exit(1);
            }
        }
    }
    let hub = match hub::run(&env, &place, Default::default()).await {
        Ok(h) => h,
        Err(e) => boot::fail(&e.to_string()),
    };
    let take = |place: &base::settings::Place| {
        hub.platform(place.platform);
        "platform"
    };
    signals.until_end(&env, &flags, take).await;
    hub.leave().await;
    env.sleep(place.bounds.pulse()).await;
}

/// Runs under the users' platform, whose settings file is at `path`.
async fn on_platform(path: &std::path::Path) {
    let given = platform::load(path, true).unwrap_or_else(|e| boot::wrong(&e));
    let place = boot::place_of(&given.set, "settings");
    boot::log(&given.set.log);
    let signals = boot::Signals::new().await;
    let env = boot::world(given.set.data.as_deref());
    let hub = match hub::run_in(&env, &place, Default::default(), Some(platform::Speech::shared())).await {
        Ok(h) => h,
        Err(e) => boot::fail(&e.to_string()),
    };
    let door = Door::new(place.most_sessions, place.most_body);
    let mut tree = base::tree::Tree::new(&env);
    if let Some(addr) = given.control {
        let sock: http::Slot = match env.listen(addr).await {
            Ok(l) => Rc::new(RefCell::new(Some(l))),
            Err(e) => boot::fail(&format!("{addr}: {e}")),
        };
        let relay = hub.relay.clone();
        let make = Rc::new(move || {
            let relay = relay.clone();
            let pass: platform::Pass = Rc::new(move |ask| {
                let relay = relay.clone();
                Box::pin(async move { relay.pass(ask).await })
            });
            Rc::new(platform::Desk { pass }) as Rc<dyn http::Session>
        });
        let (e, d) = (env.clone(), door.clone());
        tree.child("control", move || http::serve(e.clone(), sock.clone(), d.clone(), make.clone()));
    }
    signals.until_asked(&env, || env.log(Part::Main, "the settings file is read at the next start")).await;
    hub.leave().await;
    door.end();
    env.sleep(place.bounds.pulse()).await;
}

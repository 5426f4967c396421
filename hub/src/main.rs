//! The control plane's program.

use base::boot;

base::flags!("The control plane of portspoke: keeps the operator's word, elects leaders, gives grants.");

#[compio::main]
async fn main() {
    let flags = flags();
    if let Some(path) = boot::given(&flags, platform::VARIABLE) {
        return on_platform(&flags, &path).await;
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
async fn on_platform(flags: &boot::Flags, path: &std::path::Path) {
    let given = platform::load(path, true).unwrap_or_else(|e| boot::wrong(&e));
    let place = boot::place_of(&given.set, &path.display().to_string());
    boot::checked(flags);
    boot::log(&given.set.log);
    let signals = boot::Signals::new().await;
    let env = boot::world(given.set.data.as_deref());
    let node = match hub::PlatformHub::start(&env, &given, &place, Default::default()).await {
        Ok(node) => node,
        Err(e) => boot::fail(&e.to_string()),
    };
    signals.until_asked(&env, || boot::reread(&env, platform::load(path, true).map(|g| g.set))).await;
    node.leave().await;
}

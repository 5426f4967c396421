//! The data plane's program.

use base::boot;

base::flags!("The data plane of portspoke: takes callers' statements and brings them to the right server.");

#[compio::main]
async fn main() {
    let flags = flags();
    if let Some(path) = boot::given(&flags, platform::VARIABLE) {
        return on_platform(&flags, &path).await;
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
async fn on_platform(flags: &boot::Flags, path: &std::path::Path) {
    let given = platform::load(path, false).unwrap_or_else(|e| boot::wrong(&e));
    let place = boot::place_of(&given.set, &path.display().to_string());
    boot::checked(flags);
    boot::log(&given.set.log);
    let signals = boot::Signals::new().await;
    let env = boot::world(None);
    let node = match spoke::PlatformSpoke::start(&env, &given, &place, Default::default()).await {
        Ok(node) => node,
        Err(e) => boot::fail(&e.to_string()),
    };
    signals.until_asked(&env, || boot::reread(&env, platform::load(path, false).map(|g| g.set))).await;
    node.leave().await;
}

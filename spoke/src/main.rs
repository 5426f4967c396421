//! The data plane's program.

use base::boot;

base::flags!("The data plane of portspoke: takes callers' statements and brings them to the right server.");

#[compio::main]
async fn main() {
    let flags = flags();
    if let Some(path) = boot::platform_settings_path(&flags, platform::VARIABLE) {
        return on_platform(&flags, &path).await;
    }
    let (set, place) = boot::load_or_exit(&flags, false);
    boot::set_log_level(&set.log);
    let signals = boot::Signals::new().await;
    let env = boot::system_env(None);
    let spoke = match spoke::run(&env, &place, Default::default()).await {
        Ok(s) => s,
        Err(e) => boot::exit_cannot_start(&format!("http {} or peer {}: {e}", place.http, place.peer)),
    };
    let take = |place: &base::settings::NodeConfig| {
        spoke.policy(&place.policy);
        "policy"
    };
    signals.until_end(&env, &flags, take).await;
    spoke.leave().await;
}

/// Runs under the users' platform, whose settings file is at `path`.
async fn on_platform(flags: &boot::Flags, path: &std::path::Path) {
    let given = platform::load(path, false).unwrap_or_else(|e| boot::exit_bad_settings(&e));
    let place = boot::config_or_exit(&given.set, &path.display().to_string());
    boot::exit_if_check_only(flags);
    boot::set_log_level(&given.set.log);
    let signals = boot::Signals::new().await;
    let env = boot::system_env(None);
    let node = match spoke::PlatformSpoke::start(&env, &given, &place, Default::default()).await {
        Ok(node) => node,
        Err(e) => boot::exit_cannot_start(&e.to_string()),
    };
    signals.until_asked(&env, || boot::apply_reread_settings(&env, platform::load(path, false).map(|g| g.set))).await;
    node.leave().await;
}

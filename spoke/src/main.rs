//! The program of a data plane node.

use base::boot;

base::flags!("The data plane of portspoke: routes clients' statements to the right database server.");

#[compio::main]
async fn main() {
    let flags = flags();
    if let Some(path) = boot::platform_settings_path(&flags, platform::VARIABLE) {
        return on_platform(&flags, &path).await;
    }
    let (settings, config) = boot::load_or_exit(&flags, false);
    boot::set_log_level(&settings.log);
    let signals = boot::Signals::new().await;
    let env = boot::system_env(None);
    let node = match spoke::run(&env, &config, Default::default()).await {
        Ok(node) => node,
        Err(e) => boot::exit_cannot_start(&format!("http {} or peer {}: {e}", config.http, config.peer)),
    };
    let apply = |config: &base::settings::NodeConfig| {
        node.policy(&config.policy);
        "policy"
    };
    signals.until_end(&env, &flags, apply).await;
    node.leave().await;
}

/// Runs as part of the platform, with the platform's settings file at `path`.
async fn on_platform(flags: &boot::Flags, path: &std::path::Path) {
    let settings = platform::load(path, false).unwrap_or_else(|e| boot::exit_bad_settings(&e));
    let config = boot::config_or_exit(&settings.set, &path.display().to_string());
    boot::exit_if_check_only(flags);
    boot::set_log_level(&settings.set.log);
    let signals = boot::Signals::new().await;
    let env = boot::system_env(None);
    let node = match spoke::PlatformSpoke::start(&env, &settings, &config, Default::default()).await {
        Ok(node) => node,
        Err(e) => boot::exit_cannot_start(&e.to_string()),
    };
    signals.until_asked(&env, || boot::apply_reread_settings(&env, platform::load(path, false).map(|g| g.set))).await;
    node.leave().await;
}

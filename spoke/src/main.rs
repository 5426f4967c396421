//! The program of a data plane node.

use base::boot;

base::flags!("The data plane of portspoke: routes clients' statements to the right database server.");

#[compio::main]
async fn main() {
    let flags = flags();
    boot::exit_if_version_only(&flags, "spoke", build_info::BUILD);
    if let Some(path) = boot::platform_settings_path(&flags, platform::SETTINGS_PATH_VARIABLE) {
        return on_platform(&flags, &path).await;
    }
    let (settings, config) = boot::load_or_exit(&flags, false);
    boot::set_log_level(&settings.log);
    let signals = boot::Signals::new().await;
    let env = boot::system_env(None);
    let node = match spoke::run(&env, &config, Default::default()).await {
        Ok(node) => node,
        Err(e) => boot::exit_cannot_start(&e.to_string()),
    };
    let apply = |config: &base::settings::NodeConfig| {
        node.apply_policy(&config.policy);
        "policy"
    };
    signals.wait_for_stop_rereading_settings(&env, &flags, apply).await;
    node.shut_down().await;
}

/// Runs as part of the platform, with the platform's settings file at `path`.
async fn on_platform(flags: &boot::Flags, path: &std::path::Path) {
    let settings = platform::load_settings(path, false).unwrap_or_else(|e| boot::exit_bad_settings(&e));
    let config = boot::config_or_exit(&settings.settings, &path.display().to_string());
    boot::exit_if_check_only(flags);
    boot::set_log_level(&settings.settings.log);
    let signals = boot::Signals::new().await;
    let env = boot::system_env(None);
    let node = match spoke::PlatformNode::start(&env, &settings, &config, Default::default()).await {
        Ok(node) => node,
        Err(e) => boot::exit_cannot_start(&e.to_string()),
    };
    signals
        .wait_for_stop_with_reload(&env, || {
            boot::apply_reread_settings(&env, platform::load_settings(path, false).map(|g| g.settings))
        })
        .await;
    node.shut_down().await;
}

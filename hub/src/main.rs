//! The program of a control node.

use base::boot;

base::flags!("The control plane of portspoke: keeps the configuration, elects primaries, grants leases.");

#[compio::main]
async fn main() {
    let flags = flags();
    boot::exit_if_version_only(&flags, "hub", build_info::BUILD);
    if let Some(path) = boot::platform_settings_path(&flags, platform::SETTINGS_PATH_VARIABLE) {
        return on_platform(&flags, &path).await;
    }
    let (settings, config) = boot::load_or_exit(&flags, true);
    boot::set_log_level(&settings.log);
    let signals = boot::Signals::new().await;
    let env = boot::system_env(settings.data.as_deref());
    if let Some(argument) = &flags.rescue {
        // A running control node occupies its address; its disk must not be changed.
        if env.listen(config.peer).await.is_err() {
            boot::exit_cannot_start(&format!("{} is in use: stop this control node first", config.peer));
        }
        match hub::rescue::rescue(&env, argument).await {
            Ok(text) => return println!("{text}"),
            Err(text) => {
                eprintln!("{text}");
                std::process::exit(1);
            }
        }
    }
    let control_node = match hub::run(&env, &config, Default::default()).await {
        Ok(control_node) => control_node,
        Err(error) => boot::exit_cannot_start(&error.to_string()),
    };
    let apply_settings = |config: &base::settings::NodeConfig| {
        control_node.set_platform_address(config.platform);
        "platform"
    };
    signals.wait_for_stop_rereading_settings(&env, &flags, apply_settings).await;
    control_node.leave().await;
    env.sleep(config.bounds.control_heartbeat()).await;
}

/// Runs a control node under the users' platform, whose settings file is at `path`.
async fn on_platform(flags: &boot::Flags, path: &std::path::Path) {
    let given = platform::load_settings(path, true).unwrap_or_else(|error| boot::exit_bad_settings(&error));
    let config = boot::config_or_exit(&given.settings, &path.display().to_string());
    boot::exit_if_check_only(flags);
    boot::set_log_level(&given.settings.log);
    let signals = boot::Signals::new().await;
    let env = boot::system_env(given.settings.data.as_deref());
    let control_node = match hub::PlatformControlNode::start(&env, &given, &config, Default::default()).await {
        Ok(control_node) => control_node,
        Err(error) => boot::exit_cannot_start(&error.to_string()),
    };
    signals
        .wait_for_stop_with_reload(&env, || {
            boot::apply_reread_settings(&env, platform::load_settings(path, true).map(|given| given.settings))
        })
        .await;
    control_node.leave().await;
}

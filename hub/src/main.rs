//! The control plane's program.

use base::boot;

base::flags!("The control plane of portspoke: keeps the operator's word, elects leaders, gives grants.");

#[compio::main]
async fn main() {
    let flags = flags();
    if let Some(path) = boot::platform_settings_path(&flags, platform::VARIABLE) {
        return on_platform(&flags, &path).await;
    }
    let (settings, config) = boot::load_or_exit(&flags, true);
    boot::set_log_level(&settings.log);
    let signals = boot::Signals::new().await;
    let env = boot::system_env(settings.data.as_deref());
    if let Some(argument) = &flags.rescue {
        // A running hub holds its address, and its disk is not to be touched.
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
    let take = |config: &base::settings::NodeConfig| {
        control_node.platform(config.platform);
        "platform"
    };
    signals.until_end(&env, &flags, take).await;
    control_node.leave().await;
    env.sleep(config.bounds.control_heartbeat()).await;
}

/// Runs under the users' platform, whose settings file is at `path`.
async fn on_platform(flags: &boot::Flags, path: &std::path::Path) {
    let given = platform::load(path, true).unwrap_or_else(|e| boot::exit_bad_settings(&e));
    let place = boot::config_or_exit(&given.set, &path.display().to_string());
    boot::exit_if_check_only(flags);
    boot::set_log_level(&given.set.log);
    let signals = boot::Signals::new().await;
    let env = boot::system_env(given.set.data.as_deref());
    let node = match hub::PlatformHub::start(&env, &given, &place, Default::default()).await {
        Ok(node) => node,
        Err(e) => boot::exit_cannot_start(&e.to_string()),
    };
    signals.until_asked(&env, || boot::apply_reread_settings(&env, platform::load(path, true).map(|g| g.set))).await;
    node.leave().await;
}

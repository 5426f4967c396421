//! Startup shared by both programs: flags, settings file, logging and signals.

use std::{path::PathBuf, process::exit, rc::Rc};

use futures::future::{Either, select};

use crate::{
    runtime::{Component, Env, LocalFuture, SystemRuntime},
    settings::{self, NodeConfig, Settings},
    topology,
};

/// Exit code: the settings or flags are wrong.
pub const EXIT_BAD_SETTINGS: i32 = 78;
/// Exit code: an address can't be bound or the data folder can't be used.
pub const EXIT_CANNOT_START: i32 = 69;

/// The values of the command-line flags. They take precedence over the settings file.
#[derive(Clone, Debug, Default)]
pub struct Flags {
    pub file: Option<PathBuf>,
    pub topology: Option<PathBuf>,
    pub name: Option<String>,
    pub area: Option<String>,
    pub http: Option<String>,
    pub peer: Option<String>,
    pub seed: Vec<String>,
    pub data: Option<String>,
    pub platform: Option<String>,
    pub log: Option<String>,
    pub check: bool,
    pub version: bool,
    pub rescue: Option<String>,
}

/// Declares a program's command line and a function `flags()` that parses it. Both programs have the same flags; only
/// the description differs.
#[macro_export]
macro_rules! flags {
    ($text:literal) => {
        #[derive(argh::FromArgs)]
        #[argh(description = $text)]
        struct Arguments {
            /// settings file (JSON); flags take precedence over it
            #[argh(option)]
            file: Option<std::path::PathBuf>,
            /// topology file (GeoJSON); together with --name it sets zone, addresses and seeds
            #[argh(option)]
            topology: Option<std::path::PathBuf>,
            /// name of this process
            #[argh(option)]
            name: Option<String>,
            /// zone of this process
            #[argh(option)]
            area: Option<String>,
            /// address for clients, servers and operators
            #[argh(option)]
            http: Option<String>,
            /// address for links from other processes
            #[argh(option)]
            peer: Option<String>,
            /// peer address of a control node; repeat for each of the three
            #[argh(option)]
            seed: Vec<String>,
            /// data folder (control nodes)
            #[argh(option)]
            data: Option<String>,
            /// address of the platform API that promotes servers (control nodes)
            #[argh(option)]
            platform: Option<String>,
            /// log level: error, warn, info or debug
            #[argh(option)]
            log: Option<String>,
            /// check settings and flags, then exit
            #[argh(switch)]
            check: bool,
            /// print what this program was built from, then exit
            #[argh(switch)]
            version: bool,
            /// on a stopped control node, when the other two disks are lost: "look" prints what this disk holds and the
            /// value to pass here to continue from it (see docs/runbook.md)
            #[argh(option)]
            rescue: Option<String>,
        }

        fn flags() -> $crate::boot::Flags {
            let arguments: Arguments = argh::from_env();
            $crate::boot::Flags {
                file: arguments.file,
                topology: arguments.topology,
                name: arguments.name,
                area: arguments.area,
                http: arguments.http,
                peer: arguments.peer,
                seed: arguments.seed,
                data: arguments.data,
                platform: arguments.platform,
                log: arguments.log,
                check: arguments.check,
                version: arguments.version,
                rescue: arguments.rescue,
            }
        }
    };
}

/// Fills in zone, addresses and seeds from the topology file, where one is given; flags take precedence.
fn with_topology(flags: &Flags) -> Result<Flags, String> {
    let mut flags = flags.clone();
    let Some(path) = &flags.topology else { return Ok(flags) };
    let with_path = |e: String| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| with_path(e.to_string()))?;
    let processes = topology::read(&text).map_err(with_path)?;
    let name = flags.name.as_ref().ok_or("--topology needs --name")?;
    let this_process = processes
        .iter()
        .find(|p| p.name == *name)
        .ok_or_else(|| with_path(format!("no feature has the name {name:?}")))?;
    flags.area.get_or_insert(this_process.zone.clone());
    flags.http.get_or_insert(this_process.http.to_string());
    flags.peer.get_or_insert(this_process.peer.to_string());
    if flags.seed.is_empty() {
        let control_nodes = processes.iter().filter(|p| p.role == topology::Role::ControlNode);
        flags.seed = control_nodes.map(|p| p.peer.to_string()).collect();
    }
    Ok(flags)
}

/// The path of the platform's settings file from the environment variable `variable`; `None` if the variable is not set
/// or if one of the flags --file, --topology and --name is given.
pub fn platform_settings_path(flags: &Flags, variable: &str) -> Option<PathBuf> {
    let no_source_flags = flags.file.is_none() && flags.topology.is_none() && flags.name.is_none();
    std::env::var_os(variable).filter(|_| no_source_flags).map(PathBuf::from)
}

/// Reads the settings file, applies the topology file and the flags over it, and checks the result. The error names
/// file and field.
pub fn load(flags: &Flags) -> Result<(Settings, NodeConfig), String> {
    let flags = &with_topology(flags)?;
    let mut settings = match &flags.file {
        Some(path) => {
            let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
            settings::read(&text).map_err(|e| format!("{}: {e}", path.display()))?
        }
        None => {
            for (flag, is_given) in [
                ("name", flags.name.is_some()),
                ("area", flags.area.is_some()),
                ("http", flags.http.is_some()),
                ("peer", flags.peer.is_some()),
                ("seed", !flags.seed.is_empty()),
            ] {
                if !is_given {
                    return Err(format!("--{flag} is missing, and no --file is given"));
                }
            }
            let empty_settings = br#"{"name":"","area":"","http":"","peer":"","seeds":[]}"#;
            settings::read(empty_settings)?
        }
    };
    for (target, flag) in [
        (&mut settings.name, &flags.name),
        (&mut settings.area, &flags.area),
        (&mut settings.http, &flags.http),
        (&mut settings.peer, &flags.peer),
        (&mut settings.log, &flags.log),
    ] {
        if let Some(value) = flag {
            target.clone_from(value);
        }
    }
    if !flags.seed.is_empty() {
        settings.seeds.clone_from(&flags.seed);
    }
    if flags.data.is_some() {
        settings.data.clone_from(&flags.data);
    }
    if flags.platform.is_some() {
        settings.platform.clone_from(&flags.platform);
    }
    let source = flags.file.as_ref().map_or("flags".to_string(), |f| f.display().to_string());
    match settings.check() {
        Ok(config) => Ok((settings, config)),
        Err(faults) => Err(faults.iter().map(|fault| format!("{source}: {fault}")).collect::<Vec<_>>().join("\n")),
    }
}

/// Loads the settings; prints the faults and exits if there are any. With `--check` the process exits in either case.
pub fn load_or_exit(flags: &Flags, is_control_node: bool) -> (Settings, NodeConfig) {
    let result = load(flags).and_then(|(settings, config)| match &settings.data {
        _ if !is_control_node && flags.rescue.is_some() => {
            Err("--rescue: only control nodes have a disk to recover from".into())
        }
        None if is_control_node => Err("data: a control node needs a data folder".into()),
        Some(_) if !is_control_node => Err("data: only control nodes have a data folder".into()),
        _ => Ok((settings, config)),
    });
    match result {
        Ok(_) if flags.check => {
            println!("settings are good");
            exit(0)
        }
        Ok(loaded) => loaded,
        Err(text) => {
            eprintln!("{text}");
            exit(EXIT_BAD_SETTINGS)
        }
    }
}

/// Checks settings that were not read by [`load`], such as those of the platform; prints the faults, each after
/// `source`, and exits if there are any.
pub fn config_or_exit(settings: &Settings, source: &str) -> NodeConfig {
    settings.check().unwrap_or_else(|faults| {
        eprintln!("{}", faults.iter().map(|fault| format!("{source}: {fault}")).collect::<Vec<_>>().join("\n"));
        exit(EXIT_BAD_SETTINGS)
    })
}

/// Prints what is wrong with the settings and exits with [`EXIT_BAD_SETTINGS`].
pub fn exit_bad_settings(text: &str) -> ! {
    eprintln!("{text}");
    exit(EXIT_BAD_SETTINGS)
}

/// Prints what the program was built from and exits, if `--version` was given.
pub fn exit_if_version_only(flags: &Flags, program: &str, build: &str) {
    if flags.version {
        println!("{program} {build}");
        exit(0)
    }
}

/// Exits successfully if `--check` was given.
pub fn exit_if_check_only(flags: &Flags) {
    if flags.check {
        println!("settings are good");
        exit(0)
    }
}

/// Checks settings that were read again and logs whether they are valid. Only the log level takes effect at once.
pub fn apply_reread_settings(env: &Env, settings: Result<Settings, String>) {
    match settings.and_then(|s| s.check().map(|_| s).map_err(|faults| faults.join("; "))) {
        Ok(settings) => {
            set_log_level(&settings.log);
            env.log(
                Component::Main,
                "settings were read again; the log level is in force, the rest from the next start",
            );
        }
        Err(e) => {
            env.log(Component::Main, format!("the changed settings are refused, the old ones stay in force: {e}"))
        }
    }
}

/// Sets the log level; a name other than `error`, `warn` and `debug` counts as `info`.
pub fn set_log_level(level: &str) {
    use spdlog::{Level, LevelFilter};
    let level = match level {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        _ => Level::Info,
    };
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(level));
    spdlog::default_logger().set_flush_level_filter(LevelFilter::All);
}

/// The system runtime, with the data folder if one is set; exits if the folder can't be created.
pub fn system_env(data: Option<&str>) -> Env {
    match SystemRuntime::new(data.map(PathBuf::from)) {
        Ok(runtime) => Env::new(runtime as Rc<dyn crate::runtime::Runtime>),
        Err(e) => exit_cannot_start(&format!("data folder {}: {e}", data.unwrap_or_default())),
    }
}

/// Logs why the process can't start and exits with [`EXIT_CANNOT_START`].
pub fn exit_cannot_start(text: &str) -> ! {
    spdlog::critical!("main: {text}");
    spdlog::default_logger().flush();
    exit(EXIT_CANNOT_START)
}

/// The signals that a process handles, from before its startup work begins.
pub struct Signals {
    terminate: LocalFuture<()>,
    interrupt: LocalFuture<()>,
    hangup: LocalFuture<()>,
}

const SIGTERM: i32 = 15;
const SIGINT: i32 = 2;
const SIGHUP: i32 = 1;

/// Returns a future that completes at the next signal of this number. Its handler is installed before this returns.
async fn listen(signal: i32) -> LocalFuture<()> {
    let mut wait: LocalFuture<()> = Box::pin(async move {
        let _ = compio::signal::unix::signal(signal).await;
    });
    let _ = futures::poll!(&mut wait);
    wait
}

impl Signals {
    /// Installs the handlers, so that from now on none of these signals ends the process by its default action.
    pub async fn new() -> Self {
        // A handler is removed once it has received its signal. These two are never dropped, so that a repeated signal
        // can't end the process by its default action while the first one is still being handled.
        for signal in [SIGHUP, SIGTERM] {
            std::mem::forget(listen(signal).await);
        }
        Self { terminate: listen(SIGTERM).await, interrupt: listen(SIGINT).await, hangup: listen(SIGHUP).await }
    }

    /// Waits for the next signal: true for SIGTERM and SIGINT (stop), false for SIGHUP (read the settings again).
    async fn next_is_stop(&mut self) -> bool {
        let signal = select(select(&mut self.terminate, &mut self.interrupt), &mut self.hangup).await;
        if matches!(signal, Either::Left(_)) {
            return true;
        }
        self.hangup = listen(SIGHUP).await;
        false
    }

    /// Waits for SIGTERM or SIGINT and ignores SIGHUP.
    pub async fn wait_for_stop(mut self) {
        while !self.next_is_stop().await {}
    }

    /// Waits for SIGTERM or SIGINT; calls `reload` at each SIGHUP.
    pub async fn wait_for_stop_with_reload(mut self, env: &Env, mut reload: impl FnMut()) {
        while !self.next_is_stop().await {
            reload();
        }
        env.log(Component::Main, "going down");
    }

    /// Waits for SIGTERM or SIGINT. At each SIGHUP it reads the settings again and passes valid ones to `apply`, which
    /// returns the names of those that it put in force (for the log).
    pub async fn wait_for_stop_rereading_settings(
        mut self,
        env: &Env,
        flags: &Flags,
        apply: impl Fn(&NodeConfig) -> &'static str,
    ) {
        while !self.next_is_stop().await {
            match load(flags) {
                Ok((settings, config)) => {
                    set_log_level(&settings.log);
                    let applied = apply(&config);
                    let text = format!("settings were read again; {applied} and log level are in force");
                    env.log(Component::Main, text + ", the rest from the next start");
                }
                Err(e) => env
                    .log(Component::Main, format!("the changed settings are refused, the old ones stay in force: {e}")),
            }
        }
        env.log(Component::Main, "going down");
    }
}

//! How both programs start: flags, settings file, log, signals.

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

/// What the flags said; they go before the file.
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
    pub rescue: Option<String>,
}

/// Declares a program's flags, the same for both programs but for the description.
#[macro_export]
macro_rules! flags {
    ($text:literal) => {
        #[derive(argh::FromArgs)]
        #[argh(description = $text)]
        struct Given {
            /// settings file (JSON); flags go before it
            #[argh(option)]
            file: Option<std::path::PathBuf>,
            /// topology file (GeoJSON); together with --name it gives area, addresses and seeds
            #[argh(option)]
            topology: Option<std::path::PathBuf>,
            /// this process's name
            #[argh(option)]
            name: Option<String>,
            /// the area it stands in
            #[argh(option)]
            area: Option<String>,
            /// address for callers, back ends and operators
            #[argh(option)]
            http: Option<String>,
            /// address for other processes
            #[argh(option)]
            peer: Option<String>,
            /// peer address of a control node; give three
            #[argh(option)]
            seed: Vec<String>,
            /// data folder (control nodes)
            #[argh(option)]
            data: Option<String>,
            /// address of the platform that names leaders (control nodes)
            #[argh(option)]
            platform: Option<String>,
            /// error, warn, info or debug
            #[argh(option)]
            log: Option<String>,
            /// check settings and flags, then exit
            #[argh(switch)]
            check: bool,
            /// on a stopped control node, when the other two disks are lost: "look" tells what this disk holds and the
            /// word to give here for going on from it (see docs/runbook.md)
            #[argh(option)]
            rescue: Option<String>,
        }

        fn flags() -> $crate::boot::Flags {
            let g: Given = argh::from_env();
            $crate::boot::Flags {
                file: g.file,
                topology: g.topology,
                name: g.name,
                area: g.area,
                http: g.http,
                peer: g.peer,
                seed: g.seed,
                data: g.data,
                platform: g.platform,
                log: g.log,
                check: g.check,
                rescue: g.rescue,
            }
        }
    };
}

/// Takes from the topology what neither flags nor file need to say then.
fn locate(flags: &Flags) -> Result<Flags, String> {
    let mut flags = flags.clone();
    let Some(path) = &flags.topology else { return Ok(flags) };
    let told = |e: String| format!("{}: {e}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| told(e.to_string()))?;
    let all = topology::read(&text).map_err(told)?;
    let name = flags.name.as_ref().ok_or("--topology needs --name")?;
    let me = all.iter().find(|s| s.name == *name).ok_or_else(|| told(format!("no feature has the name {name:?}")))?;
    flags.area.get_or_insert(me.zone.clone());
    flags.http.get_or_insert(me.http.to_string());
    flags.peer.get_or_insert(me.peer.to_string());
    if flags.seed.is_empty() {
        let hubs = all.iter().filter(|s| s.role == topology::Role::Hub);
        flags.seed = hubs.map(|s| s.peer.to_string()).collect();
    }
    Ok(flags)
}

/// The path of the users' own settings file, where a variable names one and no flag says anything else.
pub fn platform_settings_path(flags: &Flags, variable: &str) -> Option<PathBuf> {
    let own = flags.file.is_none() && flags.topology.is_none() && flags.name.is_none();
    std::env::var_os(variable).filter(|_| own).map(PathBuf::from)
}

/// Reads the file and lays topology and flags over it; the error names file and field.
pub fn load(flags: &Flags) -> Result<(Settings, NodeConfig), String> {
    let flags = &locate(flags)?;
    let mut set = match &flags.file {
        Some(path) => {
            let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
            settings::read(&text).map_err(|e| format!("{}: {e}", path.display()))?
        }
        None => {
            for (flag, given) in [
                ("name", flags.name.is_some()),
                ("area", flags.area.is_some()),
                ("http", flags.http.is_some()),
                ("peer", flags.peer.is_some()),
                ("seed", !flags.seed.is_empty()),
            ] {
                if !given {
                    return Err(format!("--{flag} is missing, and no --file is given"));
                }
            }
            let bare = br#"{"name":"","area":"","http":"","peer":"","seeds":[]}"#;
            settings::read(bare)?
        }
    };
    for (to, from) in [
        (&mut set.name, &flags.name),
        (&mut set.area, &flags.area),
        (&mut set.http, &flags.http),
        (&mut set.peer, &flags.peer),
        (&mut set.log, &flags.log),
    ] {
        if let Some(v) = from {
            to.clone_from(v);
        }
    }
    if !flags.seed.is_empty() {
        set.seeds.clone_from(&flags.seed);
    }
    if flags.data.is_some() {
        set.data.clone_from(&flags.data);
    }
    if flags.platform.is_some() {
        set.platform.clone_from(&flags.platform);
    }
    let from = flags.file.as_ref().map_or("flags".to_string(), |f| f.display().to_string());
    match set.check() {
        Ok(place) => Ok((set, place)),
        Err(all) => Err(all.iter().map(|f| format!("{from}: {f}")).collect::<Vec<_>>().join("\n")),
    }
}

/// Loads, or tells what is wrong and ends; with `--check` ends either way.
pub fn load_or_exit(flags: &Flags, hub: bool) -> (Settings, NodeConfig) {
    let out = load(flags).and_then(|(s, p)| match &s.data {
        _ if !hub && flags.rescue.is_some() => Err("--rescue: only control nodes have a disk to go on from".into()),
        None if hub => Err("data: a control node needs a data folder".into()),
        Some(_) if !hub => Err("data: only control nodes have a data folder".into()),
        _ => Ok((s, p)),
    });
    match out {
        Ok(_) if flags.check => {
            println!("settings are good");
            exit(0)
        }
        Ok(both) => both,
        Err(text) => {
            eprintln!("{text}");
            exit(EXIT_BAD_SETTINGS)
        }
    }
}

/// The checked place of settings that came from elsewhere than a file of the product's own; ends when they are wrong.
pub fn config_or_exit(set: &Settings, from: &str) -> NodeConfig {
    set.check().unwrap_or_else(|all| {
        eprintln!("{}", all.iter().map(|f| format!("{from}: {f}")).collect::<Vec<_>>().join("\n"));
        exit(EXIT_BAD_SETTINGS)
    })
}

/// Tells what is wrong with settings, and ends.
pub fn exit_bad_settings(text: &str) -> ! {
    eprintln!("{text}");
    exit(EXIT_BAD_SETTINGS)
}

/// Ends here if only a check was asked for.
pub fn exit_if_check_only(flags: &Flags) {
    if flags.check {
        println!("settings are good");
        exit(0)
    }
}

/// Tells whether settings that were changed could be used; only the log level is taken on at once.
pub fn apply_reread_settings(env: &Env, set: Result<Settings, String>) {
    match set.and_then(|s| s.check().map(|_| s).map_err(|all| all.join("; "))) {
        Ok(s) => {
            set_log_level(&s.log);
            env.log(Component::Main, "settings were read again; they are in force from the next start");
        }
        Err(e) => env.log(Component::Main, format!("the changed settings are refused, the old ones stay: {e}")),
    }
}

/// Sets how much is logged.
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

/// The real world, with the data folder if one is set.
pub fn system_env(data: Option<&str>) -> Env {
    match SystemRuntime::new(data.map(PathBuf::from)) {
        Ok(w) => Env::new(w as Rc<dyn crate::runtime::Runtime>),
        Err(e) => exit_cannot_start(&format!("data folder: {e}")),
    }
}

/// Tells why the process can't start, and ends it.
pub fn exit_cannot_start(text: &str) -> ! {
    spdlog::critical!("main: {text}");
    spdlog::default_logger().flush();
    exit(EXIT_CANNOT_START)
}

/// The signals a process listens to, from before it starts on.
pub struct Signals {
    end: LocalFuture<()>,
    stop: LocalFuture<()>,
    reload: LocalFuture<()>,
}

const TERM: i32 = 15;
const INT: i32 = 2;
const HUP: i32 = 1;

/// A listener that is in place when this returns.
async fn listen(sig: i32) -> LocalFuture<()> {
    let mut wait: LocalFuture<()> = Box::pin(async move {
        let _ = compio::signal::unix::signal(sig).await;
    });
    let _ = futures::poll!(&mut wait);
    wait
}

impl Signals {
    /// Listens from now on, so that no signal ends the process by default.
    pub async fn new() -> Self {
        // A listener is gone once it heard its signal; these keep the default actions away for good, so that a signal that
        // comes again ends nothing that is still being seen to.
        for signal in [HUP, TERM] {
            std::mem::forget(listen(signal).await);
        }
        Self { end: listen(TERM).await, stop: listen(INT).await, reload: listen(HUP).await }
    }

    /// Whether to end (or else to read the settings again).
    async fn next(&mut self) -> bool {
        let ends = select(select(&mut self.end, &mut self.stop), &mut self.reload).await;
        if matches!(ends, Either::Left(_)) {
            return true;
        }
        self.reload = listen(HUP).await;
        false
    }

    /// Waits until the process is asked to end.
    pub async fn end(mut self) {
        while !self.next().await {}
    }

    /// Serves until asked to end; at each SIGHUP `again` is called.
    pub async fn until_asked(mut self, env: &Env, mut again: impl FnMut()) {
        while !self.next().await {
            again();
        }
        env.log(Component::Main, "going down");
    }

    /// Serves until asked to end; on SIGHUP reads the settings again and hands the good ones to `take`, which says what
    /// of them is in force now.
    pub async fn until_end(mut self, env: &Env, flags: &Flags, take: impl Fn(&NodeConfig) -> &'static str) {
        while !self.next().await {
            match load(flags) {
                Ok((set, place)) => {
                    set_log_level(&set.log);
                    let what = take(&place);
                    let text = format!("settings were read again; {what} and log level are in force");
                    env.log(Component::Main, text + ", the rest from the next start");
                }
                Err(e) => env.log(Component::Main, format!("the changed settings are refused, the old ones stay: {e}")),
            }
        }
        env.log(Component::Main, "going down");
    }
}

//! The project's own programs as processes of a small deployment: three zones, a control node in each.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::world::World;

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const MACHINES_IN_ZONE: usize = 2;

pub const KILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Addresses on loopback that no other run uses meanwhile.
pub struct Network {
    number: u32,
    _reserved: TcpListener,
}

impl Network {
    pub fn reserve() -> Option<Self> {
        let first = std::process::id() % 180;
        (0..180).find_map(|n| {
            let number = 40 + (first + n) % 180;
            let reserved = TcpListener::bind(format!("127.{number}.0.1:8781")).ok()?;
            Some(Self { number, _reserved: reserved })
        })
    }

    pub fn addr(&self, part: usize, index: usize, port: u16) -> SocketAddr {
        format!("127.{}.{part}.{}:{port}", self.number, index + 1).parse().expect("an address")
    }

    pub fn platform(&self) -> SocketAddr {
        self.addr(200, 0, 8783)
    }
}

/// One machine's role as a process.
struct Process {
    name: String,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    world: Arc<World>,
    root: PathBuf,
    folder: PathBuf,
    hubs: Vec<Process>,
    spokes: Vec<Process>,
    pub access: Vec<SocketAddr>,
    pub readiness: Vec<SocketAddr>,
}

fn settings(name: &str, zone: usize, ip: &str, seeds: &[String], platform: SocketAddr, data: Option<&Path>) -> String {
    let (control, serves) = match data {
        Some(_) => (format!("control_point = \"{ip}:8782\"\n"), "\"access\",\"control\""),
        None => (String::new(), "\"access\""),
    };
    let disk = data.map(|d| format!("data_dir = \"{}\"\n", d.display())).unwrap_or_default();
    let (counted, share) = (data.is_some(), if data.is_some() { 0.45 } else { 0.25 });
    format!(
        "node_name = \"{name}\"\nrole = \"access\"\nmachine_class = \"access\"\nserves = [{serves}]\n\
         ip_address = \"{ip}\"\nzone = \"{}\"\nregion = \"all\"\ninternal_port_range = [7440,7455]\n\
         seed_nodes = [{}]\ninitial_start = true\ncounted = {counted}\n{disk}\
         discovery_source = \"registration\"\nentry_type = \"virtual_ip\"\nheartbeat_ms = 1200\n\
         active_clauses = [\"base\",\"drain\",\"config\",\"cost\",\"sql\",\"recover\",\"places\"]\n\
         [zones]\nzone-a = \"all\"\nzone-b = \"all\"\nzone-c = \"all\"\n\
         [listen_points]\naccess_point = \"{ip}:8784\"\nreadiness_point = \"{ip}:8785\"\n{control}\
         [limits]\ncpu_share = {share}\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4200\nlink_mbps = 1000.0\n\
         disk_mb = 64\n[resilience]\nmachine_losses = 1\nzones = 1\nregion_losses = 0\n\
         [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 4000\nack_timer_ms = 5000\nsync_time_s = 4\n\
         drain_ms = 7000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\nrevert_slack_ms = 250\n\
         stretch_max_ms = 12000\nwarmup_overshoot = 1.5\nwarmup_slack = 5\nevacuation_ms = 5000\n\
         recovery_s = 12\nfencing = true\nthaw_slack_ms = 300\n\
         [platform_api]\naddress = \"{platform}\"\nrate_per_s = 50.0\nduties = [\"promotion\"]\nduty_per_s = 50.0\n",
        ZONES[zone],
        seeds.join(",")
    )
}

impl Fleet {
    /// Writes the settings and starts every process.
    pub fn start(root: &Path, network: &Network, world: Arc<World>) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("portspoke-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let seeds: Vec<String> = (0..3).map(|z| format!("\"{}\"", network.addr(z + 1, 0, 8782))).collect();
        let mut fleet = Self {
            world,
            root: root.into(),
            folder: folder.clone(),
            hubs: Vec::new(),
            spokes: Vec::new(),
            access: Vec::new(),
            readiness: Vec::new(),
        };
        for (zone, zone_name) in ZONES.iter().enumerate() {
            for index in 0..MACHINES_IN_ZONE {
                let ip = network.addr(zone + 1, index, 1).ip().to_string();
                let machine = format!("access-{zone_name}-{}", index + 1);
                for role in ["hub", "spoke"].into_iter().filter(|role| *role == "spoke" || index == 0) {
                    let own = folder.join(format!("{machine}-{role}"));
                    let data = own.join("data");
                    fs::create_dir_all(&data)?;
                    let data = (role == "hub").then_some(data.as_path());
                    let text = settings(&machine, zone, &ip, &seeds, network.platform(), data);
                    fs::write(own.join("settings.toml"), text)?;
                    let process = Process {
                        name: format!("{machine}.{role}"),
                        program: PathBuf::from("target/release").join(role),
                        folder: own,
                        child: None,
                    };
                    if role == "hub" { &mut fleet.hubs } else { &mut fleet.spokes }.push(process);
                }
                fleet.access.push(network.addr(zone + 1, index, 8784));
                fleet.readiness.push(network.addr(zone + 1, index, 8785));
            }
        }
        for process in fleet.hubs.iter_mut().chain(&mut fleet.spokes) {
            process.start(&fleet.root)?;
        }
        fleet.world.record.say(format!("{} processes started", fleet.hubs.len() + fleet.spokes.len()));
        Ok(fleet)
    }

    /// SIGKILL to every process at once, and their start again after a while.
    pub fn kill_all(&mut self, down: Duration) -> std::io::Result<()> {
        self.world.record.say("signal 9 to all processes");
        self.hubs.iter().chain(&self.spokes).for_each(|p| p.signal(KILL));
        std::thread::sleep(down);
        for process in self.hubs.iter_mut().chain(&mut self.spokes) {
            process.ended();
            process.start(&self.root)?;
        }
        self.world.record.say("all processes are started again");
        Ok(())
    }

    /// Whether a process has ended by itself.
    pub fn own_ends(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        for process in self.hubs.iter_mut().chain(&mut self.spokes) {
            if process.child.as_mut().is_some_and(|c| !matches!(c.try_wait(), Ok(None))) {
                names.push(process.name.clone());
            }
        }
        names
    }

    /// The lines of the processes' logs that hold any of these texts.
    pub fn logs(&self, texts: &[&str]) {
        for process in self.hubs.iter().chain(&self.spokes) {
            let log = fs::read_to_string(process.folder.join("log")).unwrap_or_default();
            for line in log.lines().filter(|l| texts.iter().any(|t| l.contains(t))) {
                self.world.record.line(format!("log of {}: {line}", process.name));
            }
        }
    }
}

impl Process {
    fn start(&mut self, root: &Path) -> std::io::Result<()> {
        let log = fs::File::options().create(true).append(true).open(self.folder.join("log"))?;
        let file = self.folder.join("settings.toml");
        let mut command = Command::new(root.join(&self.program));
        command.current_dir(root).env("PORTSPOKE_SETTINGS", &file);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        // It ends with the script, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, KILL as u64);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Waits for the end of a killed process; from now on it does not start for the first time.
    fn ended(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
        let file = self.folder.join("settings.toml");
        if let Ok(text) = fs::read_to_string(&file) {
            let _ = fs::write(&file, text.replace("initial_start = true", "initial_start = false"));
        }
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.hubs.iter_mut().chain(&mut self.spokes) {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until something holds.
pub fn until(span: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + span;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

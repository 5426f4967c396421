//! The cases. Each plays one order of events and judges one rule as it is written.

use std::{path::Path, sync::Arc, thread::sleep, time::Duration};

use crate::{
    client::{Clients, Kind, Operator},
    fleet::{Fleet, Network, until},
    platform,
    record::Record,
    server::Server,
    world::{Copy, Group, World},
};

const GROUPS: usize = 3;
const DRAIN: Duration = Duration::from_millis(7000);

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A small deployment with its servers, platform, operator and clients.
struct Town {
    world: Arc<World>,
    fleet: Fleet,
    clients: Arc<Clients>,
    operator: Operator,
    servers: Vec<Server>,
    groups: Vec<String>,
    _network: Network,
}

/// Server `index` of group `group`; number 0 leads at first.
fn name(group: usize, index: usize) -> String {
    format!("i-{group}{index}")
}

impl Town {
    /// Starts all, and waits until it serves. `zone_of` tells where a server stands.
    fn start(root: &Path, record: &Path, zone_of: impl Fn(usize, usize) -> usize) -> Result<Self, String> {
        let told = |e: std::io::Error| e.to_string();
        let world = World::new(Record::new(record).map_err(told)?);
        let network = Network::reserve().ok_or("no free addresses")?;
        let groups: Vec<String> = (0..GROUPS).map(|g| format!("group{g}")).collect();
        platform::start(world.clone(), network.platform());
        let control: Vec<_> = (0..3).map(|z| network.addr(z + 1, 0, 8782)).collect();
        let mut servers = Vec::new();
        for (g, group) in groups.iter().enumerate() {
            let copies = (0..3).map(|i| {
                let zone = crate::fleet::ZONES[zone_of(g, i)];
                (name(g, i), Copy::new(network.addr(100 + g, i, 9000), zone))
            });
            let of_group = Group { term: 1, lead: Some(name(g, 0)), copies: copies.collect() };
            world.lock().groups.insert(group.clone(), of_group);
            for i in 0..3 {
                let mut control = control.clone();
                control.rotate_left((g + i) % 3);
                servers.push(Server { world: world.clone(), name: name(g, i), group: group.clone(), control });
            }
        }
        let fleet = Fleet::start(root, &network, world.clone()).map_err(told)?;
        servers.iter().try_for_each(Server::start).map_err(told)?;
        let operator = Operator { world: world.clone(), control };
        if !operator.configure(&groups, 3, 0) {
            return Err("the first configuration was not taken".into());
        }
        let clients = Clients::new(&world);
        clients.probe(fleet.access.iter().copied().zip(fleet.readiness.iter().copied()).collect());
        let nodes = fleet.access.len();
        if !until(s(20.0), || clients.ready.lock().unwrap().len() == nodes) {
            return Err("the nodes do not get ready".into());
        }
        let town = Self { world, fleet, clients, operator, servers, groups, _network: network };
        town.say("the deployment serves");
        Ok(town)
    }

    fn say(&self, text: impl AsRef<str>) {
        self.world.record.say(text);
    }

    fn now(&self) -> Duration {
        self.world.record.now()
    }

    fn server(&self, group: usize, index: usize) -> &Server {
        &self.servers[group * 3 + index]
    }

    /// Sessions on every group: some that post, some that look.
    fn traffic(&self, posts: usize, looks: usize) {
        for group in &self.groups {
            for _ in 0..posts {
                self.clients.run(&format!("post-{group}"), group, Kind::Posts, Duration::from_millis(60));
            }
            for _ in 0..looks {
                self.clients.run(&format!("look-{group}"), group, Kind::Looks, Duration::from_millis(60));
            }
        }
    }

    fn wait_until(&self, at: Duration) {
        sleep(at.saturating_sub(self.now()));
    }

    /// Requests of clients that reached a server in a span.
    fn arrivals(&self, server: &str, from: Duration, to: Duration) -> usize {
        let state = self.world.lock();
        state.arrivals.iter().filter(|a| a.server == server && a.at > from && a.at < to).count()
    }

    fn end(mut self, broken: bool) -> Result<bool, String> {
        self.clients.stop.store(true, std::sync::atomic::Ordering::Relaxed);
        self.fleet.logs(&["elect:", "leading in term"]);
        let ended = self.fleet.own_ends();
        if !ended.is_empty() {
            self.say(format!("ended by themselves: {ended:?}"));
        }
        self.say(if broken { "the rule is broken" } else { "the rule held" });
        self.world.record.flush();
        Ok(broken)
    }
}

pub fn run(case: &str, root: &Path, record: &Path, trouble: bool) -> Result<bool, String> {
    match case {
        "leaver" => leaver(root, record, trouble),
        "leaderless" => leaderless(root, record, trouble),
        "leaving-primary" => leaving_primary(root, record, trouble),
        _ => Err(format!("no case {case:?}")),
    }
}

/// A replica leaves and still confirms, another receives nothing for a while, the primary crashes meanwhile.
fn leaver(root: &Path, record: &Path, trouble: bool) -> Result<bool, String> {
    let town = Town::start(root, record, |g, i| (g + i) % 3)?;
    town.traffic(3, 1);
    sleep(s(10.0));
    let (primary, leaver, other) = (town.server(0, 0), town.server(0, 1), town.server(0, 2));
    leaver.leave();
    let left = town.now();
    town.say(format!("{} has said that it ends; it serves on", leaver.name));
    town.wait_until(left + s(4.5));
    if trouble {
        town.say(format!("{} receives nothing from now on", other.name));
        town.world.copy(&other.name, |c| c.deaf = true);
        town.wait_until(left + s(6.0));
        town.world.crash(&primary.name);
    }
    town.wait_until(left + DRAIN + s(2.0));
    town.say(format!("{} ends", leaver.name));
    town.world.crash(&leaver.name);
    if trouble {
        town.wait_until(left + s(11.0));
        town.say(format!("{} receives again", other.name));
        town.world.copy(&other.name, |c| c.deaf = false);
        town.wait_until(left + s(13.0));
        town.say(format!("{} starts again with its log", primary.name));
        primary.start().map_err(|e| e.to_string())?;
    }
    town.wait_until(left + s(20.0));
    let lost = town.world.lock().lost.clone();
    town.say(format!("LOST: {} acknowledged commits were missing in the log of a promoted server", lost.len()));
    town.end(!lost.is_empty())
}

/// The platform is down while a zone is evacuated and taken back; later all processes are killed.
fn leaderless(root: &Path, record: &Path, trouble: bool) -> Result<bool, String> {
    let mut town = Town::start(root, record, |_, i| i)?;
    town.traffic(2, 1);
    let start = town.now();
    sleep(s(12.0));
    town.world.lock().platform_down = trouble;
    town.say(format!("the platform is down: {trouble}"));
    sleep(s(0.5));
    town.operator.order(0, "POST", "/api/evacuation/zone-a", None, "");
    sleep(s(5.0));
    town.operator.order(0, "DELETE", "/api/evacuation/zone-a", None, "");
    sleep(s(1.0));
    town.world.lock().platform_down = false;
    town.say("the platform is up");
    sleep(s(8.0));
    if !town.operator.configure(&town.groups, 5, 3) {
        return Err("the second configuration was not taken".into());
    }
    let killed = town.now();
    town.fleet.kill_all(s(1.0)).map_err(|e| e.to_string())?;
    let back = town.now();
    town.wait_until(back + s(27.0));
    let (asked, served) = town.clients.served(start, killed);
    let (late_asked, late_served) = town.clients.served(back + s(12.0), back + s(26.0));
    town.say(format!("before the closing fault: {served} of {asked} operations served"));
    town.say(format!("RECOVER: later than 12 s after the return: {late_served} of {late_asked} served"));
    town.end(served * 4 >= asked && late_served * 4 < late_asked)
}

/// A primary ends without having said that it drains, and the platform is down for three seconds meanwhile. Without the
/// trouble the platform is up, and the primary says first that it drains.
fn leaving_primary(root: &Path, record: &Path, trouble: bool) -> Result<bool, String> {
    let town = Town::start(root, record, |g, i| (g + i) % 3)?;
    town.traffic(2, 2);
    sleep(s(10.0));
    let leaver = town.server(0, 0);
    let told = if trouble {
        town.world.lock().platform_down = true;
        town.say("the platform is down");
        sleep(s(0.5));
        leaver.leave();
        let told = town.now();
        town.wait_until(told + s(2.5));
        town.world.lock().platform_down = false;
        town.say("the platform is up");
        told
    } else {
        leaver.drain().ok_or("the draining beat was not acknowledged")?
    };
    let end = told + DRAIN + s(3.0);
    town.wait_until(end);
    let count = town.arrivals(&leaver.name, told + DRAIN, end);
    town.say(format!("DRAIN: {count} requests reached {} later than 7 s after the acknowledgement", leaver.name));
    if !trouble {
        leaver.leave();
    }
    town.say(format!("{} ends", leaver.name));
    town.world.crash(&leaver.name);
    town.end(count > 0)
}

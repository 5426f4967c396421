//! The servers' logs and what the platform did: what only the stand-ins know.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::record::Record;

/// How long a replica applies after it has received.
const LAG: Duration = Duration::from_millis(8);
/// How often logs are handed on.
const STEP: Duration = Duration::from_millis(1);

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    /// The ids of the writes in it.
    pub ids: Vec<String>,
}

/// One server and its copy of the group's log.
pub struct Copy {
    pub addr: SocketAddr,
    pub zone: String,
    pub up: bool,
    /// Receives nothing for now.
    pub deaf: bool,
    /// Kept from receiving for an election of this term.
    pub held: u64,
    pub log: Vec<Entry>,
    pub applied: usize,
    pending: VecDeque<(Instant, usize)>,
    pub sessions: Vec<TcpStream>,
    pub count: usize,
    /// Sends beats.
    pub beats: bool,
    /// Says in its beats that it drains.
    pub draining: bool,
    pub turn: u64,
}

pub struct Group {
    pub term: u64,
    pub lead: Option<String>,
    pub copies: BTreeMap<String, Copy>,
}

/// A client's request as it arrived at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub server: String,
}

#[derive(Default)]
pub struct State {
    pub groups: BTreeMap<String, Group>,
    pub fences: BTreeMap<String, u64>,
    pub arrivals: Vec<Arrival>,
    /// Writes that their client was told are kept, with their group.
    pub kept: BTreeMap<String, String>,
    /// Kept writes that the log of a server lacked as it was promoted.
    pub lost: BTreeSet<String>,
    pub platform_down: bool,
}

pub struct World {
    pub record: Record,
    state: Mutex<State>,
    pub moved: Condvar,
}

impl World {
    pub fn new(record: Record) -> Arc<Self> {
        let world = Arc::new(Self { record, state: Mutex::default(), moved: Condvar::new() });
        let me = world.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(STEP);
                me.lock().groups.values_mut().for_each(Group::replicate);
                me.moved.notify_all();
            }
        });
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Works on a server's copy.
    pub fn copy<T>(&self, server: &str, with: impl FnOnce(&mut Copy) -> T) -> Option<T> {
        let mut state = self.lock();
        state.groups.values_mut().find_map(|g| g.copies.get_mut(server)).map(with)
    }

    /// The server stops without a word: its sessions end, its port is dead, its log stays.
    pub fn crash(&self, server: &str) {
        self.record.say(format!("server {server} crashes"));
        self.copy(server, |c| {
            c.up = false;
            for io in c.sessions.drain(..) {
                let _ = io.shutdown(std::net::Shutdown::Both);
            }
        });
    }

    /// Carries out a promotion: the server leads the next term with what it has received and no more.
    pub fn promote(&self, group: &str, server: &str) {
        let mut state = self.lock();
        let state = &mut *state;
        let Some(g) = state.groups.get_mut(group) else { return };
        let Some(c) = g.copies.get_mut(server).filter(|c| c.up) else { return };
        g.term += 1;
        c.applied = c.log.len();
        c.pending.clear();
        let held: BTreeSet<&String> = c.log.iter().flat_map(|e| &e.ids).collect();
        let lost: Vec<&String> =
            state.kept.iter().filter(|(id, of)| *of == group && !held.contains(id)).map(|(id, _)| id).collect();
        self.record.say(format!(
            "server {server} leads {group} in term {} with {} commits; acknowledged and missing in its log: {}",
            g.term,
            c.log.len(),
            lost.len()
        ));
        lost.iter().for_each(|id| self.record.line(format!("lost {id}")));
        state.lost.extend(lost.into_iter().cloned());
        g.lead = Some(server.into());
        g.copies.values_mut().for_each(|c| c.held = 0);
    }
}

impl Copy {
    pub fn new(addr: SocketAddr, zone: &str) -> Self {
        Self {
            addr,
            zone: zone.into(),
            up: false,
            deaf: false,
            held: 0,
            log: Vec::new(),
            applied: 0,
            pending: VecDeque::new(),
            sessions: Vec::new(),
            count: 0,
            beats: true,
            draining: false,
            turn: 0,
        }
    }

    /// TERM.NUMBER of the first `count` entries.
    pub fn place(&self, count: usize) -> String {
        let last = count.checked_sub(1).and_then(|at| self.log.get(at));
        last.map_or("1.0".into(), |e| format!("{}.{}", e.term, e.number))
    }
}

impl Group {
    /// Every replica that receives takes on the primary's log, cut back where it went another way.
    fn replicate(&mut self) {
        let now = Instant::now();
        if let Some(lead) = self.lead.clone().filter(|l| self.copies.get(l).is_some_and(|c| c.up)) {
            let log = self.copies[&lead].log.clone();
            for (_, c) in self.copies.iter_mut().filter(|(n, c)| **n != lead && c.up && !c.deaf && c.held == 0) {
                let mut same = c.log.len().min(log.len());
                while same > 0 && c.log[same - 1] != log[same - 1] {
                    same -= 1;
                }
                if c.log.len() > same || log.len() > same {
                    c.log.truncate(same);
                    c.applied = c.applied.min(same);
                    c.log.extend_from_slice(&log[same..]);
                    c.pending.push_back((now + LAG, c.log.len()));
                }
            }
        }
        for c in self.copies.values_mut() {
            while c.pending.front().is_some_and(|(at, _)| *at <= now) {
                let (_, count) = c.pending.pop_front().unwrap();
                c.applied = c.applied.max(count.min(c.log.len()));
            }
        }
    }

    /// Whether a replica has received the primary's first `count` entries.
    pub fn confirmed(&self, count: usize) -> bool {
        let Some(name) = &self.lead else { return false };
        let want = self.copies[name].log.get(count - 1);
        want.is_some() && self.copies.iter().any(|(n, c)| n != name && c.up && c.log.get(count - 1) == want)
    }
}

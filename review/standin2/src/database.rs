//! Stand-in database servers of one service, as PROTOCOL.md describes them: one primary and its replicas, each with a
//! log, behind real sockets. A commit is answered once one replica has received it (`sync_replicas` 1).

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{origin::Origins, record::Record};

/// How long a read, write or commit takes.
const WORK: Duration = Duration::from_millis(3);
/// How long a new connection takes.
const HANDSHAKE: Duration = Duration::from_millis(12);
/// How often replicas receive.
const REPLICATION: Duration = Duration::from_millis(2);

/// One commit in a log.
#[derive(Clone, PartialEq)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub id: String,
}

/// One server.
#[derive(Default)]
pub struct Server {
    pub zone: String,
    pub address: String,
    pub log: Vec<Entry>,
    /// The term that replication is suspended for; 0 if it is not.
    pub suspended: u64,
    /// Receives nothing from the primary.
    pub deaf: bool,
    /// Neither answers nor sends anything.
    pub dark: bool,
    /// Cut off from the machines of the core.
    pub cut_from_core: bool,
    /// Cut off from these machines.
    pub cut_from: std::collections::BTreeSet<String>,
    pub draining: bool,
    pub deregistered: bool,
    /// The process has ended.
    pub ended: bool,
    pub connections: u64,
    /// Counts its restarts: connections of an earlier run are closed.
    pub run: u64,
}

impl Server {
    pub fn position(&self) -> String {
        self.log.last().map_or("-".into(), |entry| format!("{}.{}", entry.term, entry.number))
    }

    fn holds(&self, position: &str) -> bool {
        let Some((term, number)) = position.split_once('.') else { return false };
        let wanted = (term.parse::<u64>().unwrap_or(0), number.parse::<u64>().unwrap_or(0));
        self.log.last().is_some_and(|entry| (entry.term, entry.number) >= wanted)
    }
}

/// A statement of a client's that reached a server.
pub struct Arrival {
    pub at: Instant,
    pub server: String,
    pub zone: String,
    pub id: String,
    pub text: String,
    /// The machine that sent it.
    pub machine: String,
}

/// The service: what its servers and the platform share.
#[derive(Default)]
pub struct Service {
    pub name: String,
    pub servers: BTreeMap<String, Server>,
    pub term: u64,
    pub primary: String,
    pub highest_fence: u64,
    pub arrivals: Vec<Arrival>,
    /// Ids of writes that a client was told are committed, with the time of that answer.
    pub acknowledged: Vec<(String, Instant)>,
    /// Server promoted, acknowledged commits that its log lacked.
    pub promotions: Vec<(String, Vec<String>)>,
    pub stop: bool,
    /// What each statement of a client's expects, by its id.
    pub expected: BTreeMap<String, Expected>,
    /// Rules that were seen broken.
    pub broken: Vec<String>,
    /// Zones: since when their evacuation is acknowledged.
    pub evacuated: BTreeMap<String, Instant>,
    /// Servers: since when their leaving is acknowledged.
    pub leaving: BTreeMap<String, Instant>,
    /// How long the platform holds a call before it handles it.
    pub platform_delay: Duration,
    /// 1: the platform acts and closes without an answer; 2: it acts and answers 500.
    pub platform_unanswered: u8,
    /// How late each third heartbeat comes.
    pub late_heartbeats: Duration,
    /// One answer in so many is lost; 0 for none.
    pub lost_answers: u64,
    /// The same for the statements of the system's own.
    pub lost_replies: u64,
    pub control_statements: u64,
    /// Operations of clients: tried, and answered with success.
    pub tried: u64,
    pub served: u64,
    /// The databases of the acknowledged changes of the configuration, in their order.
    pub routes: Vec<(String, Instant)>,
    /// Commits cut back by a promotion.
    pub cut_back: std::collections::BTreeSet<String>,
    pub statements: u64,
    pub run_statements: BTreeMap<String, u64>,
}

/// What a statement of a client's expects.
#[derive(Clone, Default)]
pub struct Expected {
    /// Session values.
    pub values: BTreeMap<String, String>,
    /// The shape that the prepared name stands for.
    pub shape: Option<String>,
    /// How many of the acknowledged commits a read must see.
    pub acknowledged: usize,
    /// Further commits that a read must see.
    pub own: Vec<String>,
    /// The transaction it is in; 0 outside.
    pub transaction: u64,
}

impl Service {
    /// Operations of clients: tried, and served.
    pub fn clone_counts(&self) -> (u64, u64) {
        (self.tried, self.served)
    }
}

pub type Shared = Arc<Mutex<Service>>;

pub fn lock(service: &Shared) -> MutexGuard<'_, Service> {
    service.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Starts the replication of the service.
pub fn run_replication(service: Shared) {
    thread::spawn(move || {
        loop {
            thread::sleep(REPLICATION);
            let mut service = lock(&service);
            if service.stop {
                return;
            }
            let primary = service.primary.clone();
            let Some(source) = service.servers.get(&primary).filter(|s| !s.dark && !s.ended) else { continue };
            let log = source.log.clone();
            for (name, replica) in &mut service.servers {
                if *name != primary
                    && !replica.deaf
                    && !replica.dark
                    && !replica.ended
                    && replica.suspended == 0
                    && replica.log != log
                {
                    replica.log.clone_from(&log);
                }
            }
        }
    });
}

/// Carries a promotion out: the server leads the next term with what it has.
pub fn promote(service: &Shared, id: &str, record: &Record) {
    let mut service = lock(service);
    let now = Instant::now();
    let Some(server) = service.servers.get(id).filter(|s| !s.dark && !s.ended) else { return };
    let held: std::collections::BTreeSet<&str> = server.log.iter().map(|entry| entry.id.as_str()).collect();
    let missing: Vec<String> = service
        .acknowledged
        .iter()
        .filter(|(write, at)| *at <= now && !held.contains(write.as_str()))
        .map(|(write, _)| write.clone())
        .collect();
    let position = server.position();
    let holders: Vec<String> = service
        .servers
        .iter()
        .map(|(name, s)| format!("{name}={}{}", s.position(), if s.dark { " (dark)" } else { "" }))
        .collect();
    record.line(format!(
        "promotion of {id} carried out; its log ends at {position}; all logs: {}; acknowledged commits that it lacks: {}",
        holders.join(", "),
        missing.len()
    ));
    let cut: Vec<String> = service
        .servers
        .values()
        .flat_map(|s| s.log.iter())
        .filter(|entry| !held.contains(entry.id.as_str()))
        .map(|entry| entry.id.clone())
        .collect();
    if !missing.is_empty() {
        let line = format!("LOST: promotion of {id} lacks {} acknowledged commits, {:?}", missing.len(), missing[0]);
        service.broken.push(line);
    }
    service.cut_back.extend(cut);
    service.term += 1;
    service.primary = id.into();
    service.servers.values_mut().for_each(|s| s.suspended = 0);
    service.promotions.push((id.into(), missing));
}

/// Listens as one server.
pub fn serve(service: Shared, name: String, listener: TcpListener, origins: Origins, record: Record) {
    thread::spawn(move || {
        let _ = listener.set_nonblocking(true);
        loop {
            // A server that has ended does not listen any more.
            if lock(&service).servers[&name].ended || lock(&service).stop {
                return;
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let (service, name, origins, record) = (service.clone(), name.clone(), origins.clone(), record.clone());
            thread::spawn(move || {
                let machine = origins.machine_of(&stream);
                lock(&service).servers.get_mut(&name).unwrap().connections += 1;
                let run = lock(&service).servers[&name].run;
                Connection { service: service.clone(), name: name.clone(), machine, run, stream, record }.run();
                lock(&service).servers.get_mut(&name).unwrap().connections -= 1;
            });
        }
    });
}

/// One connection to a server.
struct Connection {
    service: Shared,
    name: String,
    machine: String,
    run: u64,
    stream: TcpStream,
    record: Record,
}

/// An open transaction.
struct Transaction {
    /// The client's transaction that it belongs to; 0 before its first statement.
    of_client: u64,
    read_only: bool,
    failed: bool,
    writes: Vec<String>,
    term: u64,
}

impl Connection {
    /// Waits while the network or the server is silent. False when the connection is to be closed.
    fn wait_while_silent(&self) -> bool {
        loop {
            {
                let service = lock(&self.service);
                let server = &service.servers[&self.name];
                if service.stop || server.ended || server.run != self.run {
                    return false;
                }
                let is_cut = (server.cut_from_core && self.machine.starts_with("core"))
                    || server.cut_from.contains(&self.machine);
                if !server.dark && !is_cut {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn run(mut self) {
        let _ = self.stream.set_nodelay(true);
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(50)));
        let mut buffer: Vec<u8> = Vec::new();
        let mut open = false;
        let mut transaction: Option<Transaction> = None;
        let mut prepared: BTreeMap<String, String> = BTreeMap::new();
        let mut values: BTreeMap<String, String> = BTreeMap::new();
        loop {
            if !self.wait_while_silent() {
                return;
            }
            let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
                let mut chunk = [0u8; 4096];
                match self.stream.read(&mut chunk) {
                    Ok(0) => return,
                    Ok(n) => buffer.extend_from_slice(&chunk[..n]),
                    Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                    Err(_) => return,
                }
                continue;
            };
            let line = String::from_utf8_lossy(&buffer[..end]).trim_end_matches('\r').to_string();
            buffer.drain(..=end);
            if line == "RELEASE" {
                return;
            }
            let answer = if !open {
                match self.set_up(&line) {
                    Ok(answer) => {
                        open = true;
                        answer
                    }
                    Err(answer) => {
                        let _ = self.stream.write_all(answer.as_bytes());
                        return;
                    }
                }
            } else {
                match self.query(&line, &mut transaction, &mut prepared, &mut values) {
                    Some(answer) => answer,
                    None => return,
                }
            };
            let lost = {
                let service = lock(&self.service);
                service.lost_answers > 0
                    && open
                    && service.statements % service.lost_answers == 0
                    && !line.contains(" - ")
            };
            let lost = lost || {
                let mut service = lock(&self.service);
                service.control_statements += u64::from(line.contains(" - "));
                open && line.contains(" - ")
                    && service.lost_replies > 0
                    && service.control_statements % service.lost_replies == 0
            };
            if lost {
                if line.len() % 2 == 0 {
                    return;
                }
                continue;
            }
            if !self.wait_while_silent() || self.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn set_up(&self, line: &str) -> Result<String, String> {
        thread::sleep(HANDSHAKE);
        let fields: Vec<&str> = line.split(' ').collect();
        let service = lock(&self.service);
        match fields[..] {
            ["SETUP", name, _, id] if name == service.name && id == self.name => {}
            ["SETUP", name, _] if name == service.name => {}
            _ => return Err("ERROR WRONGNODE not this one\r\n".into()),
        }
        Ok(format!("IDLE I {}\r\n", service.servers[&self.name].position()))
    }

    fn query(
        &self,
        line: &str,
        transaction: &mut Option<Transaction>,
        prepared: &mut BTreeMap<String, String>,
        values: &mut BTreeMap<String, String>,
    ) -> Option<String> {
        let rest = line.strip_prefix("QUERY ")?;
        let (id, text) = rest.split_once(' ')?;
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => rest.split_once(' ').map(|(position, text)| (Some(position), text))?,
            None => (None, text),
        };
        if id != "-" {
            let mut service = lock(&self.service);
            let zone = service.servers[&self.name].zone.clone();
            service.arrivals.push(Arrival {
                at: Instant::now(),
                server: self.name.clone(),
                zone,
                id: id.into(),
                text: text.into(),
                machine: self.machine.clone(),
            });
        }
        let (verb, operands) = text.split_once(' ').unwrap_or((text, ""));
        if id != "-" {
            let name = operands.split(' ').next().and_then(|name| prepared.get(name));
            self.check_statement(id, verb, name, transaction, values);
        }
        let result: Result<Vec<String>, &str> = match verb {
            "STATUS" | "SUSPEND" | "RESUME" | "STEPDOWN" => return Some(self.control(verb, operands)),
            "CLEAR" => {
                prepared.clear();
                values.clear();
                Ok(vec![])
            }
            "MODIFY" => {
                let (name, value) = operands.split_once(' ')?;
                values.insert(name.into(), value.into());
                Ok(vec![])
            }
            "DEFINE" => {
                let (name, shape) = operands.split_once(' ')?;
                prepared.insert(name.into(), shape.into());
                Ok(vec![])
            }
            "UNDEFINE" => prepared.remove(operands).map(|_| vec![]).ok_or("UNDEFINED"),
            "ABORT" => {
                *transaction = None;
                Ok(vec![])
            }
            "BEGIN" => {
                let service = lock(&self.service);
                let read_only = operands == "FETCH";
                if after.is_some_and(|position| !service.servers[&self.name].holds(position)) {
                    Err("LAGGING")
                } else if !read_only && service.primary != self.name {
                    Err("READONLY")
                } else {
                    *transaction = Some(Transaction {
                        of_client: 0,
                        read_only,
                        failed: false,
                        writes: Vec::new(),
                        term: service.term,
                    });
                    Ok(vec![])
                }
            }
            "COMMIT" => {
                thread::sleep(WORK);
                let Some(open) = transaction.take() else { return Some(self.answer(Err("MALFORMED"), "I", false)) };
                if open.failed {
                    Err("REVERTED")
                } else if open.writes.is_empty() {
                    Ok(vec![])
                } else if !self.leads(open.term) {
                    Err("READONLY")
                } else {
                    self.commit(open.writes)?;
                    Ok(vec![])
                }
            }
            _ => {
                let writes = verb == "STORE"
                    || (verb == "INVOKE"
                        && operands
                            .split(' ')
                            .next()
                            .and_then(|name| prepared.get(name))
                            .is_some_and(|shape| shape.starts_with("STORE")));
                thread::sleep(WORK);
                let lagging = after.is_some_and(|p| !lock(&self.service).servers[&self.name].holds(p));
                let leads = lock(&self.service).primary == self.name;
                match (transaction.as_mut(), writes) {
                    _ if lagging => Err("LAGGING"),
                    (Some(open), _) if open.failed => Err("MALFORMED"),
                    (Some(open), _) if !open.read_only && !self.leads(open.term) => Err("READONLY"),
                    (Some(open), true) if open.read_only => Err("READONLY"),
                    (Some(open), true) => {
                        open.writes.push(id.into());
                        Ok(vec![])
                    }
                    (None, true) if !leads => Err("READONLY"),
                    (None, true) => {
                        self.commit(vec![id.into()])?;
                        Ok(vec![])
                    }
                    (_, false) => {
                        self.check_read(id);
                        Ok(vec![format!("row-of-{}", self.name)])
                    }
                }
            }
        };
        if result.is_err()
            && let Some(open) = transaction
        {
            open.failed = true;
        }
        let state = match transaction {
            None => "I",
            Some(open) if open.failed => "E",
            Some(_) => "T",
        };
        let has_stamp = matches!(verb, "FETCH" | "STORE" | "INVOKE" | "COMMIT");
        Some(self.answer(result, state, has_stamp))
    }

    /// Checks what a client's statement meets when it arrives.
    fn check_statement(
        &self,
        id: &str,
        verb: &str,
        shape: Option<&String>,
        transaction: &mut Option<Transaction>,
        values: &BTreeMap<String, String>,
    ) {
        let mut service = lock(&self.service);
        let now = Instant::now();
        service.statements += 1;
        let zone = service.servers[&self.name].zone.clone();
        let mut broken = Vec::new();
        if service.evacuated.get(&zone).is_some_and(|at| now > *at + Duration::from_millis(5000)) {
            broken.push("EVAC");
        }
        let Some(expected) = service.expected.get(id).cloned() else {
            if !service.expected.is_empty() && verb != "BEGIN" && verb != "ABORT" {
                service.broken.push(format!("UNASKED {id} {verb} at {}", self.name));
            }
            return;
        };
        let first = transaction.as_ref().is_none_or(|open| open.of_client == 0);
        if first && service.leaving.get(&self.name).is_some_and(|at| now > *at + Duration::from_millis(7000)) {
            broken.push("DRAIN");
        }
        match transaction {
            Some(open) if open.of_client == 0 && expected.transaction != 0 => open.of_client = expected.transaction,
            Some(open) if open.of_client != expected.transaction => broken.push("PINNED transaction"),
            None if expected.transaction != 0 => broken.push("PINNED outside its transaction"),
            _ => {}
        }
        if *values != expected.values {
            broken.push("PINNED values");
        }
        if verb == "INVOKE" && shape != expected.shape.as_ref() {
            broken.push("PINNED shape");
        }
        for rule in broken {
            let line = format!("{rule}: {id} {verb} at {} from {}", self.name, self.machine);
            self.record.line(&line);
            service.broken.push(line);
        }
    }

    /// Checks that the log holds what a read must see.
    fn check_read(&self, id: &str) {
        let mut service = lock(&self.service);
        let Some(expected) = service.expected.get(id) else { return };
        let held: std::collections::HashSet<&str> =
            service.servers[&self.name].log.iter().map(|entry| entry.id.as_str()).collect();
        let acknowledged = service.acknowledged[..expected.acknowledged].iter().rev().take(400).map(|(id, _)| id);
        let missing: Vec<String> = acknowledged
            .chain(&expected.own)
            .filter(|write| !held.contains(write.as_str()) && !service.cut_back.contains(*write))
            .cloned()
            .collect();
        if !missing.is_empty() {
            let line = format!("STALE: {id} at {} misses {} commits, {:?}", self.name, missing.len(), missing.first());
            self.record.line(&line);
            service.broken.push(line);
        }
    }

    fn leads(&self, term: u64) -> bool {
        let service = lock(&self.service);
        service.primary == self.name && service.term == term
    }

    fn answer(&self, result: Result<Vec<String>, &str>, state: &str, has_stamp: bool) -> String {
        let service = lock(&self.service);
        let server = &service.servers[&self.name];
        let head = match result {
            Ok(rows) => {
                let rows: String = rows.iter().map(|row| format!("DATA {row}\r\n")).collect();
                let stamp = if has_stamp { format!("{}.{}", self.name, server.log.len()) } else { "-".into() };
                format!("{rows}COMPLETE {stamp}\r\n")
            }
            Err(code) => format!("ERROR {code} {}\r\n", self.name),
        };
        format!("{head}IDLE {state} {}\r\n", server.position())
    }

    /// Appends a commit and waits until one replica has received it; `None` if it can't be answered.
    fn commit(&self, writes: Vec<String>) -> Option<()> {
        let length = {
            let mut service = lock(&self.service);
            let term = service.term;
            let server = service.servers.get_mut(&self.name)?;
            let number = server.log.last().map_or(0, |entry| entry.number) + 1;
            if let Some(twice) = writes.iter().find(|id| server.log.iter().any(|entry| entry.id == **id)).cloned() {
                service.broken.push(format!("TWICE: {twice}"));
                self.record.line(format!("TWICE: {twice}"));
            }
            let server = service.servers.get_mut(&self.name)?;
            // A commit of several writes takes one number.
            server.log.extend(writes.iter().map(|id| Entry { term, number, id: id.clone() }));
            server.log.len()
        };
        let last = writes.last()?;
        loop {
            if !self.wait_while_silent() {
                return None;
            }
            let service = lock(&self.service);
            if service.primary != self.name {
                self.record.line(format!("{} lost the lead with {last} unanswered", self.name));
                return None;
            }
            let received = |(name, server): (&String, &Server)| {
                *name != self.name && server.log.get(length - 1).is_some_and(|entry| entry.id == *last)
            };
            if service.servers.iter().any(received) {
                return Some(());
            }
            drop(service);
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn control(&self, verb: &str, operands: &str) -> String {
        let mut service = lock(&self.service);
        let term: u64 = operands.parse().unwrap_or(0);
        let is_primary = service.primary == self.name;
        let newest = service.term;
        match verb {
            "SUSPEND" if term > newest && !is_primary => service.servers.get_mut(&self.name).unwrap().suspended = term,
            "RESUME" => service.servers.get_mut(&self.name).unwrap().suspended = 0,
            "STEPDOWN" if is_primary && term > newest => service.primary = String::new(),
            _ => {}
        }
        if verb != "STATUS" {
            self.record.line(format!("{} is told {verb} {operands} by {}", self.name, self.machine));
        }
        let role = if service.primary == self.name { "primary" } else { "standby" };
        let server = &service.servers[&self.name];
        let position = server.position();
        format!(
            "DATA {role} {newest} {position} {} 0 0 {}\r\nCOMPLETE -\r\nIDLE I {position}\r\n",
            server.suspended, server.connections
        )
    }
}

//! A database server on the wire, with its beats.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    world::{Arrival, Entry, World},
};

pub const CONNECTIONS: usize = 76;
const HANDSHAKE: Duration = Duration::from_millis(12);
const WORK: Duration = Duration::from_millis(3);
const BEAT: Duration = Duration::from_millis(1200);
const BEAT_ANSWER: Duration = Duration::from_secs(1);
/// After how long a commit that no replica receives ends as `EXPIRED`.
const EXPIRES: Duration = Duration::from_secs(3);

/// A server of a group.
#[derive(Clone)]
pub struct Server {
    pub world: Arc<World>,
    pub name: String,
    pub group: String,
    pub control: Vec<SocketAddr>,
}

impl Server {
    /// Starts the server, again with the log that it had.
    pub fn start(&self) -> std::io::Result<()> {
        let addr = self.world.copy(&self.name, |c| c.addr).expect("a known server");
        let door = TcpListener::bind(addr)?;
        door.set_nonblocking(true)?;
        self.world.copy(&self.name, |c| {
            c.up = true;
            c.held = 0;
            c.count = 0;
            c.applied = c.log.len();
        });
        let me = self.clone();
        thread::spawn(move || {
            while me.up() {
                match door.accept() {
                    Ok((io, _)) => {
                        let me = me.clone();
                        thread::spawn(move || me.session(io));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        let me = self.clone();
        thread::spawn(move || me.beats());
        Ok(())
    }

    fn up(&self) -> bool {
        self.world.copy(&self.name, |c| c.up).unwrap_or(false)
    }

    fn leads(&self) -> Option<u64> {
        let state = self.world.lock();
        let group = &state.groups[&self.group];
        (group.lead.as_deref() == Some(&self.name)).then_some(group.term)
    }

    /// The next beat, composed now.
    fn beat(&self) -> (String, String) {
        let role = if self.leads().is_some() { "primary" } else { "standby" };
        let (addr, zone, turn, draining) = self
            .world
            .copy(&self.name, |c| {
                c.turn += 1;
                (c.addr, c.zone.clone(), c.turn, c.draining)
            })
            .expect("a known server");
        let state = if draining { "draining" } else { "in_service" };
        let body = format!(
            "{{\"target_service\":\"{}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"release_no\":\"v1\",\
             \"capacity_slots\":4,\"state\":\"{state}\",\"warmup_left_ms\":0,\"db_role\":\"{role}\",\
             \"call_seq\":{turn}}}",
            self.group
        );
        (format!("/api/instances/{}", self.name), body)
    }

    fn beats(&self) {
        let mut at = 0;
        while self.up() {
            let role = self.leads();
            let mut wait = Duration::from_millis(50);
            if self.world.copy(&self.name, |c| c.beats).unwrap_or(false) {
                let (path, body) = self.beat();
                let node = self.control[at % self.control.len()];
                let out = http::call(node, "PUT", &path, &[], &body, BEAT_ANSWER);
                let good = out.as_ref().is_some_and(|(code, _)| (200..300).contains(code));
                if !good {
                    at += 1;
                    self.world.record.line(format!("beat of {} at {node}: {:?}", self.name, out.map(|o| o.0)));
                }
                wait = if good { BEAT } else { Duration::from_millis(100) };
            }
            // A change of role is told at once.
            let end = Instant::now() + wait;
            while Instant::now() < end && self.leads() == role {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    /// Says that it drains; when that was acknowledged.
    pub fn drain(&self) -> Option<Duration> {
        self.world.copy(&self.name, |c| c.draining = true);
        for turn in 0..100 {
            let (path, body) = self.beat();
            let out = http::call(self.control[turn % self.control.len()], "PUT", &path, &[], &body, BEAT_ANSWER);
            self.world.record.say(format!("PUT {path} draining: {:?}", out.as_ref().map(|o| o.0)));
            if out.is_some_and(|(code, _)| (200..300).contains(&code)) {
                return Some(self.world.record.now());
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Says that it ends, until that is acknowledged; no beat is sent after.
    pub fn leave(&self) {
        self.world.copy(&self.name, |c| c.beats = false);
        let path = format!("/api/instances/{}", self.name);
        for turn in 0..100 {
            let node = self.control[turn % self.control.len()];
            let out = http::call(node, "DELETE", &path, &[], "", BEAT_ANSWER);
            self.world.record.say(format!("DELETE {path} at {node}: {:?}", out.as_ref().map(|o| o.0)));
            if out.is_some_and(|(code, _)| (200..300).contains(&code)) {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn session(&self, io: TcpStream) {
        let _ = io.set_nonblocking(false);
        let _ = io.set_nodelay(true);
        let Ok(kept) = io.try_clone() else { return };
        let full = self.world.copy(&self.name, |c| {
            c.sessions.push(kept);
            c.count += 1;
            c.count > CONNECTIONS
        });
        let _ = self.talk(&io, full.unwrap_or(true));
        let _ = io.shutdown(std::net::Shutdown::Both);
        let peer = io.peer_addr().ok();
        self.world.copy(&self.name, |c| {
            c.count = c.count.saturating_sub(1);
            c.sessions.retain(|s| s.peer_addr().ok() != peer || peer.is_none());
            c.sessions.retain(|s| s.peer_addr().is_ok());
        });
    }

    fn talk(&self, io: &TcpStream, full: bool) -> Option<()> {
        let mut lines = BufReader::new(io.try_clone().ok()?);
        let mut out = io;
        let hello = line(&mut lines)?;
        let parts: Vec<&str> = hello.split(' ').collect();
        let good = parts.len() >= 3
            && parts[0] == "SETUP"
            && parts[1] == self.group
            && parts.get(3).is_none_or(|id| *id == self.name);
        if !good || full {
            let code = if good { "OVERLOAD" } else { "WRONGNODE" };
            out.write_all(format!("ERROR {code} {}\r\n", self.name).as_bytes()).ok()?;
            return None;
        }
        thread::sleep(HANDSHAKE);
        let mut session = Session::default();
        out.write_all(self.idle(&session).as_bytes()).ok()?;
        loop {
            let line = line(&mut lines)?;
            let (id, text) = line.strip_prefix("QUERY ")?.split_once(' ')?;
            if id != "-" {
                let at = self.world.record.now();
                self.world.lock().arrivals.push(Arrival { at, server: self.name.clone() });
                self.world.record.line(format!("at {}: {id} {text}", self.name));
            }
            let (rows, end) = match self.run(&mut session, id, text) {
                Ok((rows, stamp)) => (rows, format!("COMPLETE {stamp}\r\n")),
                Err(code) => {
                    session.failed |= session.plain.is_some();
                    (String::new(), format!("ERROR {code} {}\r\n", self.name))
                }
            };
            if id != "-" {
                self.world.record.line(format!("at {}: {id} -> {}", self.name, end.trim_end()));
            }
            if !self.up() {
                return None;
            }
            out.write_all((rows + &end + &self.idle(&session)).as_bytes()).ok()?;
        }
    }

    fn idle(&self, session: &Session) -> String {
        let place = self.world.copy(&self.name, |c| c.place(c.applied)).unwrap_or_default();
        let state = match (session.plain, session.failed) {
            (None, _) => "I",
            (_, true) => "E",
            _ => "T",
        };
        format!("IDLE {state} {place}\r\n")
    }

    fn run(&self, session: &mut Session, id: &str, text: &str) -> Result<(String, String), &'static str> {
        let done = || Ok((String::new(), "-".to_string()));
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (place, rest) = rest.split_once(' ').ok_or("MALFORMED")?;
            let (_, number) = place.split_once('.').ok_or("MALFORMED")?;
            let number: usize = number.parse().map_err(|_| "MALFORMED")?;
            if self.world.copy(&self.name, |c| c.applied).unwrap_or(0) < number {
                return Err("LAGGING");
            }
            text = rest;
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (name, more) = rest.split_once(' ').unwrap_or((rest, ""));
        if session.failed && !matches!(word, "COMMIT" | "ABORT") {
            return Err("MALFORMED");
        }
        let word = match word {
            "INVOKE" if session.names.get(name).ok_or("UNDEFINED")?.starts_with("STORE") => "STORE",
            "INVOKE" => "FETCH",
            _ => word,
        };
        let stamp = || format!("{}.{id}", self.name);
        match word {
            "CLEAR" => {
                session.names.clear();
                done()
            }
            "MODIFY" => done(),
            "DEFINE" => {
                session.names.insert(name.into(), more.into());
                done()
            }
            "UNDEFINE" => {
                session.names.remove(name).ok_or("UNDEFINED")?;
                done()
            }
            "STATUS" | "SUSPEND" | "RESUME" | "STEPDOWN" => Ok((self.order(word, rest), "-".into())),
            "BEGIN" => {
                let plain = rest.is_empty();
                let term = self.leads();
                if plain && term.is_none() {
                    return Err("READONLY");
                }
                session.plain = Some(if plain { term } else { None });
                session.ids.clear();
                done()
            }
            "ABORT" => {
                (session.plain, session.failed) = (None, false);
                done()
            }
            "COMMIT" => {
                let term = session.plain.take().ok_or("MALFORMED")?;
                if std::mem::take(&mut session.failed) {
                    return Err("FAILED");
                }
                thread::sleep(WORK);
                let ids = std::mem::take(&mut session.ids);
                if ids.is_empty() {
                    return Ok((String::new(), stamp()));
                }
                if self.leads() != term {
                    return Err("READONLY");
                }
                self.commit(ids).map(|()| (String::new(), stamp()))
            }
            "FETCH" => {
                if session.plain.flatten().is_some_and(|term| self.leads() != Some(term)) {
                    return Err("READONLY");
                }
                thread::sleep(WORK);
                Ok(("DATA row\r\n".into(), stamp()))
            }
            "STORE" => {
                let lead = self.leads();
                if lead.is_none() || session.plain.is_some_and(|term| term != lead) {
                    return Err("READONLY");
                }
                thread::sleep(WORK);
                if session.plain.is_some() {
                    session.ids.push(id.into());
                } else {
                    self.commit(vec![id.into()])?;
                }
                Ok((String::new(), stamp()))
            }
            _ => Err("MALFORMED"),
        }
    }

    /// Appends a commit, and waits until a replica has received it.
    fn commit(&self, ids: Vec<String>) -> Result<(), &'static str> {
        let mut state = self.world.lock();
        let group = state.groups.get_mut(&self.group).ok_or("FAILED")?;
        let term = group.term;
        if group.lead.as_deref() != Some(&self.name) {
            return Err("READONLY");
        }
        let copy = group.copies.get_mut(&self.name).ok_or("FAILED")?;
        let number = copy.log.len() as u64 + 1;
        copy.log.push(Entry { term, number, ids });
        copy.applied = copy.log.len();
        let end = Instant::now() + EXPIRES;
        while Instant::now() < end {
            let group = &state.groups[&self.group];
            if group.lead.as_deref() != Some(&self.name) || group.term != term || !group.copies[&self.name].up {
                break;
            }
            if group.confirmed(number as usize) {
                return Ok(());
            }
            state = self.world.moved.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
        }
        Err("EXPIRED")
    }

    /// A control node's word to this server; the row that answers it.
    fn order(&self, word: &str, rest: &str) -> String {
        let term: u64 = rest.parse().unwrap_or(0);
        let mut state = self.world.lock();
        let group = state.groups.get_mut(&self.group).expect("a known group");
        let leads = group.lead.as_deref() == Some(&self.name);
        match word {
            "STEPDOWN" if leads && term > group.term => group.lead = None,
            "SUSPEND" if !leads && term > group.term => group.copies.get_mut(&self.name).unwrap().held = term,
            "RESUME" => group.copies.get_mut(&self.name).unwrap().held = 0,
            _ => {}
        }
        if word != "STATUS" {
            self.world.record.say(format!("at {}: {word} {rest}", self.name));
        }
        let role = if group.lead.as_deref() == Some(&self.name) { "primary" } else { "standby" };
        let copy = &group.copies[&self.name];
        let (place, held, count) = (copy.place(copy.log.len()), copy.held, copy.count);
        format!("DATA {role} {} {place} {held} 0 0 {count}\r\n", group.term)
    }
}

/// What a session holds.
#[derive(Default)]
struct Session {
    names: BTreeMap<String, String>,
    /// An open transaction: the term of a plain one, none of one that only reads.
    plain: Option<Option<u64>>,
    failed: bool,
    ids: Vec<String>,
}

/// One line without its end.
pub fn line(lines: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    match lines.read_line(&mut text) {
        Ok(n) if n > 0 && text.ends_with("\r\n") => Some(text[..text.len() - 2].to_string()),
        _ => None,
    }
}

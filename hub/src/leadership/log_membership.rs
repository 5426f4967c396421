use std::time::Duration;

use base::{ErrorKind, position::Position, runtime::Component};
use wire::{Election, Group, Image, ServerLog};

use super::{Leadership, readings::LogReading};

/// What this hub saw of a server's log since it first met it.
#[derive(Clone, Copy, Debug)]
pub struct LogRecord {
    /// The log's identity.
    born: u64,
    /// Since when this log is known, or known to have lost something.
    since: Duration,
    /// The turn of the entry that it lost something of.
    back: Option<u64>,
    /// The head it has to reach, read after `since`.
    goal: Option<Position>,
}

/// How a group's membership stands.
#[derive(Clone, Copy, Debug, Default)]
pub struct MembershipPhase {
    /// When this hub first knew of the present set of voters and leavers.
    since: Duration,
    sum: u64,
    /// The head that must be held by those who stay.
    goal: Option<Position>,
}

fn sum(image: &Image, g: &Group) -> u64 {
    let mut all = crc32fast::Hasher::new();
    image.voters(g).for_each(|l| all.update(l.server.as_bytes()));
    g.leaving_servers.iter().for_each(|l| all.update(l.as_bytes()));
    u64::from(all.finalize()) | 1 << 32
}

impl Leadership {
    /// Takes in a reading; a place that went back, or another log, is noted before the reading counts.
    pub(super) fn seen_now(&self, server: &str, new: LogReading) {
        let image = self.consensus.image();
        let entry = image.as_ref().and_then(|i| i.log(server).cloned());
        let line = image
            .as_ref()
            .and_then(|i| i.election(&i.group_including_leaving(server)?.name))
            .map(|e| (e.epoch, e.start_position()));
        let (line, from) = line.unwrap_or_default();
        let old = self.seen.borrow().get(server).copied();
        let lost = old.is_some_and(|o| o.log == new.log && o.place.has_lost_entries(new.place, line, from));
        {
            let mut rolls = self.rolls.borrow_mut();
            let fresh = LogRecord { born: new.log, since: new.at, back: None, goal: None };
            let roll = rolls.entry(server.into()).or_insert(fresh);
            if roll.born != new.log {
                *roll = fresh;
            }
            if lost {
                roll.since = new.at;
                roll.goal = None;
                roll.back = Some(entry.map_or(0, |e| e.admission));
                self.log(Component::Elect, format!("{server} went back to {} in its log", new.place));
            }
        }
        self.seen.borrow_mut().insert(server.into(), new);
    }

    /// A node tells that a log lost something after it was taken in at this turn.
    pub(super) fn back_told(&self, image: &Image, server: &str, turn: u64) {
        if image.log(server).is_some_and(|l| l.admission == turn && !l.incomplete)
            && let Some(r) = self.rolls.borrow_mut().get_mut(server)
            && r.back != Some(turn)
        {
            *r = LogRecord { since: self.env.now(), back: Some(turn), goal: None, ..*r };
        }
    }

    /// Whether what a server shows counts towards a quorum.
    pub(super) fn counts(&self, image: &Image, server: &str) -> bool {
        if self.disabled.no_roll {
            return true;
        }
        let Some(l) = image.log(server) else { return false };
        let seen = self.seen.borrow().get(server).is_some_and(|s| s.log == l.log_id);
        let back = self.rolls.borrow().get(server).is_some_and(|r| r.back.is_some_and(|t| t >= l.admission));
        seen && !l.incomplete && !back
    }

    /// Whether a leader shows that it is not the log that was elected any more.
    pub(super) fn leader_lost(&self, image: &Image, server: &str) -> bool {
        self.seen.borrow().contains_key(server) && image.log(server).is_some() && !self.counts(image, server)
    }

    /// How many counted logs of a group must be read for an election: all but one of those that quorums are counted
    /// from, and all while nodes may still act on another set of them.
    pub(super) fn need(&self, image: &Image, g: &Group) -> usize {
        let all = image.voters(g).count();
        let all = if all == 0 { g.servers.len() } else { all };
        let settled = self.phases.borrow().get(&g.name).is_some_and(|p| self.env.now() > p.since + self.turned());
        if all == 2 && !settled { 2 } else { all.saturating_sub(1).max(1) }
    }

    /// After how long no node acts on the set before any more: a node that is not confirmed stops sooner.
    fn turned(&self) -> Duration {
        Duration::from_millis(self.bounds.blueprint) * 11 / 10
    }

    /// What is missing for an election, for operators to read.
    pub(super) fn missing(&self, image: &Image, g: &Group, since: Duration) -> String {
        let row = |s: &String| {
            let seen = self.seen.borrow().get(s).copied();
            match seen {
                Some(x) if x.asked >= since && self.counts(image, s) => None,
                Some(x) if x.asked >= since && image.log(s).is_none() => Some(format!("{s} was never taken in")),
                Some(x) if x.asked >= since => Some(format!("{s} came back without part of its log")),
                _ => Some(format!("{s} can't be read")),
            }
        };
        g.servers_and_leaving().filter_map(row).collect::<Vec<_>>().join(", ")
    }

    /// The entries a first election writes down: those read count from here, the others once they have caught up.
    pub(super) fn first_logs(&self, image: &Image, g: &Group, since: Duration) -> Vec<ServerLog> {
        if image.voters(g).next().is_some() {
            return Vec::new();
        }
        let seen = self.seen.borrow();
        let row = |s: &String| {
            let x = seen.get(s).filter(|x| x.asked >= since);
            ServerLog { server: s.clone(), log_id: x.map_or(0, |x| x.log), incomplete: x.is_none(), admission: 1 }
        };
        g.servers.iter().map(row).collect()
    }

    /// Keeps the roll of logs that count: takes in those that have caught up, lets go of those that lost something or
    /// are to leave. One change at a time.
    pub(super) async fn roll(&self) {
        loop {
            self.env.sleep(self.bounds.control_heartbeat()).await;
            let Some(image) = self.consensus.image() else { continue };
            if !self.consensus.leads() {
                continue;
            }
            for g in &image.groups {
                self.phase(&image, g);
                let Some(e) = image.election(&g.name) else { continue };
                let next = self.taken_in(&image, g, e).or_else(|| self.taken_out(&image, g, e));
                let Some((text, next)) = next else { continue };
                let (name, at) = (g.name.clone(), e.epoch);
                let out = self
                    .consensus
                    .propose(move |image| {
                        if image.election(&name).map_or(0, |e| e.epoch) != at {
                            return Err(ErrorKind::VersionConflict);
                        }
                        let mut image = image.clone();
                        next(&mut image);
                        Ok(image)
                    })
                    .await;
                if out.is_ok() {
                    self.log(Component::Elect, text);
                    self.publish();
                }
                break;
            }
        }
    }

    fn phase(&self, image: &Image, g: &Group) {
        let sum = sum(image, g);
        let mut all = self.phases.borrow_mut();
        let p = all.entry(g.name.clone()).or_default();
        if p.sum != sum {
            *p = MembershipPhase { since: self.env.now(), sum, goal: None };
        }
    }

    /// The leader's newest reading, if it was asked for after a time and shows it leading on its line.
    fn head(&self, e: &Election, after: Duration) -> Option<Position> {
        let seen = self.seen.borrow();
        let s = seen.get(&e.server).filter(|s| s.asked > after && s.leads && s.place.epoch == e.epoch)?;
        Some(s.place)
    }

    fn taken_in(&self, image: &Image, g: &Group, e: &Election) -> Option<Change> {
        let leads = self.counts(image, &e.server);
        for s in &g.servers {
            let Some(roll) = self.rolls.borrow().get(s).copied() else { continue };
            let entry = image.log(s).cloned();
            if let Some(l) = &entry {
                let same = l.log_id == roll.born;
                if !l.incomplete && (!same || roll.back.is_some_and(|t| t >= l.admission)) {
                    let (text, next) = (format!("{s} has lost its log or a part of it"), s.clone());
                    return Some((
                        text,
                        Box::new(move |i| i.logs.iter_mut().for_each(|l| l.incomplete |= l.server == next)),
                    ));
                }
                if !l.incomplete && same {
                    continue;
                }
            }
            // The elected server need not be proven yet: with one other left, only this one can prove it.
            if *s == e.server || !leads {
                continue;
            }
            let goal = roll.goal.filter(|p| p.epoch == e.epoch).or_else(|| self.head(e, roll.since));
            if let Some(r) = self.rolls.borrow_mut().get_mut(s) {
                r.goal = goal;
            }
            let place = self.seen.borrow().get(s).map(|x| x.place);
            let there = goal.zip(place).is_some_and(|(g, p)| p.epoch == g.epoch && p.index >= g.index);
            if there {
                let turn = entry.map_or(0, |l| l.admission) + 1;
                let new = ServerLog { server: s.clone(), log_id: roll.born, incomplete: false, admission: turn };
                let text = format!("{s} has caught up with {}; its log counts", goal.unwrap_or_default());
                return Some((
                    text,
                    Box::new(move |i| {
                        i.logs.retain(|l| l.server != new.server);
                        i.logs.push(new);
                    }),
                ));
            }
        }
        None
    }

    fn taken_out(&self, image: &Image, g: &Group, e: &Election) -> Option<Change> {
        let one = g.leaving_servers.first()?.clone();
        let since = self.phases.borrow().get(&g.name)?.since + self.turned();
        if self.env.now() < since || g.leaving_servers.contains(&e.server) {
            return None;
        }
        let goal =
            self.phases.borrow().get(&g.name)?.goal.filter(|p| p.epoch == e.epoch).or_else(|| self.head(e, since))?;
        if let Some(p) = self.phases.borrow_mut().get_mut(&g.name) {
            p.goal = Some(goal);
        }
        let held = |s: &String| {
            let place = self.seen.borrow().get(s).map(|x| x.place);
            self.counts(image, s) && place.is_some_and(|p| p.epoch == goal.epoch && p.index >= goal.index)
        };
        let alone = image.voters(g).all(|l| l.server == e.server || l.server == one);
        let second = g.servers.iter().any(|s| *s != e.server && held(s));
        (self.counts(image, &e.server) && (alone || second)).then(|| {
            let text = format!("{one} has left {}: all up to {goal} is held by those who stay", g.name);
            let name = g.name.clone();
            let next: Next = Box::new(move |i| {
                i.groups.iter_mut().filter(|g| g.name == name).for_each(|g| g.leaving_servers.retain(|l| *l != one));
                i.logs.retain(|l| l.server != one);
            });
            (text, next)
        })
    }
}

type Next = Box<dyn FnOnce(&mut Image)>;
type Change = (String, Next);

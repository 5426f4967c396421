//! What this node measures of the servers it talks to, and the standing lists made of it.

mod sample;
mod select;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use base::{
    Bounds,
    notify::Notify,
    position::Position,
    runtime::{Component, Env},
    settings::PolicySettings,
};
use pick::{EligibleSet, Outcome, Weights, Window};
use wire::Image;

use crate::view::Journal;

/// How many head readings of a group are kept.
const MAX_PRIMARY_POSITIONS: usize = 32;

/// What one server last showed.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    pub position: Position,
    /// The identity of the log.
    pub log_id: u64,
    /// The turn at which the log counted when it was seen to have lost something.
    pub lost_at_admission: Option<u64>,
    /// When the newest answer came.
    pub last_response_at: Option<Duration>,
    pub lag: u64,
    /// Readings in a row that brought nothing.
    pub failed_reads: u32,
    /// How many of these were turned away at once.
    pub refused_connections: u32,
    /// Since when something sent here stands unanswered.
    pub pending_since: Option<Duration>,
    /// A commit that someone waits to see here.
    pub awaited_position: Position,
}

impl Observation {
    /// Since when a server in the users' manner has answered nothing that was asked of it, nor taken the connections that
    /// were `trying` since then.
    pub fn unresponsive_since(&self, trying: Option<Duration>) -> Option<Duration> {
        let trying = trying.filter(|t| self.last_response_at.is_none_or(|a| a < *t));
        [self.pending_since, trying].into_iter().flatten().min()
    }
}

/// A database, and a statement kind where lists are kept per kind (else `*`).
pub type ListKey = (String, String);

/// One standing list with its measurements and weights.
#[derive(Default)]
pub struct SelectionList {
    pub windows: BTreeMap<String, Window>,
    pub eligible: EligibleSet,
    pub weights: Weights,
    /// Real statements that excluded servers may still be given in this cycle.
    pub sample_budget: BTreeMap<String, u64>,
    /// A statement was measured since the weights were last tuned.
    has_new_measurements: bool,
}

/// All measurements of this node.
pub struct HealthMeasurements {
    env: Env,
    journal: Rc<Journal>,
    pub bounds: RefCell<Bounds>,
    pub policy: RefCell<PolicySettings>,
    /// Rung when the policy was changed.
    pub policy_changed: Notify,
    pub observations: RefCell<BTreeMap<String, Observation>>,
    pub lists: RefCell<BTreeMap<ListKey, SelectionList>>,
    primary_positions: RefCell<BTreeMap<String, VecDeque<(Duration, Position)>>>,
    /// Rung when a position was read.
    pub position_changed: Notify,
    /// Rung when someone waits for a position.
    pub position_wanted: Notify,
    /// Evaluations so far, all lists together.
    pub evaluation_count: Cell<u64>,
    /// Test switch: places never go back.
    keep_highest_position: bool,
    /// Position readings so far.
    pub position_reads: Cell<u64>,
}

/// How far a place is behind a head. On an older line only what lay before the newest election is common to both.
fn lag(head: Position, place: Position, from: Position) -> u64 {
    let common = if place.epoch < head.epoch { place.index.min(from.index) } else { place.index };
    head.index.saturating_sub(common)
}

/// How many statement kinds may have lists of their own.
const MAX_LISTS_WITH_KIND: usize = 64;

impl HealthMeasurements {
    /// Nothing measured yet.
    pub fn new(env: &Env, journal: Rc<Journal>, bounds: Bounds, policy: PolicySettings, grow: bool) -> Rc<Self> {
        Rc::new(Self {
            env: env.clone(),
            journal,
            bounds: RefCell::new(bounds),
            policy: RefCell::new(policy),
            policy_changed: Notify::default(),
            observations: RefCell::default(),
            lists: RefCell::default(),
            primary_positions: RefCell::default(),
            position_changed: Notify::default(),
            position_wanted: Notify::default(),
            evaluation_count: Cell::default(),
            position_reads: Cell::default(),
            keep_highest_position: grow,
        })
    }

    /// The list a statement falls under.
    pub fn list_key(&self, name: &str, label: &str) -> ListKey {
        let kind = if self.policy.borrow().per_kind && !label.is_empty() { label } else { "*" };
        (name.into(), kind.into())
    }

    /// Takes in how a statement ended.
    pub fn record(&self, key: &ListKey, server: &str, out: Outcome, time: Duration) {
        let now = self.env.now();
        let span = Duration::from_millis(self.policy.borrow().window_ms);
        let mut lists = self.lists.borrow_mut();
        let key = if lists.len() >= MAX_LISTS_WITH_KIND && !lists.contains_key(key) {
            &(key.0.clone(), "*".into())
        } else {
            key
        };
        let list = lists.entry(key.clone()).or_default();
        list.has_new_measurements |= !matches!(out, Outcome::Probe | Outcome::Missed);
        list.windows.entry(server.into()).or_insert_with(|| Window::new(span)).record(now, out, time);
    }

    /// Takes in how a position reading ended, for every list of the group.
    fn record_probe(&self, server: &str, good: bool) {
        let out = if good { Outcome::Probe } else { Outcome::Missed };
        let keys: Vec<ListKey> = {
            let view = self.journal.view();
            let Some(image) = &view.image else { return };
            let Some(group) = image.group_of(server) else { return };
            let lists = self.lists.borrow();
            let names = image.routes.iter().filter(|d| d.group == group.name).map(|d| &d.name);
            let of_name = |name: &String| {
                let first = (name.clone(), String::new());
                lists.range(first..).map(|(key, _)| key).take_while(|key| key.0 == *name).cloned().collect::<Vec<_>>()
            };
            names.flat_map(of_name).collect()
        };
        for key in keys {
            self.record(&key, server, out, Duration::ZERO);
        }
    }

    /// Takes in a position that a server showed in answer to something sent at `asked`.
    pub fn record_position(&self, server: &str, asked: Duration, place: Position, log: u64) {
        let now = self.env.now();
        let (group, lead, turn, elect) = {
            let view = self.journal.view();
            let Some(image) = &view.image else { return };
            let Some(g) = image.group_of(server) else { return };
            let lead = view.primary_leases.get(&g.name).filter(|l| l.server == server && now < l.valid_until).cloned();
            let turn = image.log(server).map_or(0, |l| l.admission);
            let elect = image.election(&g.name).map(|e| (e.epoch, e.start_position())).unwrap_or_default();
            (g.name.clone(), lead, turn, elect)
        };
        let known =
            self.primary_positions.borrow().get(&group).and_then(|h| h.iter().rev().find(|x| x.0 <= asked).copied());
        {
            let mut sights = self.observations.borrow_mut();
            let s = sights.entry(server.into()).or_default();
            // Only an answer asked for after the newest one came can show that the log lost something.
            let later = s.last_response_at.is_none_or(|t| asked >= t);
            let other = s.log_id != log && s.log_id != 0;
            if later && !self.keep_highest_position && (other || s.position.has_lost_entries(place, elect.0, elect.1)) {
                self.env.log(Component::Pool, format!("{server} went back to {place} in its log"));
                s.lost_at_admission = Some(turn);
                s.position = place;
                s.awaited_position = Position::default();
            } else if later && place.epoch >= s.position.epoch && !self.keep_highest_position {
                s.position = place;
            } else {
                s.position = s.position.max(place);
            }
            if later {
                s.log_id = log;
            }
            s.last_response_at = Some(s.last_response_at.map_or(now, |t| t.max(now)));
            s.failed_reads = 0;
            s.refused_connections = 0;
            if let Some((_, head)) = known {
                s.lag = lag(head, place, elect.1);
            }
        }
        // A leader whose log lost something tells of no head.
        if lead.is_some_and(|l| l.epoch == place.epoch) && (self.counts_as_copy(server) || self.keep_highest_position) {
            self.record_primary_position(group, asked, place);
        }
        self.position_changed.notify_waiters();
    }

    /// A group's leader showed this place when asked at `asked`.
    fn record_primary_position(&self, group: String, asked: Duration, place: Position) {
        let mut heads = self.primary_positions.borrow_mut();
        let list = heads.entry(group).or_default();
        // One reading for each small step of time is enough to find a fresh one.
        let step = self.bounds.borrow().sampling_interval() / 4;
        if list.back().is_none_or(|b| asked >= b.0 + step) {
            list.push_back((asked, place));
            if list.len() > MAX_PRIMARY_POSITIONS {
                list.pop_front();
            }
        }
    }

    /// Something was sent to a server in the users' manner.
    pub fn record_sent(&self, server: &str) {
        let now = self.env.now();
        let mut sights = self.observations.borrow_mut();
        let s = sights.entry(server.into()).or_default();
        s.pending_since = s.pending_since.or(Some(now));
    }

    /// Nothing is asked of a server any more.
    pub fn clear_pending(&self, server: &str) {
        if let Some(s) = self.observations.borrow_mut().get_mut(server) {
            s.pending_since = None;
        }
    }

    /// A server in the users' manner answered what was sent at `asked`, and showed this place.
    pub fn record_response(&self, server: &str, asked: Duration, place: Option<Position>) {
        let now = self.env.now();
        {
            let mut sights = self.observations.borrow_mut();
            let s = sights.entry(server.into()).or_default();
            s.pending_since = None;
            s.failed_reads = 0;
            s.refused_connections = 0;
            let Some(place) = place else { return };
            if s.last_response_at.is_none_or(|t| asked >= t) {
                s.position = place;
            }
            s.last_response_at = Some(now);
        }
        let Some(place) = place else { return };
        let (group, leads, from) = {
            let view = self.journal.view();
            let Some(g) = view.image.as_ref().and_then(|i| i.group_of(server)) else { return };
            // A head is one that was read while no other's commit could be acknowledged.
            let lead = view
                .primary_leases
                .get(&g.name)
                .filter(|l| l.server == server && now < l.valid_until && asked >= l.held_since);
            (g.name.clone(), lead.is_some(), Position::default())
        };
        let known =
            self.primary_positions.borrow().get(&group).and_then(|h| h.iter().rev().find(|x| x.0 <= asked).copied());
        if let (Some((_, head)), Some(s)) = (known, self.observations.borrow_mut().get_mut(server)) {
            s.lag =
                if place.epoch < head.epoch { head.index.saturating_sub(place.index) } else { lag(head, place, from) };
        }
        if leads {
            self.record_primary_position(group, asked, place);
        }
        self.position_changed.notify_waiters();
    }

    /// Forgets servers and groups that the newest image no longer names.
    fn remove_unknown(&self, image: &Image) {
        self.observations.borrow_mut().retain(|server, _| image.group_including_leaving(server).is_some());
        self.primary_positions.borrow_mut().retain(|group, _| image.groups.iter().any(|g| g.name == *group));
    }

    /// How many servers, groups and lists something is kept of.
    pub fn entry_counts(&self) -> [usize; 3] {
        [self.observations.borrow().len(), self.primary_positions.borrow().len(), self.lists.borrow().len()]
    }

    /// The oldest reading of the group's head that was asked for at `from` or later.
    pub fn primary_position_since(&self, group: &str, from: Duration) -> Option<(Duration, Position)> {
        self.primary_positions.borrow().get(group)?.iter().find(|h| h.0 >= from).copied()
    }

    /// What a server last showed.
    pub fn observation(&self, server: &str) -> Observation {
        self.observations.borrow().get(server).cloned().unwrap_or_default()
    }

    /// How far a server is behind its group's head; one that shows nothing any more falls back as the head goes on.
    pub fn lag(&self, group: &str, server: &str) -> u64 {
        let s = self.observation(server);
        let fresh = self.env.now().saturating_sub(self.bounds.borrow().sampling_interval() * 3);
        if s.last_response_at.is_some_and(|t| t > fresh) {
            return s.lag;
        }
        let heads = self.primary_positions.borrow();
        let Some(head) = heads.get(group).and_then(|h| h.back()).map(|h| h.1) else { return s.lag };
        let view = self.journal.view();
        let from = view.image.as_ref().and_then(|i| i.election(group)).map(|e| e.start_position()).unwrap_or_default();
        s.lag.max(lag(head, s.position, from))
    }

    /// Whether what a server shows counts towards a commit's second copy.
    pub fn counts_as_copy(&self, server: &str) -> bool {
        let s = self.observation(server);
        let view = self.journal.view();
        let entry = view.image.as_ref().and_then(|i| i.log(server));
        entry.is_some_and(|l| {
            !l.incomplete && l.log_id == s.log_id && s.lost_at_admission.is_none_or(|t| l.admission > t)
        })
    }

    /// Whether a server shows a position, on its line or a later one.
    pub fn has_position(&self, server: &str, place: Position) -> bool {
        let s = self.observations.borrow();
        s.get(server).is_some_and(|s| s.position.epoch >= place.epoch && s.position.index >= place.index)
    }
}

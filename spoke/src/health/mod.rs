//! What this node measures of the servers, and the lists of eligible servers that are evaluated from it.

mod lists;
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
use pick::Outcome;
use wire::Image;

use crate::view::Journal;

use lists::Measurement;
pub use lists::{ListName, SelectionList, SelectionLists};

/// How many positions of a group's primary are kept.
const MAX_PRIMARY_POSITIONS: usize = 32;

/// What one server last showed.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    pub position: Position,
    /// The identity of the log.
    pub log_id: u64,
    /// The admission number that the log had when it was seen to have lost entries.
    pub lost_at_admission: Option<u64>,
    /// When the newest response arrived.
    pub last_response_at: Option<Duration>,
    /// How many entries the server is behind its group's primary.
    pub lag: u64,
    /// How many position reads in a row have failed.
    pub failed_reads: u32,
    /// How many of these were rejected at once.
    pub refused_connections: u32,
    /// Since when a request to this server has been unanswered.
    pub pending_since: Option<Duration>,
    /// The position of a commit that some session waits to see on this server.
    pub awaited_position: Position,
}

impl Observation {
    /// Since when a server of a group that confirms commits has neither answered a request nor accepted the connections
    /// that the node has been trying to open since `connecting_since`.
    pub fn unresponsive_since(&self, connecting_since: Option<Duration>) -> Option<Duration> {
        let connecting_since = connecting_since.filter(|t| self.last_response_at.is_none_or(|at| at < *t));
        [self.pending_since, connecting_since].into_iter().flatten().min()
    }
}

/// A database, and a statement kind where lists are kept per kind (otherwise `*`).
pub type ListKey = (String, String);

/// All measurements of this node.
pub struct HealthMeasurements {
    env: Env,
    journal: Rc<Journal>,
    pub bounds: RefCell<Bounds>,
    pub policy: RefCell<PolicySettings>,
    /// Notified when the policy was changed.
    pub policy_changed: Notify,
    pub observations: RefCell<BTreeMap<String, Observation>>,
    pub lists: RefCell<SelectionLists>,
    /// By group, positions of its primary with the time at which each was requested.
    primary_positions: RefCell<BTreeMap<String, VecDeque<(Duration, Position)>>>,
    /// Notified when a position was read.
    pub position_changed: Notify,
    /// Notified when a session starts to wait for a position.
    pub position_wanted: Notify,
    /// How many evaluations were made, over all lists.
    pub evaluation_count: Cell<u64>,
    /// Test switch: recorded positions never go back.
    keep_highest_position: bool,
    /// How many positions were read.
    pub position_reads: Cell<u64>,
}

/// How many entries `position` is behind `head`. On an older epoch, only the entries before the start of the newest
/// epoch are common to both.
fn lag(head: Position, position: Position, epoch_start: Position) -> u64 {
    let common = if position.epoch < head.epoch { position.index.min(epoch_start.index) } else { position.index };
    head.index.saturating_sub(common)
}

impl HealthMeasurements {
    /// Without any measurement.
    pub fn new(
        env: &Env,
        journal: Rc<Journal>,
        bounds: Bounds,
        policy: PolicySettings,
        keep_highest_position: bool,
    ) -> Rc<Self> {
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
            keep_highest_position,
        })
    }

    /// The key of the list that a statement belongs to.
    pub fn list_key(&self, database: &str, label: &str) -> ListKey {
        let kind = if self.policy.borrow().per_kind && !label.is_empty() { label } else { "*" };
        (database.into(), kind.into())
    }

    /// Records the outcome of a statement and its latency. A statement for a route that was removed meanwhile is not
    /// recorded.
    pub fn record(&self, key: &ListKey, server: &str, outcome: Outcome, latency: Duration) {
        let view = self.journal.view();
        let Some(route) = view.route(&key.0) else { return };
        let measurement = self.measurement(server, outcome, latency);
        self.lists.borrow_mut().record_statement(key, &route.group, measurement);
    }

    /// Records the outcome of a position read in every list of the server's group.
    fn record_probe(&self, server: &str, succeeded: bool) {
        let view = self.journal.view();
        let Some(group) = view.group_of(server) else { return };
        let outcome = if succeeded { Outcome::Probe } else { Outcome::ProbeFailed };
        let measurement = self.measurement(server, outcome, Duration::ZERO);
        self.lists.borrow_mut().record_probe(&group.name, measurement);
    }

    /// A measurement that ends now.
    fn measurement<'a>(&self, server: &'a str, outcome: Outcome, latency: Duration) -> Measurement<'a> {
        let scoring_window = Duration::from_millis(self.policy.borrow().window_ms);
        Measurement { at: self.env.now(), scoring_window, server, outcome, latency }
    }

    /// Records a position that a server showed in its response to a request sent at `requested_at`.
    pub fn record_position(&self, server: &str, requested_at: Duration, position: Position, log_id: u64) {
        let now = self.env.now();
        let (group, lease, admission, election) = {
            let view = self.journal.view();
            let Some(image) = &view.image else { return };
            let Some(group) = view.group_of(server) else { return };
            let lease =
                view.primary_leases.get(&group.name).filter(|l| l.server == server && now < l.valid_until).cloned();
            let admission = image.log(server).map_or(0, |l| l.admission);
            let election = image.election(&group.name).map(|e| (e.epoch, e.start_position())).unwrap_or_default();
            (group.name.clone(), lease, admission, election)
        };
        let known_head = self
            .primary_positions
            .borrow()
            .get(&group)
            .and_then(|h| h.iter().rev().find(|x| x.0 <= requested_at).copied());
        {
            let mut observations = self.observations.borrow_mut();
            let observation = observations.entry(server.into()).or_default();
            // Only a response that was requested after the newest one arrived can show that the log lost entries.
            let is_later = observation.last_response_at.is_none_or(|t| requested_at >= t);
            let other_log = observation.log_id != log_id && observation.log_id != 0;
            if is_later
                && !self.keep_highest_position
                && (other_log || observation.position.has_lost_entries(position, election.0, election.1))
            {
                self.env.log(Component::Pool, format!("{server} went back to {position} in its log"));
                observation.lost_at_admission = Some(admission);
                observation.position = position;
                observation.awaited_position = Position::default();
            } else if is_later && position.epoch >= observation.position.epoch && !self.keep_highest_position {
                observation.position = position;
            } else {
                observation.position = observation.position.max(position);
            }
            if is_later {
                observation.log_id = log_id;
            }
            observation.last_response_at = Some(observation.last_response_at.map_or(now, |t| t.max(now)));
            observation.failed_reads = 0;
            observation.refused_connections = 0;
            if let Some((_, head)) = known_head {
                observation.lag = lag(head, position, election.1);
            }
        }
        // The position of a primary whose log lost entries is not used as the group's head.
        if lease.is_some_and(|l| l.epoch == position.epoch)
            && (self.counts_as_copy(server) || self.keep_highest_position)
        {
            self.record_primary_position(group, requested_at, position);
        }
        self.position_changed.notify_waiters();
    }

    /// Records the position that a group's primary showed for a request sent at `requested_at`.
    fn record_primary_position(&self, group: String, requested_at: Duration, position: Position) {
        let mut primary_positions = self.primary_positions.borrow_mut();
        let positions = primary_positions.entry(group).or_default();
        // One position per quarter of the sampling interval is enough to find a recent one.
        let min_distance = self.bounds.borrow().sampling_interval() / 4;
        if positions.back().is_none_or(|newest| requested_at >= newest.0 + min_distance) {
            positions.push_back((requested_at, position));
            if positions.len() > MAX_PRIMARY_POSITIONS {
                positions.pop_front();
            }
        }
    }

    /// Records that a request was sent to a server of a group that confirms commits.
    pub fn record_sent(&self, server: &str) {
        let now = self.env.now();
        let mut observations = self.observations.borrow_mut();
        let observation = observations.entry(server.into()).or_default();
        observation.pending_since = observation.pending_since.or(Some(now));
    }

    /// Forgets unanswered requests to a server, as no further ones are sent.
    pub fn clear_pending(&self, server: &str) {
        if let Some(observation) = self.observations.borrow_mut().get_mut(server) {
            observation.pending_since = None;
        }
    }

    /// Records the response of a server of a group that confirms commits: to a request sent at `requested_at`, with the
    /// position it showed, if any.
    pub fn record_response(&self, server: &str, requested_at: Duration, position: Option<Position>) {
        let now = self.env.now();
        {
            let mut observations = self.observations.borrow_mut();
            let observation = observations.entry(server.into()).or_default();
            observation.pending_since = None;
            observation.failed_reads = 0;
            observation.refused_connections = 0;
            let Some(position) = position else { return };
            if observation.last_response_at.is_none_or(|t| requested_at >= t) {
                observation.position = position;
            }
            observation.last_response_at = Some(now);
        }
        let Some(position) = position else { return };
        let (group, is_primary, epoch_start) = {
            let view = self.journal.view();
            let Some(group) = view.group_of(server) else { return };
            // A position is the group's head only if no other primary's commit could be acknowledged when it was read.
            let lease = view
                .primary_leases
                .get(&group.name)
                .filter(|l| l.server == server && now < l.valid_until && requested_at >= l.held_since);
            (group.name.clone(), lease.is_some(), Position::default())
        };
        let known_head = self
            .primary_positions
            .borrow()
            .get(&group)
            .and_then(|h| h.iter().rev().find(|x| x.0 <= requested_at).copied());
        if let (Some((_, head)), Some(observation)) = (known_head, self.observations.borrow_mut().get_mut(server)) {
            observation.lag = if position.epoch < head.epoch {
                head.index.saturating_sub(position.index)
            } else {
                lag(head, position, epoch_start)
            };
        }
        if is_primary {
            self.record_primary_position(group, requested_at, position);
        }
        self.position_changed.notify_waiters();
    }

    /// Removes servers and groups that are not in the newest image.
    fn remove_unknown(&self, image: &Image) {
        self.observations.borrow_mut().retain(|server, _| image.group_including_leaving(server).is_some());
        self.primary_positions.borrow_mut().retain(|group, _| image.groups.iter().any(|g| g.name == *group));
    }

    /// The numbers of observed servers, of groups with primary positions, and of lists.
    pub fn entry_counts(&self) -> [usize; 3] {
        [self.observations.borrow().len(), self.primary_positions.borrow().len(), self.lists.borrow().count()]
    }

    /// The oldest position of the group's primary that was requested at `from` or later, with the time of its request.
    pub fn primary_position_since(&self, group: &str, from: Duration) -> Option<(Duration, Position)> {
        self.primary_positions.borrow().get(group)?.iter().find(|h| h.0 >= from).copied()
    }

    /// What a server last showed.
    pub fn observation(&self, server: &str) -> Observation {
        self.observations.borrow().get(server).cloned().unwrap_or_default()
    }

    /// How many entries a server is behind its group's primary. For a server without recent responses, the lag grows as
    /// the primary proceeds.
    pub fn lag(&self, group: &str, server: &str) -> u64 {
        let observation = self.observation(server);
        let recent = self.env.now().saturating_sub(self.bounds.borrow().sampling_interval() * 3);
        if observation.last_response_at.is_some_and(|t| t > recent) {
            return observation.lag;
        }
        let primary_positions = self.primary_positions.borrow();
        let Some(head) = primary_positions.get(group).and_then(|h| h.back()).map(|h| h.1) else {
            return observation.lag;
        };
        let view = self.journal.view();
        let epoch_start =
            view.image.as_ref().and_then(|i| i.election(group)).map(|e| e.start_position()).unwrap_or_default();
        observation.lag.max(lag(head, observation.position, epoch_start))
    }

    /// Whether a server's log counts as a copy of a commit: it is complete, has the expected identity, and was not seen
    /// to lose entries since its admission.
    pub fn counts_as_copy(&self, server: &str) -> bool {
        let observation = self.observation(server);
        let view = self.journal.view();
        let entry = view.image.as_ref().and_then(|i| i.log(server));
        entry.is_some_and(|log| {
            !log.incomplete
                && log.log_id == observation.log_id
                && observation.lost_at_admission.is_none_or(|admission| log.admission > admission)
        })
    }

    /// Whether a server showed this position or a later one, on the same epoch or a later one.
    pub fn has_position(&self, server: &str, position: Position) -> bool {
        let observations = self.observations.borrow();
        observations
            .get(server)
            .is_some_and(|o| o.position.epoch >= position.epoch && o.position.index >= position.index)
    }
}

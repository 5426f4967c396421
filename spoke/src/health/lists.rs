//! The selection lists of a node: one for each database that statements were sent to lately, and one for each group,
//! which all its other databases use. A list of a group is measured by position reads alone; the list of a database
//! starts as a copy of it and counts the database's own statements too. So a route without statements costs nothing.

use std::{collections::BTreeMap, time::Duration};

use pick::{EligibleSet, Outcome, Weights, Window};
use wire::Image;

use super::ListKey;

/// With this many lists of databases, further statement kinds use the common list of their database.
const MAX_LISTS_WITH_KIND: usize = 64;

/// The statement kind of a list that is common to all kinds of a database.
const ANY_KIND: &str = "*";

/// The outcome of one statement or position read at a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Measurement<'a> {
    /// When it ended.
    pub(super) at: Duration,
    /// How long measurements count.
    pub(super) scoring_window: Duration,
    pub(super) server: &'a str,
    pub(super) outcome: Outcome,
    /// The response time; zero for a position read.
    pub(super) latency: Duration,
}

/// An eligible set, with its measurements and weights.
#[derive(Clone, Default)]
pub struct SelectionList {
    /// The group whose servers the list selects from.
    pub group: String,
    pub windows: BTreeMap<String, Window>,
    pub eligible: EligibleSet,
    pub weights: Weights,
    /// How many real statements each excluded server may still receive until the next resampling.
    pub sample_budget: BTreeMap<String, u64>,
    /// Whether a statement was measured since the weights were last adjusted.
    pub(super) has_new_measurements: bool,
    /// When a statement was measured last.
    last_statement_at: Duration,
}

impl SelectionList {
    fn of_group(group: &str) -> Self {
        Self { group: group.into(), ..Self::default() }
    }

    fn record(&mut self, measurement: Measurement) {
        let Measurement { at, scoring_window, server, outcome, latency } = measurement;
        if !matches!(outcome, Outcome::Probe | Outcome::ProbeFailed) {
            self.has_new_measurements = true;
            self.last_statement_at = at;
        }
        if !self.windows.contains_key(server) {
            self.windows.insert(server.into(), Window::new(scoring_window));
        }
        if let Some(measured) = self.windows.get_mut(server) {
            measured.record(at, outcome, latency);
        }
    }
}

/// Names one list: that of a group, or that of a database.
#[derive(Clone, Debug, PartialEq)]
pub enum ListName {
    /// The list of a group.
    Group(String),
    /// The list of a database and a statement kind.
    Database(ListKey),
}

impl std::fmt::Display for ListName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Group(group) => write!(f, "group {group}"),
            Self::Database((database, _)) => f.write_str(database),
        }
    }
}

/// All lists of a node.
#[derive(Default)]
pub struct SelectionLists {
    of_groups: BTreeMap<String, SelectionList>,
    of_databases: BTreeMap<ListKey, SelectionList>,
}

impl SelectionLists {
    /// The list that a statement's reads use: that of its database, else that of its group.
    pub fn get(&self, key: &ListKey, group: &str) -> Option<&SelectionList> {
        self.of_databases.get(key).or_else(|| self.of_groups.get(group))
    }

    /// As [`SelectionLists::get`].
    pub fn get_mut(&mut self, key: &ListKey, group: &str) -> Option<&mut SelectionList> {
        match self.of_databases.contains_key(key) {
            true => self.of_databases.get_mut(key),
            false => self.of_groups.get_mut(group),
        }
    }

    /// The list with this name.
    pub fn by_name_mut(&mut self, name: &ListName) -> Option<&mut SelectionList> {
        match name {
            ListName::Group(group) => self.of_groups.get_mut(group),
            ListName::Database(key) => self.of_databases.get_mut(key),
        }
    }

    /// The list with this name.
    pub fn by_name(&self, name: &ListName) -> Option<&SelectionList> {
        match name {
            ListName::Group(group) => self.of_groups.get(group),
            ListName::Database(key) => self.of_databases.get(key),
        }
    }

    /// All lists with their names.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ListName, &mut SelectionList)> {
        let of_groups = self.of_groups.iter_mut().map(|(group, list)| (ListName::Group(group.clone()), list));
        let of_databases = self.of_databases.iter_mut().map(|(key, list)| (ListName::Database(key.clone()), list));
        of_groups.chain(of_databases)
    }

    /// The names of all lists.
    pub fn names(&self) -> Vec<ListName> {
        let of_groups = self.of_groups.keys().cloned().map(ListName::Group);
        of_groups.chain(self.of_databases.keys().cloned().map(ListName::Database)).collect()
    }

    /// The lists of a database by statement kind; the list of its group where it has no common list of its own.
    pub fn of_database<'a>(&'a self, database: &'a str, group: &str) -> Vec<(&'a str, &'a SelectionList)> {
        let own = self.of_databases.range((database.to_string(), String::new())..);
        let own = own.take_while(|(key, _)| key.0 == database).map(|(key, list)| (key.1.as_str(), list));
        let mut lists: Vec<_> = own.collect();
        if !lists.iter().any(|(kind, _)| *kind == ANY_KIND) {
            lists.extend(self.of_groups.get(group).map(|list| (ANY_KIND, list)));
        }
        lists
    }

    /// How many lists there are.
    pub fn count(&self) -> usize {
        self.of_groups.len() + self.of_databases.len()
    }

    /// Records a statement in the list of its database, which is added if it has none.
    pub(super) fn record_statement(&mut self, key: &ListKey, group: &str, measurement: Measurement) {
        let common_key;
        let key = if self.of_databases.len() >= MAX_LISTS_WITH_KIND && !self.of_databases.contains_key(key) {
            common_key = (key.0.clone(), ANY_KIND.into());
            &common_key
        } else {
            key
        };
        if !self.of_databases.contains_key(key) {
            let list = self.of_groups.get(group).cloned().unwrap_or_else(|| SelectionList::of_group(group));
            self.of_databases.insert(key.clone(), list);
        }
        if let Some(list) = self.of_databases.get_mut(key) {
            list.record(measurement);
        }
    }

    /// Records a position read in every list of the server's group.
    pub(super) fn record_probe(&mut self, group: &str, measurement: Measurement) {
        let of_databases = self.of_databases.values_mut().filter(|list| list.group == group);
        for list in self.of_groups.get_mut(group).into_iter().chain(of_databases) {
            list.record(measurement);
        }
    }

    /// Adds a list for each new group, and removes those of groups and databases that the image no longer has, or that
    /// no statement was sent to for `max_idle`.
    pub(super) fn update(&mut self, image: &Image, now: Duration, max_idle: Duration) {
        self.of_groups.retain(|name, _| image.groups.iter().any(|group| group.name == *name));
        for group in &image.groups {
            if !self.of_groups.contains_key(&group.name) {
                self.of_groups.insert(group.name.clone(), SelectionList::of_group(&group.name));
            }
        }
        self.of_databases.retain(|key, list| {
            let route = image.routes.binary_search_by(|route| route.name.as_str().cmp(&key.0));
            let Some(route) = route.ok().and_then(|index| image.routes.get(index)) else { return false };
            list.group.clone_from(&route.group);
            now < list.last_statement_at + max_idle
        });
    }
}

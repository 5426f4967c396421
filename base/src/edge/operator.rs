//! The HTTP protocol of operators: the configuration, changes to parts of it, evacuated zones and hand-overs.

use crate::strict;

/// Which commits the reads of a route must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// All acknowledged commits.
    Leader,
    /// All commits that are older than the freshness bound.
    Bound,
    /// The session's own writes.
    Session,
    /// None in particular: any server of the eligible set may answer.
    Any,
}

impl Consistency {
    /// The value as operators write it.
    pub fn as_str(self) -> &'static str {
        match self {
            Consistency::Leader => "leader",
            Consistency::Bound => "bound",
            Consistency::Session => "session",
            Consistency::Any => "any",
        }
    }

    /// Parses a value as operators write it.
    pub fn parse(text: &str) -> Option<Self> {
        [Consistency::Leader, Consistency::Bound, Consistency::Session, Consistency::Any]
            .into_iter()
            .find(|consistency| consistency.as_str() == text)
    }
}

strict! {
    /// A route: a database name, with the server group that serves it and the consistency of its reads.
    pub struct Route {
        pub name: String,
        pub group: String,
        /// The consistency of its reads, as in [`Consistency::as_str`].
        pub promise: String,
        /// Whether the primary serves reads when no replica can meet the consistency level.
        pub fall: bool = true,
        /// The operators' own id of the route. If there is one, changes refer to the route by it.
        pub tag: String = String::new(),
        /// Timeout of a statement, in milliseconds; 0 for the limit of the whole configuration.
        pub statement_ms: u64 = 0,
        /// Target response time, in milliseconds; 0 for none.
        pub aim_ms: u64 = 0,
        /// How old a commit may be that a read does not see, in milliseconds; 0 for the freshness bound.
        pub fresh_ms: u64 = 0,
        /// Priority; 0 is served first.
        pub rank: u64 = 0,
        /// The operators' own representation, stored and returned without being interpreted.
        pub note: String = String::new(),
    }
}

impl Route {
    /// A route with default values for all other fields.
    pub fn with_defaults(name: &str, group: &str, consistency: &str) -> Self {
        Self {
            name: name.into(),
            group: group.into(),
            promise: consistency.into(),
            fall: true,
            tag: String::new(),
            statement_ms: 0,
            aim_ms: 0,
            fresh_ms: 0,
            rank: 0,
            note: String::new(),
        }
    }

    /// The id by which changes refer to the route: its tag, or else its name.
    pub fn key(&self) -> &str {
        if self.tag.is_empty() { &self.name } else { &self.tag }
    }
}

strict! {
    /// A group of servers with one primary.
    pub struct Group {
        pub name: String,
        pub servers: Vec<String>,
        /// How many connections each server accepts.
        pub cap: u64 = 80,
        /// Whether its servers confirm commits by themselves once a second server holds them, and register themselves;
        /// sessions with them use the platform's protocol.
        pub confirms: bool = false,
        /// The operators' own representation, stored and returned without being interpreted.
        pub note: String = String::new(),
    }
}

strict! {
    /// Time limits that operators may change, in milliseconds.
    pub struct Limits {
        /// Timeout of a statement.
        pub statement_ms: u64 = 4000,
        /// How long a transaction may be idle.
        pub idle_ms: u64 = 10000,
    }
}

strict! {
    /// A whole configuration.
    pub struct Configuration {
        /// If given, the configuration is accepted only if this is the sequence number of the newest one.
        pub after: Option<u64> = None,
        pub doorways: Vec<Route>,
        pub groups: Vec<Group>,
        pub limits: Option<Limits> = None,
        /// The operators' own version number, which must rise; `after` is then compared with the one in force.
        pub number: Option<u64> = None,
        /// The operators' own representation of the whole configuration, stored and returned without being interpreted.
        pub note: String = String::new(),
    }
}

strict! {
    /// A change to some routes and groups.
    pub struct ConfigurationChange {
        /// The sequence number of the configuration that the change is based on.
        pub after: u64,
        /// Routes to add or replace.
        pub put: Vec<Route> = Vec::new(),
        /// Ids of routes to remove.
        pub drop: Vec<String> = Vec::new(),
        /// Groups to add or replace; a change may add or remove only one server at a time.
        pub groups: Vec<Group> = Vec::new(),
        pub limits: Option<Limits> = None,
        /// As in [`Configuration`].
        pub number: Option<u64> = None,
        /// Names of groups to remove.
        pub drop_groups: Vec<String> = Vec::new(),
        /// As in [`Configuration`]; if empty, the old one is kept.
        pub note: String = String::new(),
    }
}

strict! {
    /// The whole configuration as returned to operators.
    pub struct ConfigurationView {
        /// The sequence number, which rises with each accepted configuration and change.
        pub sequence: u64,
        pub doorways: Vec<Route>,
        pub groups: Vec<Group>,
        pub limits: Limits,
        /// The evacuated zones.
        pub emptied: Vec<String>,
        /// The operators' own version number; 0 if they gave none.
        pub number: u64 = 0,
        pub note: String = String::new(),
    }
}

strict! {
    /// A request to make a server the primary of its group.
    pub struct HandoverRequest {
        /// The name of the server that is to become primary.
        pub server: String,
    }
}

impl Group {
    /// A group of the servers listed by the operator, with default values for all other fields.
    pub fn with_defaults(name: &str, servers: &[String], cap: u64) -> Self {
        Self { name: name.into(), servers: servers.to_vec(), cap, confirms: false, note: String::new() }
    }
}

impl ConfigurationChange {
    /// A change without effect, based on the configuration with sequence number `after`.
    pub fn based_on(after: u64) -> Self {
        Self {
            after,
            put: Vec::new(),
            drop: Vec::new(),
            groups: Vec::new(),
            limits: None,
            number: None,
            drop_groups: Vec::new(),
            note: String::new(),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self { statement_ms: 4000, idle_ms: 10000 }
    }
}

fn name_fault(what: &str, name: &str) -> Option<String> {
    let is_valid = !name.is_empty()
        && name.len() <= 64
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b'.');
    (!is_valid).then(|| format!("{what} {name:?}: a name has 1 to 64 letters, digits, '-', '_' or '.'"))
}

/// The longest time that a route may set, in milliseconds: a day.
const MAX_ROUTE_TIME_MS: u64 = 86_400_000;

/// How many routes a configuration may have. Request bodies and frames between processes have no room for more in any
/// case.
const MAX_ROUTES: usize = 4000;
/// How many groups a configuration may have, for the same reason.
const MAX_GROUPS: usize = 1000;

/// Lists all faults of a configuration; empty if it is valid.
pub fn configuration_faults(routes: &[Route], groups: &[Group], limits: &Limits) -> Vec<String> {
    let mut faults = Vec::new();
    if routes.len() > MAX_ROUTES {
        faults.push(format!("doorways: {} of at most {MAX_ROUTES}", routes.len()));
    }
    if groups.len() > MAX_GROUPS {
        faults.push(format!("groups: {} of at most {MAX_GROUPS}", groups.len()));
    }
    let group_names: std::collections::BTreeSet<&str> = groups.iter().map(|g| g.name.as_str()).collect();
    let mut seen = std::collections::BTreeSet::new();
    for route in routes {
        faults.extend(name_fault("doorway", &route.name));
        if !seen.insert(&route.name) {
            faults.push(format!("doorway {:?}: named twice", route.name));
        }
        if !group_names.contains(route.group.as_str()) {
            faults.push(format!("doorway {:?}: no group {:?}", route.name, route.group));
        }
        for (field, millis) in
            [("statement_ms", route.statement_ms), ("aim_ms", route.aim_ms), ("fresh_ms", route.fresh_ms)]
        {
            if millis > MAX_ROUTE_TIME_MS {
                faults.push(format!("doorway {:?}: {field} {millis} is above {MAX_ROUTE_TIME_MS}", route.name));
            }
        }
        if Consistency::parse(&route.promise).is_none() {
            faults.push(format!(
                "doorway {:?}: promise {:?} is not leader, bound, session or any",
                route.name, route.promise
            ));
        }
    }
    let mut seen = std::collections::BTreeSet::new();
    let mut grouped_servers = std::collections::BTreeSet::new();
    for group in groups {
        faults.extend(name_fault("group", &group.name));
        if !seen.insert(&group.name) {
            faults.push(format!("group {:?}: named twice", group.name));
        }
        if (group.servers.is_empty() && !group.confirms) || group.servers.len() > 15 {
            faults.push(format!("group {:?}: {} servers, where 1 to 15 belong", group.name, group.servers.len()));
        }
        for server in &group.servers {
            faults.extend(name_fault("server", server));
            if !grouped_servers.insert(server) {
                faults.push(format!("server {server:?}: named twice"));
            }
        }
        if !(4..=10000).contains(&group.cap) {
            faults.push(format!("group {:?}: cap {} is not within 4 to 10000", group.name, group.cap));
        }
    }
    if !(100..=600_000).contains(&limits.statement_ms) {
        faults.push(format!("limits: statement_ms {} is not within 100 to 600000", limits.statement_ms));
    }
    if !(100..=3_600_000).contains(&limits.idle_ms) {
        faults.push(format!("limits: idle_ms {} is not within 100 to 3600000", limits.idle_ms));
    }
    faults
}

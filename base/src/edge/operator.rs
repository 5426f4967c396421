//! The operators' form: doorway sets, changes to a few, emptied areas, hand-overs.

use crate::strict;

/// How much fresher than its neighbours a doorway's reads must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Every acknowledged commit is seen.
    Leader,
    /// Commits older than the freshness bound are seen.
    Bound,
    /// The session's own writes are seen.
    Session,
    /// Any server of the set may answer.
    Any,
}

impl Consistency {
    /// The word in the form.
    pub fn as_str(self) -> &'static str {
        match self {
            Consistency::Leader => "leader",
            Consistency::Bound => "bound",
            Consistency::Session => "session",
            Consistency::Any => "any",
        }
    }

    /// Finds a promise by its word.
    pub fn parse(word: &str) -> Option<Self> {
        [Consistency::Leader, Consistency::Bound, Consistency::Session, Consistency::Any]
            .into_iter()
            .find(|p| p.as_str() == word)
    }
}

strict! {
    /// A database name tied to a group and a promise.
    pub struct Route {
        pub name: String,
        pub group: String,
        pub promise: String,
        /// Whether the leader reads when no follower can keep the promise.
        pub fall: bool = true,
        /// The operators' own name for it; changes find it by this one, where there is one.
        pub tag: String = String::new(),
        /// How long a statement may take here, in milliseconds; 0 for the set's limit.
        pub statement_ms: u64 = 0,
        /// How soon an answer is wanted, in milliseconds; 0 where nothing is said.
        pub aim_ms: u64 = 0,
        /// How old a commit a read may miss, in milliseconds; 0 for the freshness bound.
        pub fresh_ms: u64 = 0,
        /// 0 is served first.
        pub rank: u64 = 0,
        /// The operators' own form of it, kept and read back unread.
        pub note: String = String::new(),
    }
}

impl Route {
    /// A doorway of which nothing more is said.
    pub fn with_defaults(name: &str, group: &str, promise: &str) -> Self {
        Self {
            name: name.into(),
            group: group.into(),
            promise: promise.into(),
            fall: true,
            tag: String::new(),
            statement_ms: 0,
            aim_ms: 0,
            fresh_ms: 0,
            rank: 0,
            note: String::new(),
        }
    }

    /// The name that changes find it by.
    pub fn handle(&self) -> &str {
        if self.tag.is_empty() { &self.name } else { &self.tag }
    }
}

strict! {
    /// A group of servers and how many connections each may have.
    pub struct Group {
        pub name: String,
        pub servers: Vec<String>,
        pub cap: u64 = 80,
        /// The servers confirm commits by themselves once a second one holds them, and make themselves known; sessions
        /// with them are spoken in the users' manner.
        pub confirms: bool = false,
        /// The operators' own form of it, kept and read back unread.
        pub note: String = String::new(),
    }
}

strict! {
    /// Time limits that operators may change.
    pub struct Limits {
        pub statement_ms: u64 = 4000,
        pub idle_ms: u64 = 10000,
    }
}

strict! {
    /// A whole doorway set. With `after`, it is taken only if that is the newest sequence.
    pub struct Configuration {
        pub after: Option<u64> = None,
        pub doorways: Vec<Route>,
        pub groups: Vec<Group>,
        pub limits: Option<Limits> = None,
        /// The operators' own number for the set, which must rise; `after` is then compared with the one in force.
        pub number: Option<u64> = None,
        /// The operators' own form of what is said of the whole set, kept and read back unread.
        pub note: String = String::new(),
    }
}

strict! {
    /// A change to a few doorways and groups, against the sequence named in `after`.
    pub struct ConfigurationChange {
        pub after: u64,
        pub put: Vec<Route> = Vec::new(),
        pub drop: Vec<String> = Vec::new(),
        /// Groups as they are to be from now on; one server more or less at a time.
        pub groups: Vec<Group> = Vec::new(),
        pub limits: Option<Limits> = None,
        /// As in a whole set.
        pub number: Option<u64> = None,
        /// Names of groups that go.
        pub drop_groups: Vec<String> = Vec::new(),
        /// As in a whole set; empty leaves the old one.
        pub note: String = String::new(),
    }
}

strict! {
    /// A whole set as read back.
    pub struct ConfigurationView {
        pub sequence: u64,
        pub doorways: Vec<Route>,
        pub groups: Vec<Group>,
        pub limits: Limits,
        pub emptied: Vec<String>,
        pub number: u64 = 0,
        pub note: String = String::new(),
    }
}

strict! {
    /// A wish that a server lead its group.
    pub struct HandoverRequest {
        pub server: String,
    }
}

impl Group {
    /// A group of servers that the operator names.
    pub fn with_defaults(name: &str, servers: &[String], cap: u64) -> Self {
        Self { name: name.into(), servers: servers.to_vec(), cap, confirms: false, note: String::new() }
    }
}

impl ConfigurationChange {
    /// A change of nothing, against a sequence.
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
    let good = !name.is_empty()
        && name.len() <= 64
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_' || b == b'.');
    (!good).then(|| format!("{what} {name:?}: a name has 1 to 64 letters, digits, '-', '_' or '.'"))
}

/// The longest span that a doorway may name, in milliseconds: a day.
const LONGEST_MS: u64 = 86_400_000;

/// How many doorways and groups a set may hold. A body and a frame between processes hold no more in any case.
const MOST_DOORWAYS: usize = 4000;
const MOST_GROUPS: usize = 1000;

/// Every fault of a whole set; empty when it can be taken.
pub fn check(doorways: &[Route], groups: &[Group], limits: &Limits) -> Vec<String> {
    let mut out = Vec::new();
    if doorways.len() > MOST_DOORWAYS {
        out.push(format!("doorways: {} of at most {MOST_DOORWAYS}", doorways.len()));
    }
    if groups.len() > MOST_GROUPS {
        out.push(format!("groups: {} of at most {MOST_GROUPS}", groups.len()));
    }
    let known: std::collections::BTreeSet<&str> = groups.iter().map(|g| g.name.as_str()).collect();
    let mut seen = std::collections::BTreeSet::new();
    for d in doorways {
        out.extend(name_fault("doorway", &d.name));
        if !seen.insert(&d.name) {
            out.push(format!("doorway {:?}: named twice", d.name));
        }
        if !known.contains(d.group.as_str()) {
            out.push(format!("doorway {:?}: no group {:?}", d.name, d.group));
        }
        for (field, span) in [("statement_ms", d.statement_ms), ("aim_ms", d.aim_ms), ("fresh_ms", d.fresh_ms)] {
            if span > LONGEST_MS {
                out.push(format!("doorway {:?}: {field} {span} is above {LONGEST_MS}", d.name));
            }
        }
        if Consistency::parse(&d.promise).is_none() {
            out.push(format!("doorway {:?}: promise {:?} is not leader, bound, session or any", d.name, d.promise));
        }
    }
    let mut seen = std::collections::BTreeSet::new();
    let mut homes = std::collections::BTreeSet::new();
    for g in groups {
        out.extend(name_fault("group", &g.name));
        if !seen.insert(&g.name) {
            out.push(format!("group {:?}: named twice", g.name));
        }
        if (g.servers.is_empty() && !g.confirms) || g.servers.len() > 15 {
            out.push(format!("group {:?}: {} servers, where 1 to 15 belong", g.name, g.servers.len()));
        }
        for s in &g.servers {
            out.extend(name_fault("server", s));
            if !homes.insert(s) {
                out.push(format!("server {s:?}: named twice"));
            }
        }
        if !(4..=10000).contains(&g.cap) {
            out.push(format!("group {:?}: cap {} is not within 4 to 10000", g.name, g.cap));
        }
    }
    if !(100..=600_000).contains(&limits.statement_ms) {
        out.push(format!("limits: statement_ms {} is not within 100 to 600000", limits.statement_ms));
    }
    if !(100..=3_600_000).contains(&limits.idle_ms) {
        out.push(format!("limits: idle_ms {} is not within 100 to 3600000", limits.idle_ms));
    }
    out
}

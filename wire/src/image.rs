//! The image: the replicated state that control nodes agree on and keep on disk.

use base::position::Position;
use prost::Message;

use crate::Routes;

/// The configuration, the elections of primaries and the membership: all that control nodes keep on disk.
#[derive(Clone, PartialEq, Message)]
pub struct Image {
    /// Counts the accepted configurations and changes.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// `doorways` in the operator's configuration.
    #[prost(message, repeated, tag = "2")]
    pub routes: Routes,
    #[prost(message, repeated, tag = "3")]
    pub groups: Vec<Group>,
    #[prost(message, optional, tag = "4")]
    pub limits: Option<Limits>,
    #[prost(string, repeated, tag = "5")]
    pub evacuated_zones: Vec<String>,
    /// The newest election of each group.
    #[prost(message, repeated, tag = "6")]
    pub elections: Vec<Election>,
    /// The control nodes that vote: a quorum is a majority of them.
    #[prost(message, repeated, tag = "7")]
    pub members: Vec<Member>,
    /// The servers' logs from which quorums are counted.
    #[prost(message, repeated, tag = "8")]
    pub logs: Vec<ServerLog>,
    /// The operator's own number of the configuration in force.
    #[prost(uint64, tag = "9")]
    pub operator_version: u64,
    /// Numbered orders that were applied by builds which distinguished them by CRC-32 and length. Still read, but no
    /// longer added to.
    #[prost(message, repeated, tag = "10")]
    pub legacy_orders: Vec<LegacyOrder>,
    /// The operator's own fields of the whole configuration, as in [`Route`].
    #[prost(string, tag = "11")]
    pub note: String,
    /// The addresses of the servers that have registered themselves, so that they can be reached before they report
    /// again.
    #[prost(message, repeated, tag = "12")]
    pub server_addresses: Vec<ServerAddress>,
    /// The newest numbered orders that were applied, oldest first, so that one sent again is recognized: for each its
    /// number in 8 bytes, big-endian, and its digest in 16.
    #[prost(bytes = "vec", tag = "13")]
    pub applied_orders: Vec<u8>,
    /// The highest number of an order that was applied and is no longer in `applied_orders`.
    #[prost(uint64, tag = "14")]
    pub highest_forgotten_order: u64,
    /// While the membership changes: the previous members. A quorum needs a majority of these too.
    #[prost(message, repeated, tag = "21")]
    pub outgoing_members: Vec<Member>,
    /// Groups whose list of servers has been found complete.
    #[prost(message, repeated, tag = "20")]
    pub group_memberships: Vec<GroupMembership>,
    /// Servers of groups whose servers register themselves that reported that they drain or end. They don't report it
    /// again, so a later leader has to know it.
    #[prost(message, repeated, tag = "22")]
    pub departures: Vec<Departure>,
}

/// A server that reported that it drains or ends.
#[derive(Clone, PartialEq, Message)]
pub struct Departure {
    #[prost(string, tag = "1")]
    pub server: String,
    /// It has deregistered; otherwise it drains.
    #[prost(bool, tag = "2")]
    pub deregistered: bool,
}

/// A group whose servers register themselves, with the number of servers at which its list was found complete.
#[derive(Clone, PartialEq, Message)]
pub struct GroupMembership {
    #[prost(string, tag = "1")]
    pub group: String,
    /// 0 if a server has been removed since.
    #[prost(uint64, tag = "2")]
    pub servers: u64,
}

/// The address and zone of a server when it was added to its group.
#[derive(Clone, PartialEq, Message)]
pub struct ServerAddress {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(string, tag = "2")]
    pub addr: String,
    #[prost(string, tag = "3")]
    pub zone: String,
}

/// A configuration or change that was applied.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LegacyOrder {
    /// The operator's number of the order.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// A checksum of the order as it was sent.
    #[prost(uint64, tag = "2")]
    pub sum: u64,
}

/// Routes statements for a database name to a group, at a consistency level.
#[derive(Clone, PartialEq, Message)]
pub struct Route {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub group: String,
    /// The name of the consistency level, as in the configuration.
    #[prost(string, tag = "3")]
    pub consistency: String,
    /// The primary serves reads when no replica satisfies the consistency level.
    #[prost(bool, tag = "4")]
    pub fallback: bool,
    /// The operator's own name for the route, by which changes identify it; empty if it has none.
    #[prost(string, tag = "5")]
    pub tag: String,
    /// The statement timeout in milliseconds; 0 for the one in [`Limits`].
    #[prost(uint64, tag = "6")]
    pub statement_ms: u64,
    /// The target response time in milliseconds; 0 if none is set.
    #[prost(uint64, tag = "7")]
    pub target_latency_ms: u64,
    /// How old a commit that a read misses may be, in milliseconds; 0 for the freshness bound.
    #[prost(uint64, tag = "8")]
    pub max_staleness_ms: u64,
    /// The priority; 0 is served first.
    #[prost(uint64, tag = "9")]
    pub rank: u64,
    /// The operator's own fields, which the system stores and does not interpret.
    #[prost(string, tag = "10")]
    pub note: String,
}

/// A group of servers: one primary and its replicas.
#[derive(Clone, PartialEq, Message)]
pub struct Group {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, repeated, tag = "2")]
    pub servers: Vec<String>,
    /// The maximum number of connections to each server.
    #[prost(uint64, tag = "3")]
    pub cap: u64,
    /// Servers that were removed but still count towards quorums, until everything that only they may hold is held
    /// elsewhere.
    #[prost(string, repeated, tag = "4")]
    pub leaving_servers: Vec<String>,
    /// The servers confirm commits and register themselves.
    #[prost(bool, tag = "5")]
    pub confirms: bool,
    /// As in [`Route`].
    #[prost(string, tag = "6")]
    pub note: String,
}

/// Time limits that operators may change, in milliseconds.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Limits {
    #[prost(uint64, tag = "1")]
    pub statement_ms: u64,
    #[prost(uint64, tag = "2")]
    pub idle_ms: u64,
}

/// The server that is elected primary of a group for an epoch.
#[derive(Clone, PartialEq, Message)]
pub struct Election {
    #[prost(string, tag = "1")]
    pub group: String,
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    #[prost(string, tag = "3")]
    pub server: String,
    /// With `start_index`, the position of the elected log at the election: entries that other logs hold beyond it are
    /// invalid.
    #[prost(uint64, tag = "4")]
    pub start_epoch: u64,
    #[prost(uint64, tag = "5")]
    pub start_index: u64,
}

/// A server's log as it counts in quorums.
#[derive(Clone, PartialEq, Message)]
pub struct ServerLog {
    #[prost(string, tag = "1")]
    pub server: String,
    /// Identifies the log.
    #[prost(uint64, tag = "2")]
    pub log_id: u64,
    /// The log has lost entries: it is one of the logs from which a quorum is counted, but does not count towards it.
    #[prost(bool, tag = "3")]
    pub incomplete: bool,
    /// Rises each time the log is admitted.
    #[prost(uint64, tag = "4")]
    pub admission: u64,
}

/// A control node that votes. A replacement for a lost disk has another incarnation and is another member.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    #[prost(string, tag = "1")]
    pub name: String,
    /// The incarnation of its disk.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The address at which it accepts links; empty from builds that did not record it.
    #[prost(string, tag = "3")]
    pub address: String,
    /// The zone that it runs in; empty from builds that did not record it.
    #[prost(string, tag = "4")]
    pub zone: String,
}

impl Election {
    /// The position of the elected log at the election.
    pub fn start_position(&self) -> Position {
        Position { epoch: self.start_epoch, index: self.start_index }
    }
}

impl Group {
    /// The servers of the group and those that are being removed from it.
    pub fn servers_and_leaving(&self) -> impl Iterator<Item = &String> {
        self.servers.iter().chain(&self.leaving_servers)
    }
}

impl Image {
    /// A server's log as it counts in quorums.
    pub fn log(&self, server: &str) -> Option<&ServerLog> {
        self.logs.iter().find(|l| l.server == server)
    }

    /// The logs of a group from which its quorums are counted.
    pub fn voters<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = &'a ServerLog> {
        group.servers_and_leaving().filter_map(|s| self.log(s))
    }

    /// The group that a server belongs to or is being removed from.
    pub fn group_including_leaving(&self, server: &str) -> Option<&Group> {
        self.groups.iter().find(|g| g.servers_and_leaving().any(|s| s == server))
    }

    /// The newest election of a group.
    pub fn election(&self, group: &str) -> Option<&Election> {
        self.elections.iter().find(|e| e.group == group)
    }

    /// What a server reported of its end, if anything.
    pub fn departure(&self, server: &str) -> Option<&Departure> {
        self.departures.iter().find(|departure| departure.server == server)
    }

    /// The routes as nodes use them, without the operator's own fields.
    pub fn routes_for_nodes(&self) -> Routes {
        self.routes.iter().map(|route| Route { note: String::new(), ..route.clone() }).collect()
    }

    /// The part of the image that nodes use, except the routes: without the operator's own fields, and without those
    /// that only control nodes need.
    pub fn for_nodes_without_routes(&self) -> Image {
        let group = |g: &Group| Group { note: String::new(), ..g.clone() };
        Image {
            groups: self.groups.iter().map(group).collect(),
            limits: self.limits,
            evacuated_zones: self.evacuated_zones.clone(),
            elections: self.elections.clone(),
            logs: self.logs.clone(),
            sequence: self.sequence,
            ..Image::default()
        }
    }

    /// The part of the image that nodes use, without copying what stays.
    pub fn into_part_for_nodes(mut self) -> Image {
        self.routes.iter_mut().for_each(|route| route.note.clear());
        self.groups.iter_mut().for_each(|group| group.note.clear());
        Image {
            routes: self.routes,
            groups: self.groups,
            limits: self.limits,
            evacuated_zones: self.evacuated_zones,
            elections: self.elections,
            logs: self.logs,
            sequence: self.sequence,
            ..Image::default()
        }
    }

    /// Whether a group's list of servers has been found complete, and no server has been removed since.
    pub fn is_membership_complete(&self, group: &Group) -> bool {
        let found = self.group_memberships.iter().find(|m| m.group == group.name);
        found.is_some_and(|m| m.servers > 0 && group.servers.len() as u64 >= m.servers)
    }

    /// The group that a server belongs to; `None` if it is being removed.
    pub fn group_of(&self, server: &str) -> Option<&Group> {
        self.groups.iter().find(|g| g.servers.iter().any(|s| s == server))
    }
}

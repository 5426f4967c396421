use base::position::Position;
use prost::Message;

/// The operator's word and the election record: all that is kept on disks.
#[derive(Clone, PartialEq, Message)]
pub struct Image {
    /// Counts the operator's words.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    #[prost(message, repeated, tag = "2")]
    pub routes: Vec<Route>,
    #[prost(message, repeated, tag = "3")]
    pub groups: Vec<Group>,
    #[prost(message, optional, tag = "4")]
    pub limits: Option<Limits>,
    #[prost(string, repeated, tag = "5")]
    pub evacuated_zones: Vec<String>,
    #[prost(message, repeated, tag = "6")]
    pub elections: Vec<Election>,
    /// The control nodes that vote: a quorum is a majority of them.
    #[prost(message, repeated, tag = "7")]
    pub members: Vec<Member>,
    /// The servers' logs that quorums are made of.
    #[prost(message, repeated, tag = "8")]
    pub logs: Vec<ServerLog>,
    /// The operators' own number of the set in force.
    #[prost(uint64, tag = "9")]
    pub operator_version: u64,
    /// Sets that were taken under builds which told them apart by CRC-32 and length; read, and never added to.
    #[prost(message, repeated, tag = "10")]
    pub legacy_orders: Vec<LegacyOrder>,
    /// The operators' own form of what is said of the whole set.
    #[prost(string, tag = "11")]
    pub note: String,
    /// Where the servers that made themselves known stood, so that they are found before they tell it again.
    #[prost(message, repeated, tag = "12")]
    pub server_addresses: Vec<ServerAddress>,
    /// The newest numbered orders that were taken, oldest first, so that one sent again is known: for each its number
    /// in 8 bytes, big-endian, and its digest in 16.
    #[prost(bytes = "vec", tag = "13")]
    pub applied_orders: Vec<u8>,
    /// The highest number of an order that was taken and is no longer remembered.
    #[prost(uint64, tag = "14")]
    pub highest_forgotten_order: u64,
    /// While the membership changes: the members before, of which a quorum needs a majority too.
    #[prost(message, repeated, tag = "21")]
    pub outgoing_members: Vec<Member>,
    /// Groups whose list of servers was found complete.
    #[prost(message, repeated, tag = "20")]
    pub group_memberships: Vec<GroupMembership>,
}

/// A group whose servers make themselves known, with the number of servers at which its list was found complete.
#[derive(Clone, PartialEq, Message)]
pub struct GroupMembership {
    #[prost(string, tag = "1")]
    pub group: String,
    /// 0 once a server was taken off since.
    #[prost(uint64, tag = "2")]
    pub servers: u64,
}

/// Where a server stood when it was written into its group.
#[derive(Clone, PartialEq, Message)]
pub struct ServerAddress {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(string, tag = "2")]
    pub addr: String,
    #[prost(string, tag = "3")]
    pub zone: String,
}

/// A set or change that was taken.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LegacyOrder {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// A sum of what was sent.
    #[prost(uint64, tag = "2")]
    pub sum: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Route {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub group: String,
    #[prost(string, tag = "3")]
    pub consistency: String,
    #[prost(bool, tag = "4")]
    pub fallback: bool,
    #[prost(string, tag = "5")]
    pub tag: String,
    #[prost(uint64, tag = "6")]
    pub statement_ms: u64,
    #[prost(uint64, tag = "7")]
    pub aim_ms: u64,
    #[prost(uint64, tag = "8")]
    pub fresh_ms: u64,
    #[prost(uint64, tag = "9")]
    pub rank: u64,
    #[prost(string, tag = "10")]
    pub note: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct Group {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, repeated, tag = "2")]
    pub servers: Vec<String>,
    #[prost(uint64, tag = "3")]
    pub cap: u64,
    /// Servers taken out that still count until all they may alone hold is held elsewhere.
    #[prost(string, repeated, tag = "4")]
    pub leaving_servers: Vec<String>,
    /// The servers confirm commits and make themselves known.
    #[prost(bool, tag = "5")]
    pub confirms: bool,
    #[prost(string, tag = "6")]
    pub note: String,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Limits {
    #[prost(uint64, tag = "1")]
    pub statement_ms: u64,
    #[prost(uint64, tag = "2")]
    pub idle_ms: u64,
}

/// Who leads a group on which line.
#[derive(Clone, PartialEq, Message)]
pub struct Election {
    #[prost(string, tag = "1")]
    pub group: String,
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    #[prost(string, tag = "3")]
    pub server: String,
    /// The place of the elected log when it was elected: what others hold behind it is void.
    #[prost(uint64, tag = "4")]
    pub start_epoch: u64,
    #[prost(uint64, tag = "5")]
    pub start_index: u64,
}

/// A server's log as quorums know it.
#[derive(Clone, PartialEq, Message)]
pub struct ServerLog {
    #[prost(string, tag = "1")]
    pub server: String,
    /// The log's identity.
    #[prost(uint64, tag = "2")]
    pub log_id: u64,
    /// It lost something: it is one of those a quorum is counted from, but what it holds does not count.
    #[prost(bool, tag = "3")]
    pub incomplete: bool,
    /// Rises each time the log is taken in.
    #[prost(uint64, tag = "4")]
    pub admission: u64,
}

/// A control node that votes. A disk that was lost comes back under another incarnation and is another member.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    #[prost(string, tag = "1")]
    pub name: String,
    /// The incarnation of its disk.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Where it is dialled; empty from builds that did not tell.
    #[prost(string, tag = "3")]
    pub address: String,
    /// The zone that it stands in; empty from builds that did not tell.
    #[prost(string, tag = "4")]
    pub zone: String,
}

impl Election {
    /// The place of the elected log when it was elected.
    pub fn start_position(&self) -> Position {
        Position { epoch: self.start_epoch, index: self.start_index }
    }
}

impl Group {
    /// The servers in it and those that are being taken out.
    pub fn servers_and_leaving(&self) -> impl Iterator<Item = &String> {
        self.servers.iter().chain(&self.leaving_servers)
    }
}

impl Image {
    /// A server's log as quorums know it.
    pub fn log(&self, server: &str) -> Option<&ServerLog> {
        self.logs.iter().find(|l| l.server == server)
    }

    /// The servers of a group that its quorums are counted from.
    pub fn voters<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = &'a ServerLog> {
        group.servers_and_leaving().filter_map(|s| self.log(s))
    }

    /// The group a server belongs to or is being taken out of.
    pub fn group_including_leaving(&self, server: &str) -> Option<&Group> {
        self.groups.iter().find(|g| g.servers_and_leaving().any(|s| s == server))
    }

    /// The newest election of a group.
    pub fn election(&self, group: &str) -> Option<&Election> {
        self.elections.iter().find(|e| e.group == group)
    }

    /// The part that nodes act on: without the operators' own forms, and without what only control nodes agree by.
    pub fn for_nodes(&self) -> Image {
        let doorway = |d: &Route| Route { note: String::new(), ..d.clone() };
        let group = |g: &Group| Group { note: String::new(), ..g.clone() };
        Image {
            routes: self.routes.iter().map(doorway).collect(),
            groups: self.groups.iter().map(group).collect(),
            limits: self.limits,
            evacuated_zones: self.evacuated_zones.clone(),
            elections: self.elections.clone(),
            logs: self.logs.clone(),
            sequence: self.sequence,
            ..Image::default()
        }
    }

    /// Whether a group's list of servers was found complete, and none has been dismissed since.
    pub fn is_membership_complete(&self, group: &Group) -> bool {
        let found = self.group_memberships.iter().find(|m| m.group == group.name);
        found.is_some_and(|m| m.servers > 0 && group.servers.len() as u64 >= m.servers)
    }

    /// The group a server belongs to.
    pub fn group_of(&self, server: &str) -> Option<&Group> {
        self.groups.iter().find(|g| g.servers.iter().any(|s| s == server))
    }
}

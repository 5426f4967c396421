use base::words::Position;
use prost::Message;

/// The operator's word and the election record: all that is kept on disks.
#[derive(Clone, PartialEq, Message)]
pub struct Image {
    /// Counts the operator's words.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    #[prost(message, repeated, tag = "2")]
    pub doorways: Vec<Doorway>,
    #[prost(message, repeated, tag = "3")]
    pub groups: Vec<Group>,
    #[prost(message, optional, tag = "4")]
    pub limits: Option<Limits>,
    #[prost(string, repeated, tag = "5")]
    pub emptied: Vec<String>,
    #[prost(message, repeated, tag = "6")]
    pub elects: Vec<Elect>,
    /// The control nodes that vote: a quorum is a majority of them.
    #[prost(message, repeated, tag = "7")]
    pub members: Vec<Member>,
    /// The servers' logs that quorums are made of.
    #[prost(message, repeated, tag = "8")]
    pub logs: Vec<Log>,
    /// The operators' own number of the set in force.
    #[prost(uint64, tag = "9")]
    pub number: u64,
    /// The newest sets that were taken, so that one sent again is known.
    #[prost(message, repeated, tag = "10")]
    pub taken: Vec<Taken>,
    /// The operators' own form of what is said of the whole set.
    #[prost(string, tag = "11")]
    pub note: String,
    /// Where the servers that made themselves known stood, so that they are found before they tell it again.
    #[prost(message, repeated, tag = "12")]
    pub spots: Vec<Spot>,
    /// While the membership changes: the members before, of which a quorum needs a majority too.
    #[prost(message, repeated, tag = "20")]
    pub outgoing_members: Vec<Member>,
}

/// Where a server stood when it was written into its group.
#[derive(Clone, PartialEq, Message)]
pub struct Spot {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(string, tag = "2")]
    pub addr: String,
    #[prost(string, tag = "3")]
    pub area: String,
}

/// A set or change that was taken.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Taken {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// A sum of what was sent.
    #[prost(uint64, tag = "2")]
    pub sum: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Doorway {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub group: String,
    #[prost(string, tag = "3")]
    pub promise: String,
    #[prost(bool, tag = "4")]
    pub fall: bool,
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
    pub leavers: Vec<String>,
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
pub struct Elect {
    #[prost(string, tag = "1")]
    pub group: String,
    #[prost(uint64, tag = "2")]
    pub line: u64,
    #[prost(string, tag = "3")]
    pub server: String,
    /// The place of the elected log when it was elected: what others hold behind it is void.
    #[prost(uint64, tag = "4")]
    pub from_line: u64,
    #[prost(uint64, tag = "5")]
    pub from_index: u64,
}

/// A server's log as quorums know it.
#[derive(Clone, PartialEq, Message)]
pub struct Log {
    #[prost(string, tag = "1")]
    pub server: String,
    /// The log's identity.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// It lost something: it is one of those a quorum is counted from, but what it holds does not count.
    #[prost(bool, tag = "3")]
    pub void: bool,
    /// Rises each time the log is taken in.
    #[prost(uint64, tag = "4")]
    pub turn: u64,
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

impl Elect {
    /// The place of the elected log when it was elected.
    pub fn from(&self) -> Position {
        Position { line: self.from_line, index: self.from_index }
    }
}

impl Group {
    /// The servers in it and those that are being taken out.
    pub fn all(&self) -> impl Iterator<Item = &String> {
        self.servers.iter().chain(&self.leavers)
    }
}

impl Image {
    /// A server's log as quorums know it.
    pub fn log(&self, server: &str) -> Option<&Log> {
        self.logs.iter().find(|l| l.server == server)
    }

    /// The servers of a group that its quorums are counted from.
    pub fn voters<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = &'a Log> {
        group.all().filter_map(|s| self.log(s))
    }

    /// The group a server belongs to or is being taken out of.
    pub fn root(&self, server: &str) -> Option<&Group> {
        self.groups.iter().find(|g| g.all().any(|s| s == server))
    }

    /// The newest election of a group.
    pub fn elect(&self, group: &str) -> Option<&Elect> {
        self.elects.iter().find(|e| e.group == group)
    }

    /// The group a server belongs to.
    pub fn home(&self, server: &str) -> Option<&Group> {
        self.groups.iter().find(|g| g.servers.iter().any(|s| s == server))
    }
}

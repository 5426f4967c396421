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
    /// The control nodes whose memory counts.
    #[prost(message, repeated, tag = "7")]
    pub homes: Vec<Home>,
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
}

#[derive(Clone, PartialEq, Message)]
pub struct Group {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, repeated, tag = "2")]
    pub servers: Vec<String>,
    #[prost(uint64, tag = "3")]
    pub cap: u64,
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
}

/// A control node and the incarnation of its disk.
#[derive(Clone, PartialEq, Message)]
pub struct Home {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub born: u64,
}

impl Image {
    /// The newest election of a group.
    pub fn elect(&self, group: &str) -> Option<&Elect> {
        self.elects.iter().find(|e| e.group == group)
    }

    /// The group a server belongs to.
    pub fn home(&self, server: &str) -> Option<&Group> {
        self.groups.iter().find(|g| g.servers.iter().any(|s| s == server))
    }
}

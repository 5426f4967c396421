use prost::{Message, Oneof};

use crate::{Doorway, Elect, Group, Heartbeat, HeartbeatAck, Image, Limits, Log, VoteRequest, VoteResponse};

/// One frame of a link.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<Body>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Beat(Beat),
    #[prost(message, tag = "3")]
    BeatReturn(BeatReturn),
    #[prost(message, tag = "4")]
    News(News),
    #[prost(message, tag = "5")]
    Ask(Ask),
    #[prost(message, tag = "6")]
    AskReturn(AskReturn),
    #[prost(message, tag = "7")]
    VoteRequest(VoteRequest),
    #[prost(message, tag = "8")]
    VoteResponse(VoteResponse),
    #[prost(message, boxed, tag = "9")]
    Heartbeat(Box<Heartbeat>),
    #[prost(message, tag = "10")]
    HeartbeatAck(HeartbeatAck),
    #[prost(message, tag = "11")]
    Root(Root),
    #[prost(message, tag = "12")]
    NewsDelta(NewsDelta),
    #[prost(message, tag = "13")]
    NewsRequest(NewsRequest),
    #[prost(message, tag = "14")]
    Piece(Piece),
}

/// A piece of a large frame.
#[derive(Clone, PartialEq, Message)]
pub struct Piece {
    #[prost(bytes = "vec", tag = "1")]
    pub data: Vec<u8>,
    /// On the last piece: the size of the whole frame once it is unpacked.
    #[prost(uint32, tag = "2")]
    pub frame_size: u32,
}

/// The first frame of a link: who speaks.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub area: String,
    #[prost(bool, tag = "3")]
    pub hub: bool,
    #[prost(string, tag = "4")]
    pub peer: String,
    /// A random number of this run of the process.
    #[prost(uint64, tag = "5")]
    pub boot: u64,
    /// On control nodes: the incarnation of the disk.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// On control nodes: the disk holds no image that counts.
    #[prost(bool, tag = "7")]
    pub empty: bool,
    /// The bounds it counts by, as one number; 0 from builds that do not tell.
    #[prost(uint64, tag = "8")]
    pub rule: u64,
    /// On control nodes: blank but for an image that a person took knowingly from the last disk.
    #[prost(bool, tag = "9")]
    pub rescued: bool,
    /// Whether it takes news as deltas; builds that do not tell get each news whole.
    #[prost(bool, tag = "10")]
    pub deltas: bool,
    /// On control nodes: the disk was first used at the first start of the whole system.
    #[prost(bool, tag = "11")]
    pub may_form: bool,
    /// Whether it takes large frames in pieces, and changes of the image in place of whole ones; builds that do not tell
    /// get whole ones.
    #[prost(bool, tag = "12")]
    pub pieces: bool,
}

/// What a node says up the tree to the leading hub.
#[derive(Clone, PartialEq, Message)]
pub struct Beat {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub boot: u64,
    /// Ties the return to the time the beat was sent.
    #[prost(uint64, tag = "3")]
    pub nonce: u64,
    #[prost(string, tag = "4")]
    pub area: String,
    #[prost(string, tag = "5")]
    pub peer: String,
    #[prost(string, tag = "6")]
    pub http: String,
    #[prost(message, repeated, tag = "7")]
    pub shares: Vec<Held>,
    #[prost(message, repeated, tag = "8")]
    pub sights: Vec<Sight>,
    #[prost(message, optional, tag = "9")]
    pub seen: Option<Mark>,
    /// The node is going down and hands everything back.
    #[prost(bool, tag = "10")]
    pub leaving: bool,
    /// How far from a hub the node sits.
    #[prost(uint32, tag = "11")]
    pub depth: u32,
    #[prost(string, tag = "12")]
    pub parent: String,
    /// The leader grants the node still holds.
    #[prost(message, repeated, tag = "13")]
    pub leads: Vec<Lead>,
    /// The nonce of the newest return the node has acted on.
    #[prost(uint64, tag = "14")]
    pub heard: u64,
    #[prost(bool, tag = "15")]
    pub hub: bool,
    /// The bounds the node counts by, as one number; 0 from builds that do not tell.
    #[prost(uint64, tag = "16")]
    pub rule: u64,
}

/// A share of a server's connections that a node holds, and what it could use.
#[derive(Clone, PartialEq, Message)]
pub struct Held {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(uint64, tag = "2")]
    pub count: u64,
    #[prost(uint64, tag = "3")]
    pub want: u64,
}

/// How a node sees a server over its own connections.
#[derive(Clone, PartialEq, Message)]
pub struct Sight {
    #[prost(string, tag = "1")]
    pub server: String,
    /// Milliseconds since the server last answered this node.
    #[prost(uint64, tag = "2")]
    pub age: u64,
    #[prost(uint64, tag = "3")]
    pub line: u64,
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// The newest readings were turned away at once: nobody listens there.
    #[prost(bool, tag = "5")]
    pub refused: bool,
    /// The log lost something since it was taken in at this turn; 0 when it did not.
    #[prost(uint64, tag = "6")]
    pub back: u64,
}

/// Orders news: the leading hub's term, then its count.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct Mark {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// The leading hub's return to a beat.
#[derive(Clone, PartialEq, Message)]
pub struct BeatReturn {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub boot: u64,
    #[prost(uint64, tag = "3")]
    pub nonce: u64,
    /// The newest news there was when the beat came.
    #[prost(message, optional, tag = "4")]
    pub mark: Option<Mark>,
    #[prost(message, repeated, tag = "5")]
    pub leads: Vec<Lead>,
    #[prost(message, repeated, tag = "6")]
    pub shares: Vec<Share>,
}

/// A leader grant: counted from when the beat was sent.
#[derive(Clone, PartialEq, Message)]
pub struct Lead {
    #[prost(string, tag = "1")]
    pub group: String,
    #[prost(string, tag = "2")]
    pub server: String,
    #[prost(uint64, tag = "3")]
    pub line: u64,
    #[prost(uint64, tag = "4")]
    pub span: u64,
}

/// A share grant: counted from when the beat was sent.
#[derive(Clone, PartialEq, Message)]
pub struct Share {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(uint64, tag = "2")]
    pub count: u64,
    #[prost(uint64, tag = "3")]
    pub span: u64,
    /// More nodes want a connection than there are: one that rests is to be given back soon.
    #[prost(bool, tag = "4")]
    pub scarce: bool,
    /// How many nodes share the server's connections; 0 from builds that do not tell.
    #[prost(uint64, tag = "5")]
    pub sharers: u64,
}

/// What goes down the tree, whole: the operator's word and the servers as last told.
#[derive(Clone, PartialEq, Message)]
pub struct News {
    #[prost(message, optional, tag = "1")]
    pub mark: Option<Mark>,
    #[prost(message, optional, tag = "2")]
    pub image: Option<Image>,
    #[prost(message, repeated, tag = "3")]
    pub servers: Vec<Server>,
    #[prost(message, repeated, tag = "4")]
    pub nodes: Vec<Node>,
}

/// The changes between two states of the news: each list holds what is new or different, and the keys that are gone.
#[derive(Clone, PartialEq, Message)]
pub struct NewsDelta {
    /// The exact state that it builds on.
    #[prost(message, optional, tag = "1")]
    pub from: Option<Mark>,
    /// The state that it leads to.
    #[prost(message, optional, tag = "2")]
    pub mark: Option<Mark>,
    /// The checksum of the state that it leads to.
    #[prost(fixed32, tag = "3")]
    pub digest: u32,
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    #[prost(message, optional, tag = "5")]
    pub limits: Option<Limits>,
    #[prost(message, repeated, tag = "6")]
    pub doorways: Vec<Doorway>,
    #[prost(string, repeated, tag = "7")]
    pub doorways_removed: Vec<String>,
    #[prost(message, repeated, tag = "8")]
    pub groups: Vec<Group>,
    #[prost(string, repeated, tag = "9")]
    pub groups_removed: Vec<String>,
    #[prost(string, repeated, tag = "10")]
    pub emptied: Vec<String>,
    #[prost(string, repeated, tag = "11")]
    pub emptied_removed: Vec<String>,
    #[prost(message, repeated, tag = "12")]
    pub elects: Vec<Elect>,
    #[prost(string, repeated, tag = "13")]
    pub elects_removed: Vec<String>,
    #[prost(message, repeated, tag = "14")]
    pub logs: Vec<Log>,
    #[prost(string, repeated, tag = "15")]
    pub logs_removed: Vec<String>,
    #[prost(message, repeated, tag = "16")]
    pub servers: Vec<Server>,
    #[prost(string, repeated, tag = "17")]
    pub servers_removed: Vec<String>,
    #[prost(message, repeated, tag = "18")]
    pub nodes: Vec<Node>,
    #[prost(string, repeated, tag = "19")]
    pub nodes_removed: Vec<String>,
}

/// A child asks its parent for the whole news: a delta did not fit what it holds.
#[derive(Clone, PartialEq, Message)]
pub struct NewsRequest {
    /// The newest state that the child holds.
    #[prost(message, optional, tag = "1")]
    pub mark: Option<Mark>,
}

/// A server as it told of itself.
#[derive(Clone, PartialEq, Message)]
pub struct Server {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub area: String,
    #[prost(string, tag = "3")]
    pub addr: String,
    #[prost(bool, tag = "4")]
    pub draining: bool,
    /// Not heard of within the bound.
    #[prost(bool, tag = "5")]
    pub gone: bool,
    /// Coldness in thousandths.
    #[prost(uint32, tag = "6")]
    pub cold: u32,
    #[prost(bool, tag = "7")]
    pub leads: bool,
    #[prost(uint64, tag = "8")]
    pub line: u64,
    /// The group it makes itself known for, if it does.
    #[prost(string, tag = "9")]
    pub group: String,
    /// The count of its newest report.
    #[prost(uint64, tag = "10")]
    pub turn: u64,
    /// It said that it ends.
    #[prost(bool, tag = "11")]
    pub left: bool,
}

/// A node as its session tells of it.
#[derive(Clone, PartialEq, Message)]
pub struct Node {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub area: String,
    #[prost(string, tag = "3")]
    pub peer: String,
    #[prost(string, tag = "4")]
    pub http: String,
    #[prost(string, tag = "5")]
    pub parent: String,
    #[prost(uint32, tag = "6")]
    pub depth: u32,
}

/// An outer request handed up the tree to the leading hub. Origin, boot and nonce together name it, over restarts too.
#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    #[prost(string, tag = "1")]
    pub origin: String,
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    #[prost(string, tag = "3")]
    pub method: String,
    #[prost(string, tag = "4")]
    pub path: String,
    #[prost(bytes = "bytes", tag = "5")]
    pub body: prost::bytes::Bytes,
    /// The random number of the run of the process that asks.
    #[prost(uint64, tag = "6")]
    pub boot: u64,
    /// It may take effect, and so must not once its origin has given it up.
    #[prost(bool, tag = "7")]
    pub once: bool,
    /// The nonce of the newest beat of the origin's that was returned.
    #[prost(uint64, tag = "8")]
    pub heard: u64,
    /// Milliseconds from when that beat was sent to when this was.
    #[prost(uint64, tag = "9")]
    pub since: u64,
}

/// The answer that goes back down to where the request came in.
#[derive(Clone, PartialEq, Message)]
pub struct AskReturn {
    #[prost(string, tag = "1")]
    pub origin: String,
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    #[prost(uint32, tag = "3")]
    pub code: u32,
    #[prost(uint32, tag = "4")]
    pub retry: u32,
    #[prost(bytes = "bytes", tag = "5")]
    pub body: prost::bytes::Bytes,
    /// As in the request.
    #[prost(uint64, tag = "6")]
    pub boot: u64,
}

/// A parent tells a child how far it is from the leading hub.
#[derive(Clone, PartialEq, Message)]
pub struct Root {
    #[prost(uint32, tag = "1")]
    pub depth: u32,
    /// Whether the parent itself has heard from the root lately.
    #[prost(bool, tag = "2")]
    pub fed: bool,
    /// The names on the way up, so that no ring forms.
    #[prost(string, repeated, tag = "3")]
    pub path: Vec<String>,
    #[prost(bool, tag = "4")]
    pub full: bool,
    /// Rises when the leading hub wants a beat from everyone at once.
    #[prost(uint64, tag = "5")]
    pub wave: u64,
}

/// A leader grant that may still stand.
#[derive(Clone, PartialEq, Message)]
pub struct OutLead {
    #[prost(string, tag = "1")]
    pub group: String,
    #[prost(string, tag = "2")]
    pub node: String,
    /// The beat whose return gave it.
    #[prost(uint64, tag = "3")]
    pub nonce: u64,
    /// Milliseconds until it has run out for sure.
    #[prost(uint64, tag = "4")]
    pub left: u64,
    /// The run of the node's process that it was given to.
    #[prost(uint64, tag = "5")]
    pub boot: u64,
}

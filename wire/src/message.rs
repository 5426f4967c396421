use prost::{Message, Oneof};

use crate::{Election, Group, Heartbeat, HeartbeatAck, Image, Limits, Route, ServerLog, VoteRequest, VoteResponse};

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
    NodeHeartbeat(NodeHeartbeat),
    #[prost(message, tag = "3")]
    NodeHeartbeatAck(NodeHeartbeatAck),
    #[prost(message, tag = "4")]
    FullSnapshot(FullSnapshot),
    #[prost(message, tag = "5")]
    ForwardedRequest(ForwardedRequest),
    #[prost(message, tag = "6")]
    ForwardedResponse(ForwardedResponse),
    #[prost(message, tag = "7")]
    VoteRequest(VoteRequest),
    #[prost(message, tag = "8")]
    VoteResponse(VoteResponse),
    #[prost(message, boxed, tag = "9")]
    Heartbeat(Box<Heartbeat>),
    #[prost(message, tag = "10")]
    HeartbeatAck(HeartbeatAck),
    #[prost(message, tag = "11")]
    ParentStatus(ParentStatus),
    #[prost(message, tag = "12")]
    SnapshotDelta(SnapshotDelta),
    #[prost(message, tag = "13")]
    SnapshotRequest(SnapshotRequest),
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
    pub zone: String,
    #[prost(bool, tag = "3")]
    pub hub: bool,
    #[prost(string, tag = "4")]
    pub peer: String,
    /// A random number of this run of the process.
    #[prost(uint64, tag = "5")]
    pub boot_id: u64,
    /// On control nodes: the incarnation of the disk.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// On control nodes: the disk holds no image that counts.
    #[prost(bool, tag = "7")]
    pub empty: bool,
    /// The bounds it counts by, as one number; 0 from builds that do not tell.
    #[prost(uint64, tag = "8")]
    pub bounds_digest: u64,
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
pub struct NodeHeartbeat {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub boot_id: u64,
    /// Ties the return to the time the beat was sent.
    #[prost(uint64, tag = "3")]
    pub nonce: u64,
    #[prost(string, tag = "4")]
    pub zone: String,
    #[prost(string, tag = "5")]
    pub peer: String,
    #[prost(string, tag = "6")]
    pub http: String,
    #[prost(message, repeated, tag = "7")]
    pub shares: Vec<HeldShare>,
    #[prost(message, repeated, tag = "8")]
    pub observations: Vec<ServerObservation>,
    #[prost(message, optional, tag = "9")]
    pub snapshot_version: Option<SnapshotVersion>,
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
    pub primary_leases: Vec<PrimaryLeaseGrant>,
    /// The nonce of the newest return the node has acted on.
    #[prost(uint64, tag = "14")]
    pub last_ack_nonce: u64,
    #[prost(bool, tag = "15")]
    pub hub: bool,
    /// The bounds the node counts by, as one number; 0 from builds that do not tell.
    #[prost(uint64, tag = "16")]
    pub bounds_digest: u64,
}

/// A share of a server's connections that a node holds, and what it could use.
#[derive(Clone, PartialEq, Message)]
pub struct HeldShare {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(uint64, tag = "2")]
    pub count: u64,
    #[prost(uint64, tag = "3")]
    pub want: u64,
}

/// How a node sees a server over its own connections.
#[derive(Clone, PartialEq, Message)]
pub struct ServerObservation {
    #[prost(string, tag = "1")]
    pub server: String,
    /// Milliseconds since the server last answered this node.
    #[prost(uint64, tag = "2")]
    pub age: u64,
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// The newest readings were turned away at once: nobody listens there.
    #[prost(bool, tag = "5")]
    pub refused: bool,
    /// The log lost something since it was taken in at this turn; 0 when it did not.
    #[prost(uint64, tag = "6")]
    pub lost_since_admission: u64,
}

/// Orders news: the leading hub's term, then its count.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct SnapshotVersion {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// The leading hub's return to a beat.
#[derive(Clone, PartialEq, Message)]
pub struct NodeHeartbeatAck {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub boot_id: u64,
    #[prost(uint64, tag = "3")]
    pub nonce: u64,
    /// The newest news there was when the beat came.
    #[prost(message, optional, tag = "4")]
    pub snapshot_version: Option<SnapshotVersion>,
    #[prost(message, repeated, tag = "5")]
    pub primary_leases: Vec<PrimaryLeaseGrant>,
    #[prost(message, repeated, tag = "6")]
    pub shares: Vec<ShareGrant>,
}

/// A leader grant: counted from when the beat was sent.
#[derive(Clone, PartialEq, Message)]
pub struct PrimaryLeaseGrant {
    #[prost(string, tag = "1")]
    pub group: String,
    #[prost(string, tag = "2")]
    pub server: String,
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    #[prost(uint64, tag = "4")]
    pub valid_ms: u64,
}

/// A share grant: counted from when the beat was sent.
#[derive(Clone, PartialEq, Message)]
pub struct ShareGrant {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(uint64, tag = "2")]
    pub count: u64,
    #[prost(uint64, tag = "3")]
    pub valid_ms: u64,
    /// More nodes want a connection than there are: one that rests is to be given back soon.
    #[prost(bool, tag = "4")]
    pub scarce: bool,
    /// How many nodes share the server's connections; 0 from builds that do not tell.
    #[prost(uint64, tag = "5")]
    pub sharers: u64,
}

/// What goes down the tree, whole: the operator's word and the servers as last told.
#[derive(Clone, PartialEq, Message)]
pub struct FullSnapshot {
    #[prost(message, optional, tag = "1")]
    pub version: Option<SnapshotVersion>,
    #[prost(message, optional, tag = "2")]
    pub image: Option<Image>,
    #[prost(message, repeated, tag = "3")]
    pub servers: Vec<Server>,
    #[prost(message, repeated, tag = "4")]
    pub nodes: Vec<Node>,
}

/// The changes between two states of the news: each list holds what is new or different, and the keys that are gone.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotDelta {
    /// The exact state that it builds on.
    #[prost(message, optional, tag = "1")]
    pub base_version: Option<SnapshotVersion>,
    /// The state that it leads to.
    #[prost(message, optional, tag = "2")]
    pub version: Option<SnapshotVersion>,
    /// The checksum of the state that it leads to.
    #[prost(fixed32, tag = "3")]
    pub digest: u32,
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    #[prost(message, optional, tag = "5")]
    pub limits: Option<Limits>,
    #[prost(message, repeated, tag = "6")]
    pub routes: Vec<Route>,
    #[prost(string, repeated, tag = "7")]
    pub routes_removed: Vec<String>,
    #[prost(message, repeated, tag = "8")]
    pub groups: Vec<Group>,
    #[prost(string, repeated, tag = "9")]
    pub groups_removed: Vec<String>,
    #[prost(string, repeated, tag = "10")]
    pub evacuated_zones: Vec<String>,
    #[prost(string, repeated, tag = "11")]
    pub evacuated_zones_removed: Vec<String>,
    #[prost(message, repeated, tag = "12")]
    pub elections: Vec<Election>,
    #[prost(string, repeated, tag = "13")]
    pub elections_removed: Vec<String>,
    #[prost(message, repeated, tag = "14")]
    pub logs: Vec<ServerLog>,
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
pub struct SnapshotRequest {
    /// The newest state that the child holds.
    #[prost(message, optional, tag = "1")]
    pub version: Option<SnapshotVersion>,
}

/// A server as it told of itself.
#[derive(Clone, PartialEq, Message)]
pub struct Server {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub zone: String,
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
    pub is_primary: bool,
    #[prost(uint64, tag = "8")]
    pub epoch: u64,
    /// The group it makes itself known for, if it does.
    #[prost(string, tag = "9")]
    pub group: String,
    /// The count of its newest report.
    #[prost(uint64, tag = "10")]
    pub report_seq: u64,
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
    pub zone: String,
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
pub struct ForwardedRequest {
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
    pub boot_id: u64,
    /// It may take effect, and so must not once its origin has given it up.
    #[prost(bool, tag = "7")]
    pub at_most_once: bool,
    /// The nonce of the newest beat of the origin's that was returned.
    #[prost(uint64, tag = "8")]
    pub last_ack_nonce: u64,
    /// Milliseconds from when that beat was sent to when this was.
    #[prost(uint64, tag = "9")]
    pub ms_since_heartbeat: u64,
}

/// The answer that goes back down to where the request came in.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedResponse {
    #[prost(string, tag = "1")]
    pub origin: String,
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    #[prost(uint32, tag = "3")]
    pub status: u32,
    #[prost(uint32, tag = "4")]
    pub retry_after_s: u32,
    #[prost(bytes = "bytes", tag = "5")]
    pub body: prost::bytes::Bytes,
    /// As in the request.
    #[prost(uint64, tag = "6")]
    pub boot_id: u64,
}

/// A parent tells a child how far it is from the leading hub.
#[derive(Clone, PartialEq, Message)]
pub struct ParentStatus {
    #[prost(uint32, tag = "1")]
    pub depth: u32,
    /// Whether the parent itself has heard from the root lately.
    #[prost(bool, tag = "2")]
    pub reaches_leader: bool,
    /// The names on the way up, so that no ring forms.
    #[prost(string, repeated, tag = "3")]
    pub path: Vec<String>,
    #[prost(bool, tag = "4")]
    pub full: bool,
    /// Rises when the leading hub wants a beat from everyone at once.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// A leader grant that may still stand.
#[derive(Clone, PartialEq, Message)]
pub struct OutstandingLease {
    #[prost(string, tag = "1")]
    pub group: String,
    #[prost(string, tag = "2")]
    pub node: String,
    /// The beat whose return gave it.
    #[prost(uint64, tag = "3")]
    pub nonce: u64,
    /// Milliseconds until it has run out for sure.
    #[prost(uint64, tag = "4")]
    pub remaining_ms: u64,
    /// The run of the node's process that it was given to.
    #[prost(uint64, tag = "5")]
    pub boot_id: u64,
}

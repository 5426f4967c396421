//! Messages between nodes and control nodes: the dissemination tree and its frames.

use prost::{Message, Oneof};

use crate::{Election, Group, Heartbeat, HeartbeatAck, Image, Limits, Route, ServerLog, VoteRequest, VoteResponse};

/// One frame of a link.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<Body>,
}

/// The content of a frame.
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
    /// A part of the compressed frame.
    #[prost(bytes = "vec", tag = "1")]
    pub data: Vec<u8>,
    /// On the last piece: the size of the whole frame in bytes after decompression; 0 on the others.
    #[prost(uint32, tag = "2")]
    pub frame_size: u32,
}

/// The first frame of a link in each direction: identifies the sender and its capabilities.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Whether the sender is a control node.
    #[prost(bool, tag = "3")]
    pub is_control_node: bool,
    /// The address at which the sender accepts links.
    #[prost(string, tag = "4")]
    pub peer: String,
    /// A random number of this run of the process.
    #[prost(uint64, tag = "5")]
    pub boot_id: u64,
    /// On control nodes: the incarnation of the disk.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// On control nodes: the disk holds no image, or only a recovered one (see `rescued`).
    #[prost(bool, tag = "7")]
    pub has_no_image: bool,
    /// A digest of the sender's bounds; 0 from builds that do not send it.
    #[prost(uint64, tag = "8")]
    pub bounds_digest: u64,
    /// On control nodes: the disk holds only an image that an operator deliberately recovered from the last disk left.
    #[prost(bool, tag = "9")]
    pub rescued: bool,
    /// On control nodes: the disk was first used at the first start of the whole system.
    #[prost(bool, tag = "11")]
    pub may_form: bool,
    /// Whether the sender accepts large frames in pieces, and deltas of the image; false from builds that need them
    /// whole.
    #[prost(bool, tag = "12")]
    pub accepts_pieces: bool,
    /// Whether the sender accepts snapshots as deltas with the sum of the items' digests; false from builds that need
    /// full snapshots. Tag 10 said so of deltas with a checksum of the whole encoding.
    #[prost(bool, tag = "13")]
    pub accepts_deltas: bool,
}

/// A node's heartbeat, which goes up the tree to the leader.
#[derive(Clone, PartialEq, Message)]
pub struct NodeHeartbeat {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub boot_id: u64,
    /// Ties the acknowledgement to the time at which the heartbeat was sent.
    #[prost(uint64, tag = "3")]
    pub nonce: u64,
    #[prost(string, tag = "4")]
    pub zone: String,
    /// The address at which the node accepts links.
    #[prost(string, tag = "5")]
    pub peer: String,
    /// The address of the node's HTTP endpoint.
    #[prost(string, tag = "6")]
    pub http: String,
    #[prost(message, repeated, tag = "7")]
    pub shares: Vec<HeldShare>,
    #[prost(message, repeated, tag = "8")]
    pub observations: Vec<ServerObservation>,
    /// The newest snapshot that the node holds.
    #[prost(message, optional, tag = "9")]
    pub snapshot_version: Option<SnapshotVersion>,
    /// The node is shutting down and gives back its leases and shares.
    #[prost(bool, tag = "10")]
    pub leaving: bool,
    /// The node's distance from the root of the tree, in links.
    #[prost(uint32, tag = "11")]
    pub depth: u32,
    /// The name of the node's parent.
    #[prost(string, tag = "12")]
    pub parent: String,
    /// The leases on groups' primaries that the node still holds.
    #[prost(message, repeated, tag = "13")]
    pub primary_leases: Vec<PrimaryLeaseGrant>,
    /// The nonce of the newest acknowledgement that the node has processed.
    #[prost(uint64, tag = "14")]
    pub last_ack_nonce: u64,
    /// Whether the sender is a control node.
    #[prost(bool, tag = "15")]
    pub is_control_node: bool,
    /// A digest of the node's bounds; 0 from builds that do not send it.
    #[prost(uint64, tag = "16")]
    pub bounds_digest: u64,
}

/// A node's share of a server's connections.
#[derive(Clone, PartialEq, Message)]
pub struct HeldShare {
    #[prost(string, tag = "1")]
    pub server: String,
    /// The connections that the node holds.
    #[prost(uint64, tag = "2")]
    pub count: u64,
    /// The connections that the node could use.
    #[prost(uint64, tag = "3")]
    pub wanted: u64,
}

/// What a node observes of a server over its own connections.
#[derive(Clone, PartialEq, Message)]
pub struct ServerObservation {
    #[prost(string, tag = "1")]
    pub server: String,
    /// Milliseconds since the server last answered this node.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// With `index`, the position of the server's log.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// The newest samples failed because the connection was refused at once: no process is listening at the address.
    #[prost(bool, tag = "5")]
    pub refused: bool,
    /// The admission number of the log if it has lost entries since that admission; otherwise 0.
    #[prost(uint64, tag = "6")]
    pub lost_since_admission: u64,
}

/// The version of a state snapshot, ordered by the leader's term, then by the leader's count of snapshots.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct SnapshotVersion {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// The leader's acknowledgement of a node's heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct NodeHeartbeatAck {
    /// Name, boot id and nonce as in the heartbeat.
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub boot_id: u64,
    #[prost(uint64, tag = "3")]
    pub nonce: u64,
    /// The newest snapshot when the heartbeat arrived.
    #[prost(message, optional, tag = "4")]
    pub snapshot_version: Option<SnapshotVersion>,
    #[prost(message, repeated, tag = "5")]
    pub primary_leases: Vec<PrimaryLeaseGrant>,
    #[prost(message, repeated, tag = "6")]
    pub shares: Vec<ShareGrant>,
}

/// A lease on the primary of a group. Its validity counts from when the heartbeat was sent.
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

/// A granted share of a server's connections. Its validity counts from when the heartbeat was sent.
#[derive(Clone, PartialEq, Message)]
pub struct ShareGrant {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(uint64, tag = "2")]
    pub count: u64,
    #[prost(uint64, tag = "3")]
    pub valid_ms: u64,
    /// More nodes need a connection than there are connections: idle ones should be given back soon.
    #[prost(bool, tag = "4")]
    pub scarce: bool,
    /// How many nodes share the server's connections; 0 from builds that do not send it.
    #[prost(uint64, tag = "5")]
    pub sharers: u64,
}

/// A full state snapshot, which goes down the tree: the configuration and elections, the servers and the nodes.
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

/// The difference between two state snapshots: each list holds the items that were added or changed, and each
/// `_removed` list the keys of those that were removed.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotDelta {
    /// The snapshot to which the delta applies.
    #[prost(message, optional, tag = "1")]
    pub base_version: Option<SnapshotVersion>,
    /// The snapshot that results.
    #[prost(message, optional, tag = "2")]
    pub version: Option<SnapshotVersion>,
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
    /// The digest of the snapshot that results. Tag 3 held a checksum of its whole encoding.
    #[prost(fixed64, tag = "20")]
    pub digest: u64,
}

/// A child's request to its parent for the full snapshot, because a delta did not fit the snapshot that the child
/// holds.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotRequest {
    /// The newest snapshot that the child holds.
    #[prost(message, optional, tag = "1")]
    pub version: Option<SnapshotVersion>,
}

/// A server, as it last reported.
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
    /// Unreachable: it has not been seen within [`base::Bounds::server_gone_after`], or has deregistered.
    #[prost(bool, tag = "5")]
    pub unreachable: bool,
    /// How much of its warm-up is left, in thousandths.
    #[prost(uint32, tag = "6")]
    pub coldness_permille: u32,
    #[prost(bool, tag = "7")]
    pub is_primary: bool,
    #[prost(uint64, tag = "8")]
    pub epoch: u64,
    /// The group for which it registers itself; empty if it does not.
    #[prost(string, tag = "9")]
    pub group: String,
    /// The sequence number of its newest report.
    #[prost(uint64, tag = "10")]
    pub report_seq: u64,
    /// It has deregistered: its last report announced that it is shutting down.
    #[prost(bool, tag = "11")]
    pub deregistered: bool,
}

/// A node, as its last heartbeat describes it.
#[derive(Clone, PartialEq, Message)]
pub struct Node {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    /// The address at which it accepts links.
    #[prost(string, tag = "3")]
    pub peer: String,
    /// The address of its HTTP endpoint.
    #[prost(string, tag = "4")]
    pub http: String,
    #[prost(string, tag = "5")]
    pub parent: String,
    #[prost(uint32, tag = "6")]
    pub depth: u32,
}

/// An HTTP request forwarded up the tree to the leader. Origin, boot id and nonce together identify it, also across
/// restarts.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedRequest {
    /// The name of the process that received the HTTP request.
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
    /// The random number of the run of the origin's process.
    #[prost(uint64, tag = "6")]
    pub boot_id: u64,
    /// The request may take effect, and so must not be executed once its origin has stopped waiting for the response.
    #[prost(bool, tag = "7")]
    pub at_most_once: bool,
    /// The nonce of the origin's newest heartbeat that was acknowledged.
    #[prost(uint64, tag = "8")]
    pub last_ack_nonce: u64,
    /// Milliseconds between the sending of that heartbeat and of this request.
    #[prost(uint64, tag = "9")]
    pub ms_since_heartbeat: u64,
}

/// The response to a forwarded request, which goes down the tree to the request's origin.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedResponse {
    #[prost(string, tag = "1")]
    pub origin: String,
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    /// The HTTP status code.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Seconds for the `retry-after` header; 0 for none.
    #[prost(uint32, tag = "4")]
    pub retry_after_s: u32,
    #[prost(bytes = "bytes", tag = "5")]
    pub body: prost::bytes::Bytes,
    /// As in the request.
    #[prost(uint64, tag = "6")]
    pub boot_id: u64,
}

/// The status of a parent, sent to its children and to processes that search for a parent.
#[derive(Clone, PartialEq, Message)]
pub struct ParentStatus {
    /// The parent's distance from the leader, in links.
    #[prost(uint32, tag = "1")]
    pub depth: u32,
    /// Whether the parent has recently received an acknowledgement from the leader, or is the leader.
    #[prost(bool, tag = "2")]
    pub reaches_leader: bool,
    /// The names of the processes on the path from the root, the parent last, so that no loop forms.
    #[prost(string, repeated, tag = "3")]
    pub path: Vec<String>,
    /// The parent has enough children: others should prefer another parent.
    #[prost(bool, tag = "4")]
    pub full: bool,
    /// Rises when the leader requests a heartbeat from every node at once.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// A lease on the primary of a group that may still be valid.
#[derive(Clone, PartialEq, Message)]
pub struct OutstandingLease {
    #[prost(string, tag = "1")]
    pub group: String,
    #[prost(string, tag = "2")]
    pub node: String,
    /// The nonce of the heartbeat whose acknowledgement granted the lease.
    #[prost(uint64, tag = "3")]
    pub nonce: u64,
    /// Milliseconds until the lease is certain to have expired.
    #[prost(uint64, tag = "4")]
    pub remaining_ms: u64,
    /// The boot id of the run of the node's process to which it was granted.
    #[prost(uint64, tag = "5")]
    pub boot_id: u64,
}

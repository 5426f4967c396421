//! Messages by which control nodes elect a leader and replicate the image.

use prost::Message;

use crate::{Image, ImageDelta, OutstandingLease};

/// A candidate's request for the vote of another control node.
#[derive(Clone, PartialEq, Message)]
pub struct VoteRequest {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The term of the newest image on the candidate's disk.
    #[prost(uint64, tag = "2")]
    pub version_term: u64,
    /// The index of the newest image on the candidate's disk.
    #[prost(uint64, tag = "3")]
    pub version_index: u64,
    /// The incarnation of the candidate's disk.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// The leader transferred its leadership to the candidate, so the voter's obligations to that leader do not prevent
    /// the vote.
    #[prost(bool, tag = "5")]
    pub transfer: bool,
    /// Only checks whether a vote would be granted.
    #[prost(bool, tag = "6")]
    pub pre_vote: bool,
    /// Ties the response to the request.
    #[prost(uint64, tag = "7")]
    pub nonce: u64,
}

/// The response to a [`VoteRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct VoteResponse {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// The incarnation of the voter's disk.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The voter's disk holds no image, or only a recovered one (see [`crate::Hello::rescued`]).
    #[prost(bool, tag = "4")]
    pub has_no_image: bool,
    #[prost(uint64, tag = "5")]
    pub nonce: u64,
}

/// The leader's heartbeat to another control node. One that carries the image, or a delta to it, is sent in addition to
/// the periodic ones, which carry neither.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    /// The term of the leader's newest image.
    #[prost(uint64, tag = "3")]
    pub version_term: u64,
    /// The index of the leader's newest image.
    #[prost(uint64, tag = "4")]
    pub version_index: u64,
    #[prost(message, optional, tag = "5")]
    pub image: Option<Image>,
    /// The newest index known to be synced on a quorum of disks; 0 before the first of the term.
    #[prost(uint64, tag = "6")]
    pub committed: u64,
    /// The leader has stepped down and transfers its leadership to the receiver.
    #[prost(bool, tag = "7")]
    pub transfer: bool,
    /// With `transfer`: the leases on groups' primaries that may still be valid.
    #[prost(message, repeated, tag = "9")]
    pub leases: Vec<OutstandingLease>,
    /// In place of `image`: the delta to it from an image that the receiver holds, or will have synced by then.
    #[prost(message, optional, tag = "10")]
    pub delta: Option<ImageDelta>,
    /// The term of the image that `delta` builds on.
    #[prost(uint64, tag = "11")]
    pub base_term: u64,
    /// The index of the image that `delta` builds on.
    #[prost(uint64, tag = "12")]
    pub base_index: u64,
}

/// The acknowledgement of a [`Heartbeat`].
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatAck {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    /// The term of the newest image that the sender's disk has synced.
    #[prost(uint64, tag = "3")]
    pub version_term: u64,
    /// The index of the newest image that the sender's disk has synced.
    #[prost(uint64, tag = "4")]
    pub version_index: u64,
    /// The incarnation of the sender's disk.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// The sender's disk holds no image, or only a recovered one (see [`crate::Hello::rescued`]).
    #[prost(bool, tag = "6")]
    pub has_no_image: bool,
    /// The sender follows the leader in this term and has synced what the heartbeat carried.
    #[prost(bool, tag = "7")]
    pub accepted: bool,
    /// The sender is about to shut down and may be replaced.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
}

//! Messages by which control nodes elect a leader and replicate the image.

use prost::Message;

use crate::{Image, ImageDelta, OutstandingLease};

/// A control node asks for a vote.
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
    /// The leader handed its leadership to the candidate, so promises to that leader don't bind.
    #[prost(bool, tag = "5")]
    pub transfer: bool,
    /// Only asks whether a vote would be granted.
    #[prost(bool, tag = "6")]
    pub pre_vote: bool,
    /// Ties the response to the request.
    #[prost(uint64, tag = "7")]
    pub nonce: u64,
}

/// The answer to a [`VoteRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct VoteResponse {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// The incarnation of the voter's disk.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The voter's disk holds no image.
    #[prost(bool, tag = "4")]
    pub empty: bool,
    #[prost(uint64, tag = "5")]
    pub nonce: u64,
}

/// The leader's heartbeat. One that brings the image, or a change of it, goes beside those that bring nothing.
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
    /// The newest index known to lie on a quorum of disks; 0 before the first of the term.
    #[prost(uint64, tag = "6")]
    pub committed: u64,
    /// The leader stepped down and hands its leadership to the receiver.
    #[prost(bool, tag = "7")]
    pub transfer: bool,
    /// With `transfer`: the leases on groups' primaries that may still stand.
    #[prost(message, repeated, tag = "9")]
    pub leases: Vec<OutstandingLease>,
    /// In place of `image`: what leads to it from an image that the receiver holds, or will have synced by then.
    #[prost(message, optional, tag = "10")]
    pub delta: Option<ImageDelta>,
    /// The term of the image that `delta` builds on.
    #[prost(uint64, tag = "11")]
    pub base_term: u64,
    /// The index of the image that `delta` builds on.
    #[prost(uint64, tag = "12")]
    pub base_index: u64,
}

/// The answer to a [`Heartbeat`].
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatAck {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
    /// The term of the newest image that the answering disk has synced.
    #[prost(uint64, tag = "3")]
    pub version_term: u64,
    /// The index of the newest image that the answering disk has synced.
    #[prost(uint64, tag = "4")]
    pub version_index: u64,
    /// The incarnation of the answering disk.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// The answering disk holds no image.
    #[prost(bool, tag = "6")]
    pub empty: bool,
    /// The receiver follows the sender in this term and has synced what the heartbeat brought.
    #[prost(bool, tag = "7")]
    pub accepted: bool,
    /// The receiver is about to end and may be replaced.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
}

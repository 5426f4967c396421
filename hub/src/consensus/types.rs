//! Inputs, outputs and parameters of the consensus core.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use base::Bounds;
use wire::{Body, Heartbeat, HeartbeatAck, Image, OutstandingLease, VoteRequest, VoteResponse};

/// Name, location and seeds of a control node.
#[derive(Clone, Debug)]
pub struct Identity {
    pub name: String,
    pub zone: String,
    /// The address where other control nodes connect to it.
    pub address: SocketAddr,
    /// Addresses of the control nodes named in the settings; they form the first image.
    pub seeds: Vec<SocketAddr>,
}

/// The durations that elections and leases depend on.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between the leader's heartbeats.
    pub heartbeat: Duration,
    /// How long a node grants no vote after it acknowledged a heartbeat.
    pub hold: Duration,
    /// How long a leader may act after sending a heartbeat that a quorum acknowledged; shorter than `hold`.
    pub lease: Duration,
    /// An image that was not acknowledged is sent again after this time.
    pub image_resend_after: Duration,
    /// A leader steps down if no quorum has acknowledged a heartbeat for this time.
    pub quorum_timeout: Duration,
    /// A member that has acknowledged no heartbeat for this time is replaced by another control node.
    pub replace_after: Duration,
}

impl Timing {
    /// Derives the durations from the bounds in the settings.
    pub fn from_bounds(bounds: &Bounds) -> Self {
        Self {
            heartbeat: bounds.control_heartbeat(),
            hold: bounds.leader_hold(),
            lease: bounds.leader_lease(),
            image_resend_after: bounds.leader_hold() * 2,
            quorum_timeout: bounds.leader_hold() * 3 / 2,
            replace_after: bounds.server_gone_after(),
        }
    }
}

/// Safety checks that tests disable to verify that they are needed; `true` disables one. The programs disable none.
#[derive(Clone, Copy, Debug, Default)]
pub struct DisabledConsensusGuards {
    /// Count a member in quorums even if its disk was replaced.
    pub any_incarnation: bool,
    /// Keep leading without acknowledgements of a quorum.
    pub no_lease: bool,
    /// Communicate with processes that use different bounds.
    pub any_bounds: bool,
    /// Return results before the image that they depend on is committed and leadership is confirmed.
    pub early_result: bool,
    /// Change the membership in one step, without a majority of the outgoing members.
    pub no_joint: bool,
    /// Let a node without an image form the first image at any start.
    pub form_again: bool,
    /// Vote for a candidate whose image is older than this node's.
    pub vote_for_older: bool,
}

/// The time of a step, and a random number for it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Monotonic time.
    pub now: Duration,
    pub random: u64,
}

/// What another control node reported about itself when a link to it opened.
#[derive(Clone, Debug, Default)]
pub struct PeerHello {
    pub name: String,
    pub zone: String,
    pub address: String,
    pub incarnation: u64,
    /// Its disk holds no valid image.
    pub has_no_image: bool,
    /// It may form a new system from an image that an operator rescued.
    pub rescued: bool,
    /// It accepts image deltas in place of whole images.
    pub accepts_deltas: bool,
    /// It may form the first image: its disk was first used at the first start of the whole system.
    pub may_form: bool,
}

/// A message between control nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    VoteRequest(VoteRequest),
    VoteResponse(VoteResponse),
    Heartbeat(Box<Heartbeat>),
    HeartbeatAck(HeartbeatAck),
}

impl Message {
    /// Extracts a message from the body of a frame; `None` if it is not part of the consensus.
    pub fn from_body(body: Body) -> Option<Self> {
        match body {
            Body::VoteRequest(m) => Some(Self::VoteRequest(m)),
            Body::VoteResponse(m) => Some(Self::VoteResponse(m)),
            Body::Heartbeat(m) => Some(Self::Heartbeat(m)),
            Body::HeartbeatAck(m) => Some(Self::HeartbeatAck(m)),
            _ => None,
        }
    }

    /// Converts the message to the body of a frame.
    pub fn into_body(self) -> Body {
        match self {
            Self::VoteRequest(m) => Body::VoteRequest(m),
            Self::VoteResponse(m) => Body::VoteResponse(m),
            Self::Heartbeat(m) => Body::Heartbeat(m),
            Self::HeartbeatAck(m) => Body::HeartbeatAck(m),
        }
    }
}

/// Identifies a request that waits for its outcome.
pub type RequestId = u64;

/// Computes the next image from the newest one; `None` if nothing has to change.
pub type Change = Box<dyn FnOnce(&Image) -> Option<Image>>;

/// An event for the core.
pub enum Input {
    /// The outgoing link to another control node opened.
    Connected(PeerHello),
    /// The outgoing link to the control node with this name closed.
    Disconnected(String),
    /// A message arrived from the control node `from`.
    Message { from: String, message: Message },
    /// Proposes a change of the image.
    Propose { request_id: RequestId, change: Change },
    /// Reads the newest committed image, confirmed by a quorum after this input.
    Read { request_id: RequestId },
    /// Time has passed. Arrives once per heartbeat interval while leading, more often otherwise.
    Tick,
    /// The process is about to end.
    Leave,
}

/// The outcome of a proposal or a read.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The change is on a quorum of disks.
    Committed(Rc<Image>),
    /// Nothing was changed; the image that the request was based on is on a quorum of disks, and this node still led
    /// after the call.
    Confirmed(Rc<Image>),
    /// The change may still be committed or may be lost.
    Unknown,
    /// This node is not the leader with a valid lease; nothing was changed.
    Unavailable,
    /// The disk is full; nothing was changed.
    DiskFull,
}

/// An action for the caller of the core, to be executed once all states of the step are synced.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message over the outgoing links to these control nodes.
    Send { to: Vec<String>, message: Message },
    /// Reply to the message that was the input of this step.
    Reply(Message),
    /// Return the outcome of a request.
    Resolve { request_id: RequestId, outcome: Outcome },
    /// Leadership, the committed image or the contact to a quorum may have changed: notify those that watch them.
    Changed,
    /// Write a line to the log.
    Log(String),
}

/// The outstanding leases on groups' primaries that a leader reported to its successor.
#[derive(Clone, Debug)]
pub struct InheritedLeases {
    /// The term of the leader that reported them.
    pub term: u64,
    /// When the report arrived.
    pub received_at: Duration,
    pub leases: Vec<OutstandingLease>,
}

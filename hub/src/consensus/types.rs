//! What goes into the consensus core and what comes out of it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use base::Bounds;
use wire::{Body, Heartbeat, HeartbeatAck, Image, OutstandingLease, VoteRequest, VoteResponse};

/// Who a control node is to the others.
#[derive(Clone, Debug)]
pub struct Identity {
    pub name: String,
    pub zone: String,
    /// Where other control nodes dial it.
    pub address: SocketAddr,
    /// The control nodes named in the settings; they form the first image.
    pub seeds: Vec<SocketAddr>,
}

/// The spans that elections and leases rest on.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How often the leader is heard.
    pub heartbeat: Duration,
    /// For how long a node that acknowledged a heartbeat votes for nobody else.
    pub hold: Duration,
    /// For how long a leader may act on an acknowledged heartbeat, from when it was sent; shorter than `hold`.
    pub lease: Duration,
    /// How long an image may be under way to another control node before it is sent again.
    pub image_patience: Duration,
    /// How long a leader goes on asking for a quorum before it steps down.
    pub quorum_patience: Duration,
    /// How long a member may be unheard before another control node takes its place.
    pub replace_after: Duration,
}

impl Timing {
    /// The spans that follow from the bounds in the settings.
    pub fn from_bounds(bounds: &Bounds) -> Self {
        Self {
            heartbeat: bounds.control_heartbeat(),
            hold: bounds.leader_hold(),
            lease: bounds.leader_lease(),
            image_patience: bounds.leader_hold() * 2,
            quorum_patience: bounds.leader_hold() * 3 / 2,
            replace_after: bounds.server_gone_after(),
        }
    }
}

/// Guards that tests switch off to see that they are needed; the programs leave all in place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Guards {
    /// Count a member whatever became of its disk.
    pub any_incarnation: bool,
    /// Lead on without hearing a quorum.
    pub no_lease: bool,
    /// Deal with processes that count by other bounds.
    pub any_bounds: bool,
    /// Tell verdicts before the state that they rest on is committed and leadership is confirmed.
    pub early_verdict: bool,
    /// Change the membership in one step, without a majority of the members before.
    pub no_joint: bool,
    /// Let a node that has no older data form the first image at any start.
    pub form_again: bool,
    /// Vote for a candidate whose image is older.
    pub vote_for_older: bool,
}

/// The moment of a step, and a random number for it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Monotonic time.
    pub now: Duration,
    pub random: u64,
}

/// What another control node says of itself when a link to it opens.
#[derive(Clone, Debug, Default)]
pub struct PeerHello {
    pub name: String,
    pub zone: String,
    pub address: String,
    pub incarnation: u64,
    /// Its disk holds no image that counts.
    pub empty: bool,
    /// It may form anew from an image that an operator took.
    pub rescued: bool,
    /// It takes changes of the image in place of whole ones.
    pub takes_deltas: bool,
    /// Its disk was first used at the first start of the whole system.
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
    /// Reads the body of a frame; `None` for one that is not part of the consensus.
    pub fn from_body(body: Body) -> Option<Self> {
        match body {
            Body::VoteRequest(m) => Some(Self::VoteRequest(m)),
            Body::VoteResponse(m) => Some(Self::VoteResponse(m)),
            Body::Heartbeat(m) => Some(Self::Heartbeat(m)),
            Body::HeartbeatAck(m) => Some(Self::HeartbeatAck(m)),
            _ => None,
        }
    }

    /// The body of a frame that carries it.
    pub fn into_body(self) -> Body {
        match self {
            Self::VoteRequest(m) => Body::VoteRequest(m),
            Self::VoteResponse(m) => Body::VoteResponse(m),
            Self::Heartbeat(m) => Body::Heartbeat(m),
            Self::HeartbeatAck(m) => Body::HeartbeatAck(m),
        }
    }
}

/// Names a caller that waits for an outcome.
pub type Ticket = u64;

/// Makes the next image of the newest one; `None` when nothing is to change.
pub type Change = Box<dyn FnOnce(&Image) -> Option<Image>>;

/// One thing that happened to a control node.
pub enum Input {
    /// A link to another control node opened.
    Connected(PeerHello),
    /// The link to this control node ended.
    Disconnected(String),
    /// A message came from this control node.
    Message { from: String, message: Message },
    /// A caller proposes a change.
    Propose { ticket: Ticket, change: Change },
    /// A caller asks for the newest committed image, confirmed by a quorum after now.
    Read { ticket: Ticket },
    /// Time went on. It comes at each heartbeat while leading, more often otherwise.
    Tick,
    /// The process is about to end.
    Leave,
}

/// What became of a proposal or a read.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The change lies on a quorum of disks.
    Committed(Rc<Image>),
    /// Nothing was changed; what the caller saw lies on a quorum of disks, and this node led after the call.
    Confirmed(Rc<Image>),
    /// The change may or may not be committed later.
    Unknown,
    /// This node does not lead for sure; nothing was changed.
    Unavailable,
    /// The disk has no room; nothing was changed.
    DiskFull,
}

/// What a step asks for, once everything that it asked to sync is synced.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a message over this node's own link to another.
    Send { to: String, message: Message },
    /// Answers the message that the step took.
    Reply(Message),
    /// Tells a waiting caller.
    Resolve { ticket: Ticket, outcome: Outcome },
    /// Leadership, commitment or contact moved: whoever watches them looks again.
    Changed,
    /// A line for the log.
    Log(String),
}

/// The leases on groups' primaries that a leader left to its successor.
#[derive(Clone, Debug)]
pub struct InheritedLeases {
    /// The term of the leader that left them.
    pub term: u64,
    /// When they were told.
    pub at: Duration,
    pub leases: Vec<OutstandingLease>,
}

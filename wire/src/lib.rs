//! What the project's own processes say to each other, as prost messages over framed links.

mod consensus;
mod image;
mod image_delta;
mod link;
mod message;
pub mod news;
mod pieces;
pub mod relay;

pub use consensus::{Heartbeat, HeartbeatAck, VoteRequest, VoteResponse};
pub use image::{Doorway, Elect, Group, Image, Limits, Log, Member, Membership, Spot, Taken};
pub use image_delta::{DoorwayRun, ImageDelta};
pub use link::{Broken, In, Out, decode, open};
pub use message::*;
pub use news::Snapshot;
pub use prost::Message;

//! What the project's own processes say to each other, as prost messages over framed links.

mod consensus;
mod image;
mod link;
mod message;
pub mod relay;

pub use consensus::{Heartbeat, HeartbeatAck, VoteRequest, VoteResponse};
pub use image::{Doorway, Elect, Group, Image, Limits, Log, Member, Spot, Taken};
pub use link::{Broken, In, Out, decode, open};
pub use message::*;
pub use prost::Message;

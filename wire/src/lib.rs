//! Messages between the project's own processes: prost messages over framed links, and the dissemination tree that
//! carries them between nodes and control nodes.

mod consensus;
mod image;
mod image_delta;
mod link;
mod message;
mod pieces;
pub mod relay;
mod routes;
pub mod snapshot;

pub use consensus::{Heartbeat, HeartbeatAck, VoteRequest, VoteResponse};
pub use image::{
    Departure, Election, Group, GroupMembership, Image, LegacyOrder, Limits, Member, Route, ServerAddress, ServerLog,
};
pub use image_delta::{ImageDelta, RouteRun};
pub use link::{EncodedFrame, LinkError, LinkReader, LinkWriter, decode, open};
pub use message::*;
pub use prost::Message;
pub use routes::Routes;
pub use snapshot::Snapshot;

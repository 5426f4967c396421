//! What the project's own processes say to each other, as prost messages over framed links.

mod image;
mod link;
mod message;
pub mod relay;

pub use image::{Doorway, Elect, Group, Home, Image, Limits, Log, Membership, Spot, Taken};
pub use link::{Broken, In, Out, decode, open};
pub use message::*;
pub use prost::Message;

//! Decoding of frames from a link: complete, incomplete or corrupt.

use bolero::check;
use wire::{Body, Frame, LinkError, Message, NodeHeartbeat, decode};

fn frame(name: &str) -> Vec<u8> {
    let frame = Frame {
        body: Some(Body::NodeHeartbeat(NodeHeartbeat { name: name.into(), nonce: 7, ..NodeHeartbeat::default() })),
    };
    let data = frame.encode_to_vec();
    let mut out = (data.len() as u32).to_le_bytes().to_vec();
    out.extend_from_slice(&crc32fast::hash(&data).to_le_bytes());
    out.extend_from_slice(&data);
    out
}

#[test]
fn a_frame_is_read_once_it_is_whole() {
    let whole = frame("n1");
    for cut in 0..whole.len() {
        assert!(decode(&whole[..cut]).unwrap().is_none(), "{cut} bytes");
    }
    let (body, size) = decode(&whole).unwrap().unwrap();
    assert_eq!(size, whole.len());
    assert!(matches!(body, Body::NodeHeartbeat(heartbeat) if heartbeat.name == "n1"));
}

#[test]
fn any_flipped_bit_of_the_content_is_noticed() {
    let whole = frame("n1");
    for at in 4..whole.len() {
        for bit in 0..8 {
            let mut corrupt = whole.clone();
            corrupt[at] ^= 1 << bit;
            assert!(matches!(decode(&corrupt), Err(LinkError::Corrupt)), "byte {at} bit {bit}");
        }
    }
}

#[test]
fn any_bytes_are_refused_or_wait_for_more() {
    check!().with_iterations(50_000).for_each(|data: &[u8]| {
        if let Ok(Some((_, size))) = decode(data) {
            assert!(size <= data.len());
        }
    });
}

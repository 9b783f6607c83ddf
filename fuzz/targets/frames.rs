//! Frames of nodes and of the node list: what decodes must encode to the same again.
#![no_main]

use bytes::Bytes;
use libfuzzer_sys::fuzz_target;
use tackmast_wire::{list, node};

fuzz_target!(|input: &[u8]| {
    let Some((first, rest)) = input.split_first() else { return };
    let body = Bytes::copy_from_slice(rest);
    match first & 1 {
        0 => {
            if let Ok(frame) = node::Frame::decode(body) {
                assert_eq!(node::Frame::decode(frame.to_bytes().slice(4..)).as_ref(), Ok(&frame));
            }
        }
        _ => {
            if let Ok(frame) = list::Frame::decode(body) {
                assert_eq!(list::Frame::decode(frame.to_bytes().slice(4..)).as_ref(), Ok(&frame));
            }
        }
    }
});

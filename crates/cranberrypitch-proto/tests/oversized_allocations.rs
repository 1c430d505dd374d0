//! Guards against short messages that make a decoder allocate the length that they declare. The test
//! has a file of its own, as it counts the allocations of the whole process.

use std::alloc::System;

use cranberrypitch_proto::control::{Handshake, Message};
use cranberrypitch_proto::report::{Report, ReportAck};
use cranberrypitch_proto::request::{AgentFrame, CallerFrame, decode_frame};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The bytes that a decoder may allocate for each byte of a message.
const ALLOWED_PER_BYTE: usize = 64;

/// The bytes that a decoder may allocate in addition for any message.
const ALLOWED_BASE_BYTES: usize = 8192;

/// The additional information of an item's head whose argument follows in eight bytes.
const EIGHT_BYTE_ARGUMENT: u8 = 0x1b;

/// A function that returns whether a message decodes.
type Decoder = fn(&[u8]) -> bool;

/// The length to which messages are padded with bytes that are no valid list items.
const PADDED_LEN_BYTES: usize = 1000;

/// Returns messages whose last item declares `len` bytes or items but has none.
fn messages(len: u64) -> Vec<Vec<u8>> {
    let mut declared_items = Vec::new();
    for major in 2..=5_u8 {
        let mut item = vec![(major << 5) | EIGHT_BYTE_ARGUMENT];
        item.extend_from_slice(&len.to_be_bytes());
        declared_items.push(item);
    }
    // The encoded fields before the declared item, as the encoders write them.
    let prefixes: [&[u8]; 8] = [
        b"",
        b"\xa1\x61h\xa2\x61p",
        b"\xa1\x61h\xa2\x61b",
        b"\xa1\x61a\xa4\x61v",
        b"\xa1\x65hello\xa3\x6bgenerations",
        b"\xa1\x66answer\xa2\x62id\x01\x66answer\xa1\x69balancers",
        b"\xa1\x67reading\xa2\x67payload",
        b"\xa1\x67request\xa7\x66tenant",
    ];
    let join = |prefix: &[u8]| {
        declared_items
            .iter()
            .map(|item| [prefix, item].concat())
            .collect::<Vec<_>>()
    };
    prefixes.into_iter().flat_map(join).collect()
}

/// Guards against list capacity that is reserved from the declared length alone.
#[test]
fn declared_lengths_do_not_drive_allocations() {
    let decoders: [(&str, Decoder); 6] = [
        ("control message", |b| Message::decode(b).is_ok()),
        ("handshake", |b| Handshake::decode(b).is_ok()),
        ("report", |b| Report::decode(b).is_ok()),
        ("report acknowledgement", |b| ReportAck::decode(b).is_ok()),
        ("caller frame", |b| decode_frame::<CallerFrame>(b).is_ok()),
        ("agent frame", |b| decode_frame::<AgentFrame>(b).is_ok()),
    ];
    let mut violations = Vec::new();
    for len in [400, 900, 0xffff, 0xffff_ffff, 1 << 40, u64::MAX] {
        let padded = messages(len).into_iter().map(|mut message| {
            message.resize(PADDED_LEN_BYTES, 0);
            message
        });
        for message in messages(len).into_iter().chain(padded) {
            for (name, decode) in decoders {
                let region = Region::new(ALLOCATOR);
                assert!(!decode(&message), "{name} decoded from {message:x?}");
                let allocated = region.change().bytes_allocated;
                if allocated > ALLOWED_BASE_BYTES + ALLOWED_PER_BYTE * message.len() {
                    violations.push(format!(
                        "{name}: {allocated} bytes for {:x?}",
                        &message[..message.len().min(30)]
                    ));
                }
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

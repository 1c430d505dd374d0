//! Guards against a short message that takes much memory by the lengths it declares. The only test
//! of its file, as it counts the allocations of the whole process.

use std::alloc::System;

use cranberrypitch_proto::control::{Handshake, Message};
use cranberrypitch_proto::report::{Report, ReportAck};
use cranberrypitch_proto::request::{AgentFrame, CallerFrame, decode_frame};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The allocated bytes that a decoder may take for each byte of a message, and for any message.
const ALLOWED_PER_BYTE: usize = 64;
const ALLOWED_BASE_BYTES: usize = 8192;

/// The low bits of an item's head when its length follows in eight bytes.
const EIGHT_BYTE_LENGTH: u8 = 0x1b;

/// Returns whether a message decodes.
type Decoder = fn(&[u8]) -> bool;

/// The length to which messages are filled with bytes that are no valid items of their lists.
const FILLED_LEN_BYTES: usize = 1000;

/// Returns messages whose last item declares `len` bytes or items that don't follow.
fn messages(len: u64) -> Vec<Vec<u8>> {
    let mut declared = Vec::new();
    for major in 2..=5_u8 {
        let mut item = vec![(major << 5) | EIGHT_BYTE_LENGTH];
        item.extend_from_slice(&len.to_be_bytes());
        declared.push(item);
    }
    // CBOR heads of the fields before the declared item, as the codecs write them.
    let heads: [&[u8]; 8] = [
        b"",
        b"\xa1\x61h\xa2\x61p",
        b"\xa1\x61h\xa2\x61b",
        b"\xa1\x61a\xa4\x61v",
        b"\xa1\x65hello\xa3\x6bgenerations",
        b"\xa1\x66answer\xa2\x62id\x01\x66answer\xa1\x69balancers",
        b"\xa1\x67reading\xa2\x67payload",
        b"\xa1\x67request\xa7\x66tenant",
    ];
    let join = |head: &[u8]| {
        declared
            .iter()
            .map(|item| [head, item].concat())
            .collect::<Vec<_>>()
    };
    heads.into_iter().flat_map(join).collect()
}

/// Guards against list capacity that is reserved from a declared length alone.
#[test]
fn declared_lengths_allocate_little() {
    let decoders: [(&str, Decoder); 6] = [
        ("control message", |b| Message::decode(b).is_ok()),
        ("handshake", |b| Handshake::decode(b).is_ok()),
        ("report", |b| Report::decode(b).is_ok()),
        ("report answer", |b| ReportAck::decode(b).is_ok()),
        ("caller frame", |b| decode_frame::<CallerFrame>(b).is_ok()),
        ("agent frame", |b| decode_frame::<AgentFrame>(b).is_ok()),
    ];
    let mut over = Vec::new();
    for len in [400, 900, 0xffff, 0xffff_ffff, 1 << 40, u64::MAX] {
        let filled = messages(len).into_iter().map(|mut message| {
            message.resize(FILLED_LEN_BYTES, 0);
            message
        });
        for message in messages(len).into_iter().chain(filled) {
            for (name, decode) in decoders {
                let region = Region::new(ALLOCATOR);
                assert!(!decode(&message), "{name} took {message:x?}");
                let allocated = region.change().bytes_allocated;
                if allocated > ALLOWED_BASE_BYTES + ALLOWED_PER_BYTE * message.len() {
                    over.push(format!(
                        "{name}: {allocated} bytes for {:x?}",
                        &message[..message.len().min(30)]
                    ));
                }
            }
        }
    }
    assert!(over.is_empty(), "{}", over.join("\n"));
}

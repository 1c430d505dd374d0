//! Uploads.

use std::io;

use bytes::Bytes;
use cranberrypitch_agent::backend::{
    BackendResponse, BackendServer, BodySource, FailureCause, HttpBackend, Result,
};
use cranberrypitch_core::ByteSize;
use cranberrypitch_standins::backend::RunOutcome;

use crate::{Report, info, report, runs, spawn, until_settled};

const FILE: &[u8] = &[7; 300_000];

/// Gives a file in parts, and fails in place of the last part when it is to break off.
struct Parts {
    rest: &'static [u8],
    breaks_off: bool,
}

impl BodySource for Parts {
    async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        const PART_BYTES: usize = 64 * 1024;
        if self.rest.is_empty() {
            return Ok(None);
        }
        let (part, rest) = self.rest.split_at(PART_BYTES.min(self.rest.len()));
        if rest.is_empty() && self.breaks_off {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.rest = rest;
        Ok(Some(Bytes::from_static(part)))
    }
}

fn whole_file() -> Parts {
    Parts {
        rest: FILE,
        breaks_off: false,
    }
}

fn file_len() -> ByteSize {
    ByteSize::new(FILE.len() as u64)
}

pub(crate) async fn upload(backend: &HttpBackend, id: u128) -> Result<BackendResponse> {
    backend.upload(&info(id), file_len(), whole_file()).await
}

/// Guards against uploads that break off on the caller's side and count as run or not sent.
#[tokio::test]
async fn uploads_that_break_off_are_unknown() {
    let (server, backend) = spawn(|options| options).await;
    let broken = Parts {
        rest: FILE,
        breaks_off: true,
    };
    let too_long = ByteSize::new(file_len().get() + 1);
    let results = [
        backend.upload(&info(1), file_len(), broken).await,
        backend.upload(&info(2), too_long, whole_file()).await,
    ];
    let kinds = [io::ErrorKind::ConnectionReset, io::ErrorKind::UnexpectedEof];
    for (result, kind) in results.into_iter().zip(kinds) {
        let cause = FailureCause::BodySource { kind };
        assert_eq!(report(result), Report::Unknown(cause));
    }
    until_settled(&server).await;
    assert_eq!(runs(&server, 1), [RunOutcome::Interrupted]);
    assert_eq!(runs(&server, 2), [RunOutcome::Interrupted]);
}

/// Guards against a refusal that is lost because the file was still being sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refusals_of_large_uploads_are_heard() {
    static LARGE: [u8; 16 << 20] = [7; 16 << 20];
    let (server, backend) = spawn(|options| options).await;
    server.drain();
    for id in 0..50 {
        let file = Parts {
            rest: &LARGE,
            breaks_off: false,
        };
        let len = ByteSize::new(LARGE.len() as u64);
        let result = backend.upload(&info(id), len, file).await;
        assert_eq!(report(result), Report::NotSent, "upload {id}");
    }
}

/// Guards against answers to uploads that don't state what arrived.
#[tokio::test]
async fn uploads_are_answered_with_length_and_hash() {
    let (_server, backend) = spawn(|options| options).await;
    let answer = upload(&backend, 1).await.expect("upload");
    let content: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    assert_eq!(content["len_bytes"], FILE.len());
    let hash = ring::digest::digest(&ring::digest::SHA256, FILE);
    let sent = content["sha256"].as_str().expect("hash");
    let sent = (0..sent.len()).step_by(2).map(|at| &sent[at..at + 2]);
    let sent: Vec<_> = sent.map(|hex| u8::from_str_radix(hex, 16)).collect();
    assert_eq!(
        sent,
        hash.as_ref().iter().copied().map(Ok).collect::<Vec<_>>()
    );
}

//! Uploads that succeed, are interrupted or are refused.

use std::io;

use bytes::Bytes;
use cranberrypitch_agent::backend::{
    BackendResponse, BackendServer, BodySource, FailureCause, HttpBackend, Result,
};
use cranberrypitch_core::ByteSize;
use cranberrypitch_standins::backend::RunOutcome;

use crate::{Outcome, info, outcome, runs, spawn, wait_until_runs_ended};

const FILE: &[u8] = &[7; 300_000];

/// A file in chunks. It fails instead of the last chunk if `fails_at_end` is set.
struct FileSource {
    remaining: &'static [u8],
    fails_at_end: bool,
}

impl BodySource for FileSource {
    async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        const CHUNK_BYTES: usize = 64 * 1024;
        if self.remaining.is_empty() {
            return Ok(None);
        }
        let (chunk, remaining) = self
            .remaining
            .split_at(CHUNK_BYTES.min(self.remaining.len()));
        if remaining.is_empty() && self.fails_at_end {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.remaining = remaining;
        Ok(Some(Bytes::from_static(chunk)))
    }
}

fn complete_file() -> FileSource {
    FileSource {
        remaining: FILE,
        fails_at_end: false,
    }
}

fn file_len() -> ByteSize {
    ByteSize::new(FILE.len() as u64)
}

pub(crate) async fn upload(backend: &HttpBackend, id: u128) -> Result<BackendResponse> {
    backend.upload(&info(id), file_len(), complete_file()).await
}

/// Guards against uploads that the caller interrupts and that are reported as done or not run.
#[tokio::test]
async fn interrupted_uploads_have_an_unknown_outcome() {
    let (server, backend) = spawn(|options| options).await;
    let interrupted = FileSource {
        remaining: FILE,
        fails_at_end: true,
    };
    let too_long = ByteSize::new(file_len().get() + 1);
    let results = [
        backend.upload(&info(1), file_len(), interrupted).await,
        backend.upload(&info(2), too_long, complete_file()).await,
    ];
    let kinds = [io::ErrorKind::ConnectionReset, io::ErrorKind::UnexpectedEof];
    for (result, kind) in results.into_iter().zip(kinds) {
        let cause = FailureCause::BodySource { kind };
        assert_eq!(outcome(result), Outcome::Unknown(cause));
    }
    wait_until_runs_ended(&server).await;
    assert_eq!(runs(&server, 1), [RunOutcome::Interrupted]);
    assert_eq!(runs(&server, 2), [RunOutcome::Interrupted]);
}

/// Guards against a refusal that is lost because it arrives while the file is still being sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refusals_of_large_uploads_are_received() {
    static LARGE: [u8; 16 << 20] = [7; 16 << 20];
    let (server, backend) = spawn(|options| options).await;
    server.drain();
    for id in 0..50 {
        let file = FileSource {
            remaining: &LARGE,
            fails_at_end: false,
        };
        let len = ByteSize::new(LARGE.len() as u64);
        let result = backend.upload(&info(id), len, file).await;
        assert_eq!(outcome(result), Outcome::NotRun, "upload {id}");
    }
}

/// Guards against responses to uploads with a wrong length or hash.
#[tokio::test]
async fn upload_responses_have_length_and_hash() {
    let (_server, backend) = spawn(|options| options).await;
    let response = upload(&backend, 1).await.expect("upload");
    let content: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
    assert_eq!(content["len_bytes"], FILE.len());
    let hash = ring::digest::digest(&ring::digest::SHA256, FILE);
    let hex_digits = content["sha256"].as_str().expect("hash");
    let hex_bytes = (0..hex_digits.len())
        .step_by(2)
        .map(|at| &hex_digits[at..at + 2]);
    let reported: Vec<_> = hex_bytes.map(|hex| u8::from_str_radix(hex, 16)).collect();
    assert_eq!(
        reported,
        hash.as_ref().iter().copied().map(Ok).collect::<Vec<_>>()
    );
}

//! Tests of the program `cranberrypitch`. The store and a small deployment run inside the test
//! process, and each verb runs as the built program.

#[path = "../common/mod.rs"]
mod common;

mod arguments;
mod callers;
mod demo;
mod operators;
mod proxy;

use std::path::{Path, PathBuf};
use std::process::Output;

use tokio::process::Command;

/// The exit code and output of one run of the program.
#[derive(Debug)]
struct Run {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

impl Run {
    /// Asserts the exit code, and prints the output if it differs.
    fn assert_code(&self, expected: i32) {
        assert_eq!(self.code, Some(expected), "{self:?}");
    }

    /// Parses stdout as JSON.
    fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }
}

impl From<Output> for Run {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code(),
            stdout: String::from_utf8(output.stdout).expect("text on stdout"),
            stderr: String::from_utf8(output.stderr).expect("text on stderr"),
        }
    }
}

/// Runs the program, which is killed if the test ends first.
async fn run(arguments: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cranberrypitch"));
    command.args(arguments).kill_on_drop(true);
    command.output().await.expect("the program runs").into()
}

/// Writes a file. The name must not be used by another test.
fn file(name: &str, content: impl AsRef<[u8]>) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, content).expect("the file can be written");
    file
}

fn text_of(path: &Path) -> &str {
    path.to_str().expect("a path that is text")
}

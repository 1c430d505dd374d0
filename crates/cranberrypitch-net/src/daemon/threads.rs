//! Traffic threads.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use tokio::sync::mpsc;

use crate::errors::{Error, Result};
use crate::events::Event;

/// Tells a traffic thread to end. A thread looks at it at least every few hundred milliseconds.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Returns whether the thread is to end.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Asks the threads to end.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// The traffic threads of a process. Dropping them asks them to end.
#[derive(Debug)]
pub struct TrafficThreads {
    stop: StopFlag,
    threads: Vec<JoinHandle<()>>,
    failures: mpsc::UnboundedSender<Error>,
    failed: mpsc::UnboundedReceiver<Error>,
}

impl TrafficThreads {
    /// Returns no threads yet.
    pub fn new() -> Self {
        let (failures, failed) = mpsc::unbounded_channel();
        Self {
            stop: StopFlag::default(),
            threads: Vec::new(),
            failures,
            failed,
        }
    }

    /// Starts a thread. Its end before the stop is a failure, whatever it returns.
    pub fn spawn<E: std::error::Error>(
        &mut self,
        name: &str,
        body: impl FnOnce(&StopFlag) -> std::result::Result<(), E> + Send + 'static,
    ) -> Result<()> {
        let stop = self.stop.clone();
        let failures = self.failures.clone();
        let thread_name: Box<str> = name.into();
        let run = move || {
            let result = catch_unwind(AssertUnwindSafe(|| body(&stop)));
            if let Some(detail) = failure(result, &stop) {
                // Without a receiver, the process is about to end anyway.
                drop(failures.send(failed(thread_name, detail)));
            }
        };
        let spawned = std::thread::Builder::new().name(name.to_owned()).spawn(run);
        self.threads
            .push(spawned.map_err(|e| Error::thread(name, &e))?);
        Ok(())
    }

    /// Waits for the failure of a thread, which is to end the process. Nothing is lost when the
    /// future is dropped.
    pub async fn wait_for_failure(&mut self) -> Error {
        let failure = self.failed.recv().await;
        failure.unwrap_or_else(|| Error::thread("traffic", &"no thread is left"))
    }

    /// Asks all threads to end and waits for them. Reports a failure that came first.
    pub fn stop(mut self) -> Result<()> {
        self.stop.set();
        for thread in self.threads.drain(..) {
            // A panic has been caught and is reported as a failure.
            drop(thread.join());
        }
        self.failed.try_recv().map_or(Ok(()), Err)
    }
}

impl Default for TrafficThreads {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for TrafficThreads {
    fn drop(&mut self) {
        self.stop.set();
    }
}

fn failure<E: std::error::Error>(
    result: std::thread::Result<std::result::Result<(), E>>,
    stop: &StopFlag,
) -> Option<Box<str>> {
    match result {
        Ok(Ok(())) if stop.is_set() => None,
        Ok(Ok(())) => Some("ended by itself".into()),
        Ok(Err(error)) => Some(error.to_string().into()),
        Err(panic) => Some(panic_text(panic.as_ref())),
    }
}

/// Logs the unexpected end of a thread that has ended, and returns it as an error.
pub fn log_thread_exit(thread: JoinHandle<()>) -> Error {
    let name = thread.thread().name().unwrap_or("unnamed").into();
    let detail = match thread.join() {
        Ok(()) => "ended by itself".into(),
        Err(panic) => panic_text(panic.as_ref()),
    };
    failed(name, detail)
}

fn panic_text(panic: &(dyn Any + Send)) -> Box<str> {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    format!("panic: {}", text.unwrap_or("no text")).into()
}

fn failed(thread: Box<str>, error: Box<str>) -> Error {
    let failure = Error::thread(&thread, &error);
    Event::ThreadFailed { thread, error }.log();
    failure
}

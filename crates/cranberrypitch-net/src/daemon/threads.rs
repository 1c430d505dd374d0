//! Traffic threads.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use tokio::sync::mpsc;

use crate::errors::{Error, Result};
use crate::events::Event;

/// A flag that requests the traffic threads to stop. Each thread checks it at least every few
/// hundred milliseconds.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Returns whether a stop is requested.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Requests all threads that share the flag to stop.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// The traffic threads of a process. Dropping the value requests them to stop, without waiting.
#[derive(Debug)]
pub struct TrafficThreads {
    stop: StopFlag,
    threads: Vec<JoinHandle<()>>,
    failure_sender: mpsc::UnboundedSender<Error>,
    failure_receiver: mpsc::UnboundedReceiver<Error>,
}

impl TrafficThreads {
    /// Returns an empty set of threads.
    pub fn new() -> Self {
        let (failure_sender, failure_receiver) = mpsc::unbounded_channel();
        Self {
            stop: StopFlag::default(),
            threads: Vec::new(),
            failure_sender,
            failure_receiver,
        }
    }

    /// Starts a thread. A thread that ends before a stop is requested counts as failed, whatever it
    /// returns.
    pub fn spawn<E: std::error::Error>(
        &mut self,
        name: &str,
        body: impl FnOnce(&StopFlag) -> std::result::Result<(), E> + Send + 'static,
    ) -> Result<()> {
        let stop = self.stop.clone();
        let failure_sender = self.failure_sender.clone();
        let thread_name: Box<str> = name.into();
        let run = move || {
            let result = catch_unwind(AssertUnwindSafe(|| body(&stop)));
            if let Some(detail) = failure_detail(result, &stop) {
                // Without a receiver, the process is shutting down anyway.
                drop(failure_sender.send(log_thread_failure(thread_name, detail)));
            }
        };
        let spawned = std::thread::Builder::new().name(name.to_owned()).spawn(run);
        self.threads
            .push(spawned.map_err(|e| Error::thread(name, &e))?);
        Ok(())
    }

    /// Waits until a thread fails, after which the process must end. Cancel-safe: no failure is
    /// lost when the future is dropped.
    pub async fn wait_for_failure(&mut self) -> Error {
        let failure = self.failure_receiver.recv().await;
        failure.unwrap_or_else(|| Error::thread("traffic", &"all threads have ended"))
    }

    /// Requests all threads to stop and joins them. Returns the error of a thread that failed before
    /// the stop.
    pub fn stop(mut self) -> Result<()> {
        self.stop.set();
        for thread in self.threads.drain(..) {
            // A panic is caught in the thread itself and reported as a failure.
            drop(thread.join());
        }
        self.failure_receiver.try_recv().map_or(Ok(()), Err)
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

fn failure_detail<E: std::error::Error>(
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

/// Joins a thread that has ended unexpectedly, logs it, and returns it as an error.
pub fn log_thread_exit(thread: JoinHandle<()>) -> Error {
    let name = thread.thread().name().unwrap_or("unnamed").into();
    let detail = match thread.join() {
        Ok(()) => "ended by itself".into(),
        Err(panic) => panic_text(panic.as_ref()),
    };
    log_thread_failure(name, detail)
}

fn panic_text(panic: &(dyn Any + Send)) -> Box<str> {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    format!("panic: {}", text.unwrap_or("no text")).into()
}

fn log_thread_failure(thread: Box<str>, error: Box<str>) -> Error {
    let failure = Error::thread(&thread, &error);
    Event::ThreadFailed { thread, error }.log();
    failure
}

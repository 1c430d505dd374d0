//! Simulations of the policies of the core, and capacity measurements of the real components.
//!
//! Each verb of the `measure` command has one module and an entry in [`VERBS`].

pub mod admission;
pub mod capacity;
pub mod config;
pub(crate) mod discrete_event;
pub mod dissemination;
pub mod drain;
pub mod errors;
pub mod forward;
pub mod placement;
pub mod process;
pub mod retry;
pub mod selection;
pub mod upload;
mod verbs;

use pico_args::Arguments;

pub use crate::errors::{Error, Result};

/// A verb of the `measure` command.
#[derive(Clone, Copy, Debug)]
pub struct Verb {
    /// The name of the verb on the command line.
    pub name: &'static str,
    /// A one-line description of what the verb measures.
    pub summary: &'static str,
    /// Parses the verb's options, removes them from the arguments and returns the text to print.
    pub run: fn(&mut Arguments) -> Result<String>,
}

/// All verbs of the `measure` command.
pub const VERBS: [Verb; 10] = [
    Verb {
        name: "placement",
        summary: "waits and imbalance of each placement policy",
        run: placement::run,
    },
    Verb {
        name: "admission",
        summary: "goodput and fairness under overload, and cold starts",
        run: verbs::admission,
    },
    Verb {
        name: "retry",
        summary: "load added by retries, with and without a budget",
        run: verbs::retry,
    },
    Verb {
        name: "selection",
        summary: "who waits and where work goes on the relayed path, against simple policies",
        run: verbs::selection,
    },
    Verb {
        name: "drain",
        summary: "work that a leaving target still gets, and what is cut",
        run: verbs::drain,
    },
    Verb {
        name: "config",
        summary: "bytes and time of a change, and its spread to all processes",
        run: verbs::config,
    },
    Verb {
        name: "dissemination",
        summary: "calls to the store and time until all balancers have a change, by size of the fleet",
        run: verbs::dissemination,
    },
    Verb {
        name: "forward",
        summary: "packets per second of a balancer against a bare relay, and growth with flows",
        run: forward::run,
    },
    Verb {
        name: "capacity",
        summary: "bytes, processor time and memory against the size of the fleet",
        run: capacity::run,
    },
    Verb {
        name: "upload",
        summary: "seconds and packets counted as lost of an upload, per loss threshold",
        run: upload::run,
    },
];

/// Runs the verb that the arguments name and returns the text to print.
///
/// # Errors
///
/// Returns an error for an unknown verb or option, or if the measurement fails.
pub fn run(mut arguments: Arguments) -> Result<String> {
    let name = arguments.subcommand()?.unwrap_or_default();
    let verb = VERBS.iter().find(|verb| verb.name == name);
    let Some(verb) = verb else {
        return Err(Error::unknown_verb(&name));
    };
    let text = (verb.run)(&mut arguments)?;
    let remaining = arguments.finish();
    match remaining.first() {
        None => Ok(text),
        Some(argument) => Err(Error::unknown_argument(&argument.to_string_lossy())),
    }
}

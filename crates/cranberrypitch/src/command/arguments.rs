//! Arguments that several verbs take.

use pico_args::Arguments;

use super::errors::{Error, Result};

/// Refuses arguments that no option has taken.
pub(super) fn finish(arguments: Arguments) -> Result<()> {
    match arguments.finish().into_iter().next() {
        Some(argument) => Err(Error::UnknownArgument { argument }),
        None => Ok(()),
    }
}

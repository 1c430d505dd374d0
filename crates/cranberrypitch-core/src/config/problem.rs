//! Problems of a configuration text, each with its place and the rule it breaks.

use std::fmt;

use derive_more::{Display, Error};

use crate::ids::{ServiceName, ServiceTag};

/// A rule that a text breaks.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum Violation {
    /// The text is no JSON.
    #[display("no valid JSON: {detail}")]
    Syntax {
        /// What the JSON reader found.
        detail: Box<str>,
    },
    /// The format has no such field.
    #[display("unknown field")]
    UnknownField,
    /// A field that is needed is not there.
    #[display("missing field")]
    MissingField,
    /// A field is given twice.
    #[display("field given twice")]
    RepeatedField,
    /// The value has another JSON type.
    #[display("expected {expected}")]
    WrongType {
        /// The expected type.
        expected: &'static str,
    },
    /// The value is no name or address.
    #[display("{detail}")]
    Malformed {
        /// What is wrong with the value.
        detail: Box<str>,
    },
    /// A limit is zero, so nothing could ever be served.
    #[display("a limit of zero; allowed are {min} to {max}")]
    ZeroLimit {
        /// The least value.
        min: u64,
        /// The greatest value.
        max: u64,
    },
    /// A number is out of its range.
    #[display("{value} is out of range; allowed are {min} to {max}")]
    OutOfRange {
        /// The value found.
        value: u64,
        /// The least value.
        min: u64,
        /// The greatest value.
        max: u64,
    },
    /// A list needs one item or more.
    #[display("empty list")]
    EmptyList,
    /// A list names the same item twice.
    #[display("'{item}' is given twice")]
    RepeatedItem {
        /// The repeated item.
        item: Box<str>,
    },
    /// Two services have the same name.
    #[display("the name '{name}' is already used at {first}")]
    NameUsedTwice {
        /// The name.
        name: ServiceName,
        /// Where it is used first.
        first: Box<str>,
    },
    /// Two services, or one service twice, have the same address.
    #[display("the address is already used at {first}")]
    AddressUsedTwice {
        /// Where it is used first.
        first: Box<str>,
    },
    /// Two names have the same tag, so packets could not be told apart.
    #[display("the name has the tag {tag} of '{other}' at {first}; rename one of the two")]
    TagCollision {
        /// The tag.
        tag: ServiceTag,
        /// The other name.
        other: ServiceName,
        /// Where the other name is.
        first: Box<str>,
    },
    /// A dependency is no service of the text.
    #[display("no service has the name '{name}'")]
    UnknownDependency {
        /// The name.
        name: ServiceName,
    },
    /// A service depends on itself.
    #[display("circular dependency: {cycle}")]
    CircularDependency {
        /// The names along the circle, with the first one again at the end.
        cycle: Box<str>,
    },
}

/// One broken rule.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{path}: {violation}")]
pub struct Problem {
    /// The JSON path of the value.
    pub path: Box<str>,
    /// The rule that it breaks.
    pub violation: Violation,
}

/// All problems of a text, in the order of their places in it as far as they were found in one pass.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Problems(#[error(not(source))] pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}

/// A JSON path that is only written out when a problem is reported.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JsonPath<'a> {
    parent: Option<&'a JsonPath<'a>>,
    step: Step<'a>,
}

#[derive(Clone, Copy, Debug)]
enum Step<'a> {
    Root,
    Field(&'a str),
    Item(usize),
}

impl<'a> JsonPath<'a> {
    /// The whole text.
    pub(crate) const ROOT: Self = Self {
        parent: None,
        step: Step::Root,
    };

    /// Returns the place of a field.
    pub(crate) const fn field(&'a self, name: &'a str) -> Self {
        Self {
            parent: Some(self),
            step: Step::Field(name),
        }
    }

    /// Returns the place of an item.
    pub(crate) const fn item(&'a self, index: usize) -> Self {
        Self {
            parent: Some(self),
            step: Step::Item(index),
        }
    }

    /// Returns a problem at this place.
    pub(crate) fn problem(&self, violation: Violation) -> Problem {
        Problem {
            path: self.to_string().into(),
            violation,
        }
    }
}

impl fmt::Display for JsonPath<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(parent) = self.parent {
            parent.fmt(f)?;
        }
        match self.step {
            Step::Root => f.write_str("$"),
            Step::Field(name) => write!(f, ".{}", name.escape_debug()),
            Step::Item(index) => write!(f, "[{index}]"),
        }
    }
}

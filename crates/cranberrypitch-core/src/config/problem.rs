//! Problems of a configuration text, each with the path of a value and the violated rule.

use std::fmt;

use derive_more::{Display, Error};

use crate::ids::{ServiceName, ServiceTag};

/// A violation of a rule of the format.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum Violation {
    /// The text is not valid JSON.
    #[display("no valid JSON: {detail}")]
    Syntax {
        /// The error of the JSON parser.
        detail: Box<str>,
    },
    /// The format has no field with this name.
    #[display("unknown field")]
    UnknownField,
    /// A required field is missing.
    #[display("missing field")]
    MissingField,
    /// An object contains a field more than once.
    #[display("field given twice")]
    RepeatedField,
    /// The value does not have the expected JSON type.
    #[display("expected {expected}")]
    WrongType {
        /// The expected type.
        expected: &'static str,
    },
    /// The value is not a valid name or address.
    #[display("{detail}")]
    Malformed {
        /// A description of the error, with the value.
        detail: Box<str>,
    },
    /// A limit is zero, so that no request could be served.
    #[display("a limit of zero; allowed are {min} to {max}")]
    ZeroLimit {
        /// The least allowed value.
        min: u64,
        /// The greatest allowed value.
        max: u64,
    },
    /// A number is out of its range.
    #[display("{value} is out of range; allowed are {min} to {max}")]
    OutOfRange {
        /// The value in the text.
        value: u64,
        /// The least allowed value.
        min: u64,
        /// The greatest allowed value.
        max: u64,
    },
    /// A list or set that requires at least one item is empty.
    #[display("empty list")]
    EmptyList,
    /// A list contains the same item twice.
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
        /// The path of the first use.
        first: Box<str>,
    },
    /// The same address occurs twice, at one service or at two.
    #[display("the address is already used at {first}")]
    AddressUsedTwice {
        /// The path of the first use.
        first: Box<str>,
    },
    /// Two names have the same tag, so that packets of the two services would be indistinguishable.
    #[display("the name has the tag {tag} of '{other}' at {first}; rename one of the two")]
    TagCollision {
        /// The tag.
        tag: ServiceTag,
        /// The other name.
        other: ServiceName,
        /// The path of the other name.
        first: Box<str>,
    },
    /// A dependency is not a service of the text.
    #[display("no service has the name '{name}'")]
    UnknownDependency {
        /// The name.
        name: ServiceName,
    },
    /// A service depends on itself, directly or through other services.
    #[display("circular dependency: {cycle}")]
    CircularDependency {
        /// The names along the cycle, with the first one repeated at the end.
        cycle: Box<str>,
    },
}

/// A violated rule with the path of the value.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{path}: {violation}")]
pub struct Problem {
    /// The JSON path of the value.
    pub path: Box<str>,
    /// The violated rule.
    pub violation: Violation,
}

/// All problems of a text in the order in which they were found: first those of single values, then
/// those that involve more than one service.
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

/// A JSON path as a linked list, which is formatted only when a problem is reported.
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
    /// The path of the root value.
    pub(crate) const ROOT: Self = Self {
        parent: None,
        step: Step::Root,
    };

    /// Returns the path of a field of this object.
    pub(crate) const fn field(&'a self, name: &'a str) -> Self {
        Self {
            parent: Some(self),
            step: Step::Field(name),
        }
    }

    /// Returns the path of an item of this array.
    pub(crate) const fn item(&'a self, index: usize) -> Self {
        Self {
            parent: Some(self),
            step: Step::Item(index),
        }
    }

    /// Returns a problem with this path.
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

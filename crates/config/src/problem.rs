//! The problems of a document, each with its place, a description and a remedy.

use derive_more::{Display, Error};

/// One problem of a document.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{place}: {description}; {remedy}")]
pub struct ConfigProblem {
    /// The place: a line and column, or the path of the field.
    pub place: String,
    /// A description of the problem.
    pub description: String,
    /// How to correct the problem.
    pub remedy: String,
}

/// All problems of a document.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct ConfigProblems {
    /// The problems, in the document's order.
    pub problems: Vec<ConfigProblem>,
}

impl ConfigProblem {
    pub(crate) fn new(place: String, description: String, remedy: impl Into<String>) -> Self {
        Self {
            place,
            description,
            remedy: remedy.into(),
        }
    }

    pub(crate) fn from_toml(text: &str, error: &toml::de::Error) -> Self {
        let offset = error.span().map_or(0, |span| span.start).min(text.len());
        let before = &text[..offset];
        let line = before.matches('\n').count() + 1;
        let column = before.len() - before.rfind('\n').map_or(0, |at| at + 1) + 1;
        Self::new(
            format!("line {line}, column {column}"),
            error.message().replace('\n', " "),
            "see docs/CONFIGURATION.md for the fields of each table",
        )
    }
}

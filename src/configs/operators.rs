//! Settings of the operators' interface.

use bridgevane_types::OperatorName;
use derive_more::{Display, Error};
use std::str::FromStr;

/// An operator with the bearer token that proves it.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorToken {
    /// The operator.
    pub operator: OperatorName,
    /// The token.
    pub token: String,
}

impl std::fmt::Debug for OperatorToken {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}:***", self.operator)
    }
}

/// The text isn't `name:token`.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not of the form name:token with a token of at least 8 characters")]
pub struct BadOperatorToken;

impl FromStr for OperatorToken {
    type Err = BadOperatorToken;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        /// Not measured, chosen because a shorter one can be guessed by trying.
        const MIN_TOKEN_LEN: usize = 8;
        let (operator, token) = text.split_once(':').ok_or(BadOperatorToken)?;
        if operator.is_empty() || token.len() < MIN_TOKEN_LEN {
            return Err(BadOperatorToken);
        }
        Ok(Self {
            operator: operator.into(),
            token: token.to_owned(),
        })
    }
}

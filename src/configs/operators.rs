//! Settings of the operators' interface.

use bridgevane_types::OperatorName;
use derive_more::{Display, Error};
use std::str::FromStr;

/// An operator and its bearer token.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorToken {
    /// The operator's name.
    pub operator: OperatorName,
    /// The token.
    pub token: String,
}

impl std::fmt::Debug for OperatorToken {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}:***", self.operator)
    }
}

/// The error for a text that isn't `name:token` or has a short token.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not of the form name:token with a token of at least 8 characters")]
pub struct BadOperatorToken;

impl FromStr for OperatorToken {
    type Err = BadOperatorToken;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        /// Shorter tokens can be guessed by trial.
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

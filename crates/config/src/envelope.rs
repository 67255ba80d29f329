//! What the platform's key-value service holds under the configuration's key.
//!
//! One value with the document, its version and the latest operations. Because the
//! operations travel with the document in one compare-and-swap, reading the value
//! tells whether an operation took effect, also after its answer was lost.

use crate::document::Document;
use bridgevane_types::{ConfigVersion, OperationId, OperatorName};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Operations that the envelope remembers. At 2,900 changes a day this is some two hours. Not
/// measured, chosen because it is about two hours of the changes to design for, and 28 KB
/// (docs/CAPACITY.md).
const MAX_OPERATIONS: usize = 256;

/// An operation that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedOperation {
    /// The operation's identifier, chosen by the operator's client.
    pub operation_id: OperationId,
    /// Who asked for it.
    pub operator: OperatorName,
    /// The version that it made.
    pub version: ConfigVersion,
    /// What it changed, as section paths.
    pub changed: Vec<String>,
}

/// The configuration as the key-value service holds it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The version; each accepted change adds one.
    pub version: ConfigVersion,
    /// The latest accepted operations, oldest first.
    pub operation: Vec<AcceptedOperation>,
    /// The document.
    pub document: Document,
}

/// Why an envelope can't be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("the stored configuration can't be read: {reason}")]
pub struct EnvelopeError {
    /// What the parser said.
    pub reason: String,
}

/// What is known of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationStatus {
    /// It took effect and made this version.
    TookEffect(ConfigVersion),
    /// It did not take effect.
    DidNot,
    /// It is older than what the envelope remembers.
    TooOldToTell,
}

impl Envelope {
    /// Reads the stored text.
    ///
    /// # Errors
    /// [`EnvelopeError`] when it isn't an envelope with a valid document.
    pub fn parse(text: &str) -> Result<Self, EnvelopeError> {
        let envelope: Envelope = toml::from_str(text).map_err(|error| EnvelopeError {
            reason: error.message().to_owned(),
        })?;
        envelope.document.check().map_err(|error| EnvelopeError {
            reason: error.to_string(),
        })?;
        Ok(envelope)
    }

    /// The text to store.
    ///
    /// # Errors
    /// [`EnvelopeError`] when the document can't be written as TOML.
    pub fn to_text(&self) -> Result<String, EnvelopeError> {
        toml::to_string(self).map_err(|error| EnvelopeError {
            reason: error.to_string(),
        })
    }

    /// The envelope after `operation_id` replaced the document.
    pub fn succeed(
        &self,
        document: Document,
        operation_id: OperationId,
        operator: OperatorName,
        changed: Vec<String>,
    ) -> Envelope {
        let version = self.version.next();
        let mut operation = self.operation.clone();
        operation.push(AcceptedOperation {
            operation_id,
            operator,
            version,
            changed,
        });
        let excess = operation.len().saturating_sub(MAX_OPERATIONS);
        operation.drain(..excess);
        Envelope {
            version,
            operation,
            document,
        }
    }

    /// Whether `operation_id`, first proposed on top of `base`, took effect.
    pub fn status_of(&self, operation_id: &OperationId, base: ConfigVersion) -> OperationStatus {
        let found = self
            .operation
            .iter()
            .find(|operation| operation.operation_id == *operation_id);
        if let Some(operation) = found {
            return OperationStatus::TookEffect(operation.version);
        }
        let oldest = self
            .operation
            .first()
            .map_or(ConfigVersion(0), |o| o.version);
        let is_remembered = self.operation.len() < MAX_OPERATIONS || base.next() >= oldest;
        if is_remembered {
            return OperationStatus::DidNot;
        }
        OperationStatus::TooOldToTell
    }

    /// The operations accepted after `base`: what the answer to a losing operator lists.
    pub fn since(&self, base: ConfigVersion) -> &[AcceptedOperation] {
        let start = self.operation.partition_point(|o| o.version <= base);
        &self.operation[start..]
    }
}

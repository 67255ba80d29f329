//! The value of the configuration's key in the platform's key-value service.
//!
//! The value holds the document, its version and the latest operations. One compare-and-swap writes
//! the operation together with the document, so the value shows whether an operation took effect,
//! even if the answer to its write was lost.

use crate::document::Document;
use bridgevane_types::{ConfigVersion, OperationId, OperatorName};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The number of operations that the envelope remembers: about two hours at the 2,900 changes a day
/// that the system is designed for, in 28 KB. See docs/CAPACITY.md.
const MAX_OPERATIONS: usize = 256;

/// An operation that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedOperation {
    /// The operation's identifier, chosen by the operator's client.
    pub operation_id: OperationId,
    /// The operator who requested the operation.
    pub operator: OperatorName,
    /// The version that the operation created.
    pub version: ConfigVersion,
    /// The paths of the changed sections.
    pub changed: Vec<String>,
}

/// The configuration as stored in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The version; each accepted change increments it.
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
    /// The message of the parser or of the check.
    pub reason: String,
}

/// Whether an operation took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationStatus {
    /// The operation took effect and created this version.
    TookEffect(ConfigVersion),
    /// The operation did not take effect.
    NoEffect,
    /// The operation may be older than the operations that the envelope remembers.
    NotRemembered,
}

impl Envelope {
    /// Parses the stored text.
    ///
    /// # Errors
    /// [`EnvelopeError`] if the text isn't an envelope with a valid document.
    pub fn parse(text: &str) -> Result<Self, EnvelopeError> {
        let envelope: Envelope = toml::from_str(text).map_err(|error| EnvelopeError {
            reason: error.message().to_owned(),
        })?;
        envelope.document.check().map_err(|error| EnvelopeError {
            reason: error.to_string(),
        })?;
        Ok(envelope)
    }

    /// Returns the text to store.
    ///
    /// # Errors
    /// [`EnvelopeError`] if the document can't be written as TOML.
    pub fn to_text(&self) -> Result<String, EnvelopeError> {
        toml::to_string(self).map_err(|error| EnvelopeError {
            reason: error.to_string(),
        })
    }

    /// Returns the next envelope, in which the operation replaced the document.
    pub fn with_operation(
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

    /// Returns whether `operation_id`, first proposed as a change of version `base`, took effect.
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
            return OperationStatus::NoEffect;
        }
        OperationStatus::NotRemembered
    }

    /// Returns the operations accepted after `base`. The answer to an operator whose change conflicts
    /// with them lists them.
    pub fn operations_since(&self, base: ConfigVersion) -> &[AcceptedOperation] {
        let start = self.operation.partition_point(|o| o.version <= base);
        &self.operation[start..]
    }
}

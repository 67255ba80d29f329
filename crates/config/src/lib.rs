//! The operators' configuration document: its format, checks, sections and deltas.
//!
//! The document is TOML. [`Document::parse`] reads and checks it and reports all problems at once.
//! [`Envelope`] is the value in the platform's key-value service: the document with its version and
//! the latest operations that changed it.

mod check;
mod delta;
mod document;
mod envelope;
mod problem;

pub use delta::{Delta, DeltaError, SectionChange, Sections};
pub use document::{
    ClassConfig, CustomerConfig, Document, EngineConfig, KindConfig, RolloutConfig, RouteConfig,
    ServiceConfig, ServiceKind,
};
pub use envelope::{AcceptedOperation, Envelope, EnvelopeError, OperationStatus};
pub use problem::{ConfigProblem, ConfigProblems};

//! The callers' HTTP interface: the path of a request from its HTTP call to its answer.

pub(crate) mod caller;
pub(crate) mod chat_format;
pub(crate) mod crash_check;
pub(crate) mod model_answer;
pub(crate) mod model_attempt;
pub mod model_call;
pub(crate) mod model_outcome;
pub(crate) mod model_request;
pub(crate) mod plain_call;
pub(crate) mod plain_request;
pub(crate) mod progress_reporter;
pub(crate) mod prompt_text;
pub(crate) mod refusal;
pub(crate) mod routes;
pub(crate) mod targets;

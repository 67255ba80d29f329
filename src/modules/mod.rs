//! The daemon's behaviour, one module a file.

pub mod burn;
pub mod callers;
pub mod chat_format;
pub mod config_follow;
pub mod config_in_force;
pub mod engine_link;
pub mod engine_poll;
pub mod http_serve;
pub mod leaving;
pub mod logging;
pub mod metrics;
pub mod model_request;
pub mod plain_request;
pub mod pool_actor;
pub mod pool_directory;
pub mod pool_link;
pub mod refusal;

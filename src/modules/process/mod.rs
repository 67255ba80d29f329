//! Parts of the process that both programs use: logs, HTTP servers, signals, the metrics page.

pub mod http_serve;
pub(crate) mod log_writer;
pub(crate) mod logging;
pub(crate) mod metrics_page;
pub(crate) mod signals;

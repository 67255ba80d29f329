//! Reports on the logs of gateways: of one or more VMs, complete or cut.
//!
//! [`LogReader`] reads lines; [`Summary`] counts the outcomes of requests by reason, endpoint,
//! customer, data centre and time; [`RequestHistory`] collects the lines of all daemons on one
//! request; [`TreeHistory`] reconstructs which daemon followed which; [`ReachHistory`] compares
//! daemons that were cut off from endpoints with the others. Lines that can't be read are
//! counted ([`ReadCounts`]), never skipped silently. A report takes one pass, and its memory
//! doesn't grow with the number of requests.

mod counts;
mod line;
mod reach;
mod reader;
mod request_history;
mod row;
mod summary;
mod svg;
mod timeline;
mod tree;

pub use counts::OutcomeCounts;
pub use line::{EndedTries, LogLine, Unread};
pub use reach::{ReachHistory, ReachQuery, ReachRow, TryCounts};
pub use reader::{LogReader, ReadCounts};
pub use request_history::{RequestHistory, RequestLine};
pub use row::SummaryRow;
pub use summary::{Dimension, Summary};
pub use svg::{PlotError, timeline_svg};
pub use timeline::{Timeline, TimelineBucket};
pub use tree::{TreeHistory, TreeRow};

//! Reads the logs of gateways after the fact: of one or of all VMs, whole or cut.
//!
//! [`LogReader`] gives lines; [`Summary`] counts what became of requests by reason, endpoint,
//! customer, data centre and time; [`RequestLife`] gathers what all daemons wrote of one request;
//! [`TreeHistory`] says who followed whom. What can't
//! be read is counted ([`ReadCounts`]), never skipped in silence. One pass, and memory that doesn't
//! grow with the requests.

mod counts;
mod life;
mod line;
mod reader;
mod row;
mod summary;
mod svg;
mod timeline;
mod tree;

pub use counts::Counts;
pub use life::{RequestLife, RequestLine};
pub use line::{LogLine, Unread};
pub use reader::{LogReader, ReadCounts};
pub use row::Row;
pub use summary::{Dimension, Summary};
pub use svg::{PlotError, timeline_svg};
pub use timeline::{Bucket, Timeline};
pub use tree::{TreeHistory, TreeRow};

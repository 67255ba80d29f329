//! Rate limits: an endpoint in need names how many requests a second it takes from all daemons together.

use bridgevane_types::RequestsPerSecond;

/// What one answer of an endpoint says of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// So many requests a second, from all daemons together.
    Of(RequestsPerSecond),
    /// It names none.
    None,
    /// What it names can't be read, and changes nothing.
    Unreadable,
}

//! The statuses of final answers.

use hyper::StatusCode;

/// Returns whether an answer with this status may be passed on as a final one: 200 to 599.
///
/// The HTTP library skips interim answers, but returns 101, which ends HTTP on its connection and is
/// never asked for. It also returns 600 to 999, which have no meaning.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

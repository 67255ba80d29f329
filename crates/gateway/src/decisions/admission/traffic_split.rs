//! Traffic split: which of a route's services gets a request.
//!
//! Inputs: the weights of the route's services in their order, and a point drawn evenly from 0 to
//! the sum of the weights.
//!
//! Rule: the service whose share of that range holds the point; the first one when all weights are
//! 0.
//!
//! Reason: the operator's document gives the shares.
//!
//! Constants: none.
//!
//! Tests: `admission.rs::a_route_s_traffic_is_split_by_weight`.

/// The sum of all weights: the end of the range to draw from.
pub fn total(weights: impl Iterator<Item = u32>) -> u32 {
    weights.sum()
}

/// The position of the service that a drawn point belongs to.
pub fn position(weights: impl Iterator<Item = u32>, point: u32) -> usize {
    let mut rest = point;
    for (position, weight) in weights.enumerate() {
        if rest < weight {
            return position;
        }
        rest -= weight;
    }
    0
}

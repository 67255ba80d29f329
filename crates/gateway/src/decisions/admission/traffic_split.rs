//! Traffic split: which of a route's services gets a request.
//!
//! Inputs: the weights of the route's services in their order, and a random point, uniform from 0
//! to the sum of the weights.
//!
//! Rule: the service whose share of that range contains the point; the first one if all weights are
//! 0.
//!
//! Reason: the operator's document sets the shares.
//!
//! Tests: `admission.rs::a_routes_traffic_is_split_by_weight`.

/// Returns the sum of all weights: the end of the range to draw from.
pub fn total(weights: impl Iterator<Item = u32>) -> u32 {
    weights.sum()
}

/// Returns the position of the service whose share contains a drawn point.
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

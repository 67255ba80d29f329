//! Region limits: where requests of a route or a customer may be served.
//!
//! Inputs: the regions that the route and the customer are limited to, if they are, and the region of each data
//! centre.
//!
//! Rules:
//! 1. A request goes to endpoints of regions that both its route and its customer allow; without a limit every
//!    region is allowed. So do its retries, hedges and resumptions.
//! 2. Cached parts of its prompt are taken from engines of these regions only, and its prompt is never placed by
//!    an engine elsewhere.
//! 3. A data centre whose region isn't known is in none: with a limit nothing goes there.
//!
//! Reason: where data may be processed is law or contract; no load is a reason to break it. Where no
//! endpoint is left the request is refused as one without endpoints.
//!
//! What daemons tell each other of requests holds no content: hashes of prompts' parts stay with the daemon,
//! work is told as counts by endpoint.
//!
//! Tests: `region_limits.rs`.

use bridgevane_types::{DataCentreId, RegionId};
use std::collections::{BTreeMap, BTreeSet};

/// The region of each data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap {
    by_data_centre: BTreeMap<DataCentreId, RegionId>,
}

impl RegionMap {
    /// The region of a data centre; none: it isn't known.
    fn region(&self, data_centre: &DataCentreId) -> Option<&RegionId> {
        self.by_data_centre.get(data_centre)
    }
}

impl FromIterator<(DataCentreId, RegionId)> for RegionMap {
    fn from_iter<I: IntoIterator<Item = (DataCentreId, RegionId)>>(entries: I) -> Self {
        Self {
            by_data_centre: entries.into_iter().collect(),
        }
    }
}

/// The regions that something is limited to.
pub type RegionSet = BTreeSet<RegionId>;

/// The limits of one request.
#[derive(Clone, Copy, Debug)]
pub struct RegionLimits<'a> {
    /// The region of each data centre.
    pub regions: &'a RegionMap,
    /// What its route allows; none: every region.
    pub route: Option<&'a RegionSet>,
    /// What its customer allows; none: every region.
    pub customer: Option<&'a RegionSet>,
}

static NO_REGIONS: RegionMap = RegionMap {
    by_data_centre: BTreeMap::new(),
};

impl RegionLimits<'static> {
    /// No limit.
    pub const EVERYWHERE: Self = Self {
        regions: &NO_REGIONS,
        route: None,
        customer: None,
    };
}

impl RegionLimits<'_> {
    /// Whether there is any limit.
    pub(crate) fn is_limited(&self) -> bool {
        self.route.is_some() || self.customer.is_some()
    }

    /// Whether the request may be served in a data centre.
    pub fn allow(&self, data_centre: &DataCentreId) -> bool {
        let region = self.regions.region(data_centre);
        let allows = |allowed: &RegionSet| region.is_some_and(|region| allowed.contains(region));
        self.route.is_none_or(allows) && self.customer.is_none_or(allows)
    }
}

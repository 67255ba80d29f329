//! Region limits: where requests of a route or a customer may be served.
//!
//! Inputs: the regions that the route and the customer are limited to, if any, and the region of
//! each data centre.
//!
//! Rules:
//! 1. A request goes to endpoints of regions that both its route and its customer allow; without a
//!    limit every region is allowed. The same applies to its retries, hedges and resumptions.
//! 2. Cached parts of its prompt are fetched only from engines of these regions, and engines
//!    elsewhere have no influence on where its prompt is placed.
//! 3. A data centre whose region isn't known is in none: requests with a limit never go there.
//! 4. A request is forwarded only through daemons in these regions ([`crate::decisions::forwarding`]).
//!
//! Reason: where data may be processed is set by law or contract, and load is no reason to break
//! it. If no endpoint is left, the request is refused like one of a service without endpoints.
//!
//! The information on requests that daemons exchange has no content: hashes of the parts of prompts
//! stay with the daemon, and load is sent as counts by endpoint.
//!
//! Tests: `region_limits.rs`, `forwarding_regions.rs`.

use bridgevane_types::{DataCentreId, RegionId};
use std::collections::{BTreeMap, BTreeSet};

/// The region of each data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap {
    by_data_centre: BTreeMap<DataCentreId, RegionId>,
}

impl RegionMap {
    /// Returns the region of a data centre; `None` if it isn't known.
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

/// A set of regions that requests are limited to.
pub type RegionSet = BTreeSet<RegionId>;

/// The limits of one request.
#[derive(Clone, Copy, Debug)]
pub struct RegionLimits<'a> {
    /// The region of each data centre.
    pub regions: &'a RegionMap,
    /// The regions that its route allows; `None` allows every region.
    pub route: Option<&'a RegionSet>,
    /// The regions that its customer allows; `None` allows every region.
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
    /// Returns whether there is any limit.
    pub(crate) fn is_limited(&self) -> bool {
        self.route.is_some() || self.customer.is_some()
    }

    /// Returns whether the request may be served in a data centre.
    pub fn allow(&self, data_centre: &DataCentreId) -> bool {
        let region = self.regions.region(data_centre);
        let allows = |allowed: &RegionSet| region.is_some_and(|region| allowed.contains(region));
        self.route.is_none_or(allows) && self.customer.is_none_or(allows)
    }
}

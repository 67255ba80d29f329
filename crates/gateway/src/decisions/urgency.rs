//! How urgent requests are, one for another: a customer's tier goes first, the route's decides
//! among equals.

use crate::control::routing::{Customer, Route};
use bridgevane_types::{ServiceName, Tier};
use derive_more::Display;
use std::collections::{BTreeSet, HashMap};

/// The least urgent that can be told.
const LEAST: usize = 9;

/// How urgent a request is: 0 goes first, 9 last.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency(pub u8);

/// What an urgency stands for: the tier that counts first, and the route's.
type Rank = (Tier, Tier);

fn rank(customer: Option<&Customer>, route: &Route) -> Rank {
    let own = customer.and_then(|customer| customer.tier);
    (own.unwrap_or(route.tier), route.tier)
}

/// The urgencies of one configuration.
#[derive(Debug, Default)]
pub struct Urgencies {
    /// All ranks, the most urgent first.
    ranks: Vec<Rank>,
    least_by_service: HashMap<ServiceName, Urgency>,
}

impl Urgencies {
    /// Ranks every route for every customer.
    pub fn new<'a>(
        routes: impl Iterator<Item = &'a Route> + Clone,
        customers: impl Iterator<Item = &'a Customer>,
    ) -> Self {
        let tiers: BTreeSet<Option<Tier>> = customers.map(|customer| customer.tier).collect();
        let ranks_of = |route: &Route| -> Vec<Rank> {
            // What needs no key comes without a customer.
            let nobody = (route.is_public || tiers.is_empty()).then_some(None);
            let all = tiers.iter().copied().chain(nobody);
            let own = all.map(|tier| tier.unwrap_or(route.tier));
            own.map(|own| (own, route.tier)).collect()
        };
        let ranks: BTreeSet<Rank> = routes.clone().flat_map(ranks_of).collect();
        let mut urgencies = Self {
            ranks: ranks.into_iter().collect(),
            least_by_service: HashMap::new(),
        };
        for route in routes {
            let least = ranks_of(route)
                .into_iter()
                .map(|rank| urgencies.of_rank(rank));
            let least = least.max().unwrap_or_default();
            for target in &route.targets {
                let known = urgencies.least_by_service.entry(target.service.clone());
                let known = known.or_default();
                *known = least.max(*known);
            }
        }
        urgencies
    }

    /// How urgent a customer's request on a route is.
    pub fn of(&self, customer: Option<&Customer>, route: &Route) -> Urgency {
        self.of_rank(rank(customer, route))
    }

    /// Whether nothing that the service may get is less urgent.
    pub fn is_least(&self, urgency: Urgency, service: &ServiceName) -> bool {
        let least = self.least_by_service.get(service);
        least.is_none_or(|least| urgency >= *least)
    }

    fn of_rank(&self, rank: Rank) -> Urgency {
        let at = self.ranks.partition_point(|other| *other < rank);
        let last = self.ranks.len().saturating_sub(1);
        // Where there are more ranks than urgencies, neighbours share one.
        let urgency = if last > LEAST { at * LEAST / last } else { at };
        Urgency(urgency.min(LEAST) as u8)
    }
}

//! Priority: which request goes first, at the engines and when requests are shed.
//!
//! Inputs: tiers of the configuration's routes and customers (0 is the most important).
//!
//! Rule: requests are ranked by the pair of the route's tier and the customer's (the route's again
//! if the customer has none), over all pairs that the configuration allows. The rank is the
//! priority; if there are more ranks than priorities, adjacent ranks share one. The lowest priority
//! of a service is the lowest among all routes that lead to it.
//!
//! Reason: engines admit and preempt by priority, and no request may be preempted while one of a
//! less important route continues on the engine (the users' rule TIER). The users' protocol page
//! puts the customer's tier before the route's; in that order, prompts of an important customer's
//! less important route preempted streams of other customers, which the rule forbids: 4 of 13 runs
//! broke it, against none of 12 with the route's tier first. The customer's tier alone broke it,
//! too. So the customer's tier decides only between requests of equal routes.
//!
//! Tests: `decisions.rs::the_tier_of_the_route_counts_before_the_customers`,
//! `more_ranks_than_priorities_keep_their_order`.

use crate::route::{Customer, Route};
use bridgevane_types::{ServiceName, Tier};
use derive_more::Display;
use std::collections::{BTreeSet, HashMap};

/// The lowest priority in the platform's protocol: engines accept 0 to 9.
const LOWEST: usize = 9;

/// The priority of a request: 0 goes first, 9 last.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u8);

/// The pair of tiers that a priority is derived from. Fields are compared in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    route_tier: Tier,
    customer_tier: Tier,
}

fn rank(customer_tier: Option<Tier>, route: &Route) -> Rank {
    Rank {
        route_tier: route.tier,
        customer_tier: customer_tier.unwrap_or(route.tier),
    }
}

/// The priorities of one configuration.
#[derive(Debug, Default)]
pub struct PriorityRanking {
    /// All ranks, the most important first.
    ranks: Vec<Rank>,
    lowest_by_service: HashMap<ServiceName, Priority>,
}

impl PriorityRanking {
    /// Ranks every route for every customer.
    pub fn new<'a>(
        routes: impl Iterator<Item = &'a Route> + Clone,
        customers: impl Iterator<Item = &'a Customer>,
    ) -> Self {
        let customer_tiers: BTreeSet<Option<Tier>> =
            customers.map(|customer| customer.tier).collect();
        let ranks = routes
            .clone()
            .flat_map(|route| possible_ranks(route, &customer_tiers));
        let ranks: BTreeSet<Rank> = ranks.collect();
        let mut ranking = Self {
            ranks: ranks.into_iter().collect(),
            lowest_by_service: HashMap::new(),
        };
        for route in routes {
            ranking.add_lowest(route, &customer_tiers);
        }
        ranking
    }

    /// Returns the priority of a customer's request on a route.
    pub fn priority(&self, customer: Option<&Customer>, route: &Route) -> Priority {
        let customer_tier = customer.and_then(|customer| customer.tier);
        self.priority_of_rank(rank(customer_tier, route))
    }

    /// Returns whether a priority is the lowest among the routes of this service: the only one that
    /// is shed.
    pub fn is_lowest(&self, priority: Priority, service: &ServiceName) -> bool {
        let lowest = self.lowest_by_service.get(service);
        lowest.is_none_or(|lowest| priority >= *lowest)
    }

    fn add_lowest(&mut self, route: &Route, customer_tiers: &BTreeSet<Option<Tier>>) {
        let ranks = possible_ranks(route, customer_tiers);
        // Every route has at least one rank: without customers, that of a request without a
        // customer.
        let lowest = ranks.map(|rank| self.priority_of_rank(rank)).max();
        let lowest = lowest.unwrap_or_default();
        for target in &route.targets {
            let known = self.lowest_by_service.entry(target.service.clone());
            let known = known.or_default();
            *known = lowest.max(*known);
        }
    }

    fn priority_of_rank(&self, rank: Rank) -> Priority {
        let position = self.ranks.partition_point(|other| *other < rank);
        let last = self.ranks.len().saturating_sub(1);
        let scaled = if last > LOWEST {
            position * LOWEST / last
        } else {
            position
        };
        Priority(scaled.min(LOWEST) as u8)
    }
}

/// Returns the ranks that requests on a route can have.
fn possible_ranks<'a>(
    route: &'a Route,
    customer_tiers: &'a BTreeSet<Option<Tier>>,
) -> impl Iterator<Item = Rank> + 'a {
    // Requests without a key have no customer.
    let no_customer = (route.is_public || customer_tiers.is_empty()).then_some(None);
    let tiers = customer_tiers.iter().copied().chain(no_customer);
    tiers.map(|customer_tier| rank(customer_tier, route))
}

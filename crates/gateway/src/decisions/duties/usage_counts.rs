//! Usage counts: how many requests of each customer started to run.

use bridgevane_types::CustomerId;
use std::collections::BTreeMap;

/// The number of requests by customer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageCounts {
    by_customer: BTreeMap<CustomerId, u32>,
}

impl UsageCounts {
    /// Counts one more request of a customer.
    pub fn count(&mut self, customer: &CustomerId) {
        self.add(customer.clone(), 1);
    }

    /// Adds a number of requests of a customer.
    pub fn add(&mut self, customer: CustomerId, requests: u32) {
        let count = self.by_customer.entry(customer).or_default();
        *count = count.saturating_add(requests);
    }

    /// Adds all counts of `other`.
    pub fn add_all(&mut self, other: &Self) {
        for (customer, requests) in other.iter() {
            self.add(customer.clone(), requests);
        }
    }

    /// Keeps the larger count of each customer: counts of one daemon only rise, so the larger one
    /// is the newer one, in any order of arrival.
    pub fn merge_max(&mut self, other: &Self) {
        for (customer, requests) in other.iter() {
            let count = self.by_customer.entry(customer.clone()).or_default();
            *count = requests.max(*count);
        }
    }

    /// Returns all customers with their requests, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&CustomerId, u32)> {
        self.by_customer
            .iter()
            .map(|(customer, requests)| (customer, *requests))
    }

    /// Returns the number of requests of all customers.
    pub fn total(&self) -> u64 {
        self.by_customer.values().copied().map(u64::from).sum()
    }

    /// Returns whether no requests are counted.
    pub fn is_empty(&self) -> bool {
        self.by_customer.is_empty()
    }
}

impl FromIterator<(CustomerId, u32)> for UsageCounts {
    fn from_iter<T: IntoIterator<Item = (CustomerId, u32)>>(counts: T) -> Self {
        let mut usage = Self::default();
        for (customer, requests) in counts {
            usage.add(customer, requests);
        }
        usage
    }
}

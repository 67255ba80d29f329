//! The queue of one class, fair among its customers.
//!
//! Each customer has a virtual time that rises with the tokens it was served; the customer
//! that is furthest behind goes next. Requests that come back after a preemption or a loss
//! go before all others: their callers already wait for the rest.

use crate::index::CustomerIx;
use bridgevane_types::RequestId;
use std::collections::{BTreeSet, HashMap, VecDeque};

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    requests: VecDeque<(RequestId, f64)>,
    virtual_time: u64,
    work_ms: f64,
}

/// A queue that is fair by work.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    returned: VecDeque<(RequestId, f64)>,
    customers: HashMap<CustomerIx, CustomerQueue>,
    order: BTreeSet<(u64, CustomerIx)>,
    virtual_time: u64,
    len: usize,
    work_ms: f64,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Work of a new request's customer and of the others that goes before it.
    pub(crate) fn work_before_ms(&self, customer: CustomerIx) -> f64 {
        let own = self
            .customers
            .get(&customer)
            .map_or(0.0, |queue| queue.work_ms);
        let active = self.order.len().max(1) as f64;
        let returned: f64 = self.returned.iter().map(|(_, work_ms)| work_ms).sum();
        (returned + own * active).min(self.work_ms)
    }

    /// All queued work.
    pub(crate) fn work_ms(&self) -> f64 {
        self.work_ms
    }

    pub(crate) fn push(&mut self, request: RequestId, customer: CustomerIx, work_ms: f64) {
        let queue = self.customers.entry(customer).or_default();
        if queue.requests.is_empty() {
            queue.virtual_time = queue.virtual_time.max(self.virtual_time);
            self.order.insert((queue.virtual_time, customer));
        }
        queue.requests.push_back((request, work_ms));
        queue.work_ms += work_ms;
        self.len += 1;
        self.work_ms += work_ms;
    }

    /// Puts a request before all others.
    pub(crate) fn push_returned(&mut self, request: RequestId, work_ms: f64) {
        self.returned.push_back((request, work_ms));
        self.len += 1;
        self.work_ms += work_ms;
    }

    /// Requests that ran before and came back, in their order.
    pub(crate) fn returned(&self) -> impl Iterator<Item = RequestId> {
        self.returned.iter().map(|(request, _)| *request)
    }

    /// The request that goes next.
    pub(crate) fn peek(&self) -> Option<RequestId> {
        if let Some((request, _)) = self.returned.front() {
            return Some(*request);
        }
        let (_, customer) = self.order.first()?;
        let queue = self.customers.get(customer)?;
        queue.requests.front().map(|(request, _)| *request)
    }

    /// Takes the request that goes next.
    pub(crate) fn pop(&mut self) -> Option<RequestId> {
        if let Some((request, work_ms)) = self.returned.pop_front() {
            self.forget(work_ms);
            return Some(request);
        }
        let (virtual_time, customer) = self.order.pop_first()?;
        self.virtual_time = virtual_time;
        let queue = self.customers.get_mut(&customer)?;
        let (request, work_ms) = queue.requests.pop_front()?;
        queue.work_ms = (queue.work_ms - work_ms).max(0.0);
        queue.virtual_time = virtual_time + work_ms.max(1.0) as u64;
        if queue.requests.is_empty() {
            self.drop_idle(customer);
        } else {
            self.order.insert((queue.virtual_time, customer));
        }
        self.forget(work_ms);
        Some(request)
    }

    /// Takes out a request wherever it stands.
    pub(crate) fn remove(&mut self, request: RequestId, customer: CustomerIx) -> bool {
        if let Some(at) = self.returned.iter().position(|(id, _)| *id == request) {
            if let Some((_, work_ms)) = self.returned.remove(at) {
                self.forget(work_ms);
            }
            return true;
        }
        let Some(queue) = self.customers.get_mut(&customer) else {
            return false;
        };
        let Some(at) = queue.requests.iter().position(|(id, _)| *id == request) else {
            return false;
        };
        let Some((_, work_ms)) = queue.requests.remove(at) else {
            return false;
        };
        queue.work_ms = (queue.work_ms - work_ms).max(0.0);
        if queue.requests.is_empty() {
            self.order.remove(&(queue.virtual_time, customer));
            self.drop_idle(customer);
        }
        self.forget(work_ms);
        true
    }

    /// The request that came last of the customer with the most work: the one to give up.
    pub(crate) fn newest(&self) -> Option<RequestId> {
        let busiest = self
            .customers
            .values()
            .max_by(|a, b| a.work_ms.total_cmp(&b.work_ms))?;
        busiest.requests.back().map(|(request, _)| *request)
    }

    /// Forgets a customer without requests once its virtual time is no credit or debt.
    fn drop_idle(&mut self, customer: CustomerIx) {
        let is_behind = |queue: &CustomerQueue| queue.virtual_time <= self.virtual_time;
        if self.customers.get(&customer).is_some_and(is_behind) {
            self.customers.remove(&customer);
        }
        /// Not measured, chosen because it is well over the 1,100 customers to design for.
        const MAX_IDLE: usize = 4_096;
        if self.customers.len() > MAX_IDLE {
            self.customers.retain(|_, queue| !queue.requests.is_empty());
        }
    }

    fn forget(&mut self, work_ms: f64) {
        self.len -= 1;
        self.work_ms = if self.len == 0 {
            0.0
        } else {
            (self.work_ms - work_ms).max(0.0)
        };
    }
}

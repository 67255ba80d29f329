//! The queue of one class, fair among its customers.
//!
//! Each customer has a virtual time that advances with the work (ms) of its dequeued requests; the
//! customer with the lowest virtual time is next. Requests that are requeued after a preemption or a
//! lost attempt are served before all others: their callers may already have part of the answer.

use crate::index::CustomerIx;
use bridgevane_types::RequestId;
use std::collections::{BTreeSet, HashMap, VecDeque};

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    /// The waiting requests, each with its expected work (ms).
    requests: VecDeque<(RequestId, f64)>,
    virtual_time: u64,
    work_ms: f64,
}

/// A queue that shares work fairly among customers.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    /// The requeued requests of all customers, each with its expected work (ms).
    requeued: VecDeque<(RequestId, f64)>,
    customers: HashMap<CustomerIx, CustomerQueue>,
    by_virtual_time: BTreeSet<(u64, CustomerIx)>,
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

    /// Returns the expected work (ms) ahead of a new request of `customer`.
    pub(crate) fn work_ahead_ms(&self, customer: CustomerIx) -> f64 {
        let own = self
            .customers
            .get(&customer)
            .map_or(0.0, |queue| queue.work_ms);
        let active = self.by_virtual_time.len().max(1) as f64;
        let requeued: f64 = self.requeued.iter().map(|(_, work_ms)| work_ms).sum();
        (requeued + own * active).min(self.work_ms)
    }

    /// Returns the expected work of all queued requests (ms).
    pub(crate) fn work_ms(&self) -> f64 {
        self.work_ms
    }

    pub(crate) fn push(&mut self, request: RequestId, customer: CustomerIx, work_ms: f64) {
        let queue = self.customers.entry(customer).or_default();
        if queue.requests.is_empty() {
            queue.virtual_time = queue.virtual_time.max(self.virtual_time);
            self.by_virtual_time.insert((queue.virtual_time, customer));
        }
        queue.requests.push_back((request, work_ms));
        queue.work_ms += work_ms;
        self.len += 1;
        self.work_ms += work_ms;
    }

    /// Adds a requeued request, which is served before those that never ran.
    pub(crate) fn push_requeued(&mut self, request: RequestId, work_ms: f64) {
        self.requeued.push_back((request, work_ms));
        self.len += 1;
        self.work_ms += work_ms;
    }

    /// Returns the requeued requests in their order.
    pub(crate) fn requeued(&self) -> impl Iterator<Item = RequestId> {
        self.requeued.iter().map(|(request, _)| *request)
    }

    /// Returns the next request.
    pub(crate) fn peek(&self) -> Option<RequestId> {
        if let Some((request, _)) = self.requeued.front() {
            return Some(*request);
        }
        let (_, customer) = self.by_virtual_time.first()?;
        let queue = self.customers.get(customer)?;
        queue.requests.front().map(|(request, _)| *request)
    }

    /// Removes and returns the next request.
    pub(crate) fn pop(&mut self) -> Option<RequestId> {
        if let Some((request, work_ms)) = self.requeued.pop_front() {
            self.subtract_work(work_ms);
            return Some(request);
        }
        let (virtual_time, customer) = self.by_virtual_time.pop_first()?;
        self.virtual_time = virtual_time;
        let queue = self.customers.get_mut(&customer)?;
        let (request, work_ms) = queue.requests.pop_front()?;
        queue.work_ms = (queue.work_ms - work_ms).max(0.0);
        queue.virtual_time = virtual_time + work_ms.max(1.0) as u64;
        if queue.requests.is_empty() {
            self.remove_idle(customer);
        } else {
            self.by_virtual_time.insert((queue.virtual_time, customer));
        }
        self.subtract_work(work_ms);
        Some(request)
    }

    /// Removes a request at any position; returns whether it was queued.
    pub(crate) fn remove(&mut self, request: RequestId, customer: CustomerIx) -> bool {
        if let Some(index) = self.requeued.iter().position(|(id, _)| *id == request) {
            if let Some((_, work_ms)) = self.requeued.remove(index) {
                self.subtract_work(work_ms);
            }
            return true;
        }
        let Some(queue) = self.customers.get_mut(&customer) else {
            return false;
        };
        let Some(index) = queue.requests.iter().position(|(id, _)| *id == request) else {
            return false;
        };
        let Some((_, work_ms)) = queue.requests.remove(index) else {
            return false;
        };
        queue.work_ms = (queue.work_ms - work_ms).max(0.0);
        if queue.requests.is_empty() {
            self.by_virtual_time.remove(&(queue.virtual_time, customer));
            self.remove_idle(customer);
        }
        self.subtract_work(work_ms);
        true
    }

    /// Returns the request to refuse first: the newest one of the customer with the most queued
    /// work.
    pub(crate) fn shed_candidate(&self) -> Option<RequestId> {
        let busiest = self
            .customers
            .values()
            .max_by(|a, b| a.work_ms.total_cmp(&b.work_ms))?;
        busiest.requests.back().map(|(request, _)| *request)
    }

    /// Removes a customer without requests unless its virtual time is ahead of the queue's.
    fn remove_idle(&mut self, customer: CustomerIx) {
        let is_behind = |queue: &CustomerQueue| queue.virtual_time <= self.virtual_time;
        if self.customers.get(&customer).is_some_and(is_behind) {
            self.customers.remove(&customer);
        }
        /// Well above the 1,100 customers that the design assumes.
        const MAX_IDLE: usize = 4_096;
        if self.customers.len() > MAX_IDLE {
            self.customers.retain(|_, queue| !queue.requests.is_empty());
        }
    }

    /// Subtracts a removed request from the totals.
    fn subtract_work(&mut self, work_ms: f64) {
        self.len -= 1;
        self.work_ms = if self.len == 0 {
            0.0
        } else {
            (self.work_ms - work_ms).max(0.0)
        };
    }
}

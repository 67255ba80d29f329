//! What the operators' configuration means for one pool.

use crate::index::{ClassIx, CustomerIx, KindIx};
use bridgevane_config::Document;
use bridgevane_types::{
    ClassName, CustomerId, DataCentreId, DurationMs, EndpointId, KindName, ServiceName, Share,
    Slots, Tier, Tokens, TokensPerSecond,
};
use std::collections::HashMap;

/// A class as a pool sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassPolicy {
    /// Name.
    pub name: ClassName,
    /// 0 is the most important.
    pub tier: Tier,
    /// The latest first token.
    pub first_token_target_ms: DurationMs,
    /// The longest mean gap between tokens; none: no bound.
    pub between_tokens_target_ms: Option<DurationMs>,
    /// Guaranteed part of the pool.
    pub min_share: Share,
    /// The longest wait before one request at a time is protected; none: by settings.
    pub max_wait_ms: Option<DurationMs>,
}

/// A customer as a pool sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerPolicy {
    /// Name.
    pub name: CustomerId,
    /// Output tokens a second; none: no limit.
    pub rate_limit_tps: Option<TokensPerSecond>,
    /// Requests in flight; none: no limit.
    pub concurrency_limit: Option<Slots>,
}

/// An engine as a pool sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePolicy {
    /// Name.
    pub name: EndpointId,
    /// Requests that it can run.
    pub slots: Slots,
    /// Whether it gets no new work.
    pub is_drained: bool,
}

/// The configuration of one pool. Names keep their place when the configuration changes:
/// new ones are added at the end, so that indexes of requests in flight stay right.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolPolicy {
    /// Classes.
    pub classes: Vec<ClassPolicy>,
    /// Customers.
    pub customers: Vec<CustomerPolicy>,
    /// Kinds with the output tokens to expect at first.
    pub kinds: Vec<(KindName, Tokens)>,
    /// Engines of the pool's data centre.
    pub engines: Vec<EnginePolicy>,
    /// Where each customer stands: there are many, and each request looks one up.
    customer_of: HashMap<CustomerId, CustomerIx>,
}

impl PoolPolicy {
    /// A policy of these parts, for tests and benchmarks.
    pub fn of(
        classes: Vec<ClassPolicy>,
        customers: Vec<CustomerPolicy>,
        kinds: Vec<(KindName, Tokens)>,
        engines: Vec<EnginePolicy>,
    ) -> Self {
        let names = customers.iter().enumerate();
        let customer_of = names
            .map(|(at, customer)| (customer.name.clone(), CustomerIx(at as u32)))
            .collect();
        Self {
            classes,
            customers,
            kinds,
            engines,
            customer_of,
        }
    }

    /// The policy of `service` in `data_centre`.
    pub fn new(document: &Document, service: &ServiceName, data_centre: &DataCentreId) -> Self {
        let mut policy = Self::default();
        policy.update(document, service, data_centre);
        policy
    }

    /// Follows a changed configuration.
    pub fn update(
        &mut self,
        document: &Document,
        service: &ServiceName,
        data_centre: &DataCentreId,
    ) {
        for (name, class) in &document.class {
            let class = ClassPolicy {
                name: name.clone(),
                tier: class.tier,
                first_token_target_ms: class.first_token_target_ms,
                between_tokens_target_ms: class.between_tokens_target_ms,
                min_share: class.min_share,
                max_wait_ms: class.max_wait_ms,
            };
            put(&mut self.classes, class, |known| known.name == *name);
        }
        for (name, customer) in &document.customer {
            let customer = CustomerPolicy {
                name: name.clone(),
                rate_limit_tps: customer.rate_limit_tps,
                concurrency_limit: customer.concurrency_limit,
            };
            match self.customer_of.get(name) {
                Some(known) => self.customers[known.at()] = customer,
                None => {
                    let next = CustomerIx(self.customers.len() as u32);
                    self.customer_of.insert(name.clone(), next);
                    self.customers.push(customer);
                }
            }
        }
        for (name, kind) in &document.kind {
            let kind = (name.clone(), kind.expected_tokens);
            put(&mut self.kinds, kind, |known| known.0 == *name);
        }
        self.update_engines(document, service, data_centre);
    }

    fn update_engines(
        &mut self,
        document: &Document,
        service: &ServiceName,
        data_centre: &DataCentreId,
    ) {
        // An engine that the configuration no longer names gets no new work.
        for engine in &mut self.engines {
            engine.is_drained = true;
        }
        let Some(service) = document.service.get(service) else {
            return;
        };
        for (name, engine) in &service.engine {
            if engine.data_centre != *data_centre {
                continue;
            }
            let engine = EnginePolicy {
                name: name.clone(),
                slots: engine.slots,
                is_drained: engine.drained,
            };
            put(&mut self.engines, engine, |known| known.name == *name);
        }
    }

    /// The index of a class.
    pub fn class_ix(&self, name: &ClassName) -> Option<ClassIx> {
        let at = self.classes.iter().position(|class| class.name == *name)?;
        Some(ClassIx(at as u16))
    }

    /// The index of a customer.
    pub fn customer_ix(&self, name: &CustomerId) -> Option<CustomerIx> {
        self.customer_of.get(name).copied()
    }

    /// The index of a kind.
    pub fn kind_ix(&self, name: &KindName) -> Option<KindIx> {
        let at = self.kinds.iter().position(|kind| kind.0 == *name)?;
        Some(KindIx(at as u16))
    }
}

/// Replaces the entry that `is_same` knows, or adds a new one at the end.
fn put<T>(entries: &mut Vec<T>, entry: T, is_same: impl Fn(&T) -> bool) {
    match entries.iter().position(is_same) {
        Some(at) => entries[at] = entry,
        None => entries.push(entry),
    }
}

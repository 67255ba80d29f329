//! The part of the operators' configuration that applies to one pool.

use crate::index::{ClassIx, CustomerIx, KindIx};
use bridgevane_config::Document;
use bridgevane_types::{
    ClassName, CustomerId, DataCentreId, DurationMs, EndpointId, KindName, ServiceName, Share,
    Slots, Tier, Tokens, TokensPerSecond,
};
use std::collections::HashMap;

/// The settings of a class in a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassPolicy {
    /// The class's name.
    pub name: ClassName,
    /// The priority tier; 0 is the most important.
    pub tier: Tier,
    /// The target for the time to first token.
    pub first_token_target_ms: DurationMs,
    /// The target for the mean gap between tokens; `None` sets no bound.
    pub between_tokens_target_ms: Option<DurationMs>,
    /// The guaranteed share of the pool's slots.
    pub min_share: Share,
    /// The longest wait of the class: once a request has waited as long, the class may run a
    /// protected request. `None` derives it from the first-token target.
    pub max_wait_ms: Option<DurationMs>,
}

/// The limits of a customer in a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerPolicy {
    /// The customer's id.
    pub name: CustomerId,
    /// The maximum number of output tokens per second; `None` sets no limit.
    pub rate_limit_tps: Option<TokensPerSecond>,
    /// The maximum number of requests in flight; `None` sets no limit.
    pub concurrency_limit: Option<Slots>,
}

/// The settings of an engine in a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePolicy {
    /// The engine's id.
    pub name: EndpointId,
    /// The number of requests that it can run at once.
    pub slots: Slots,
    /// Whether it receives no new requests.
    pub is_drained: bool,
}

/// The configuration of one pool. Entries keep their position when the configuration changes,
/// and new ones are appended, so that the indexes of requests in flight stay valid.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolPolicy {
    /// The classes, by [`ClassIx`].
    pub classes: Vec<ClassPolicy>,
    /// The customers, by [`CustomerIx`].
    pub customers: Vec<CustomerPolicy>,
    /// The request kinds, by [`KindIx`], with their initial estimate of output tokens.
    pub kinds: Vec<(KindName, Tokens)>,
    /// The engines in the pool's data centre.
    pub engines: Vec<EnginePolicy>,
    /// The index of each customer: every request looks one up, and there are many.
    customer_indexes: HashMap<CustomerId, CustomerIx>,
}

impl PoolPolicy {
    /// Creates a policy from its parts, for tests and benchmarks.
    pub fn from_parts(
        classes: Vec<ClassPolicy>,
        customers: Vec<CustomerPolicy>,
        kinds: Vec<(KindName, Tokens)>,
        engines: Vec<EnginePolicy>,
    ) -> Self {
        let names = customers.iter().enumerate();
        let customer_indexes = names
            .map(|(index, customer)| (customer.name.clone(), CustomerIx(index as u32)))
            .collect();
        Self {
            classes,
            customers,
            kinds,
            engines,
            customer_indexes,
        }
    }

    /// Creates the policy of `service` in `data_centre`.
    pub fn new(document: &Document, service: &ServiceName, data_centre: &DataCentreId) -> Self {
        let mut policy = Self::default();
        policy.update(document, service, data_centre);
        policy
    }

    /// Applies a changed configuration.
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
            replace_or_push(&mut self.classes, class, |known| known.name == *name);
        }
        for (name, customer) in &document.customer {
            let customer = CustomerPolicy {
                name: name.clone(),
                rate_limit_tps: customer.rate_limit_tps,
                concurrency_limit: customer.concurrency_limit,
            };
            match self.customer_indexes.get(name) {
                Some(known) => self.customers[known.index()] = customer,
                None => {
                    let next = CustomerIx(self.customers.len() as u32);
                    self.customer_indexes.insert(name.clone(), next);
                    self.customers.push(customer);
                }
            }
        }
        for (name, kind) in &document.kind {
            let kind = (name.clone(), kind.expected_tokens);
            replace_or_push(&mut self.kinds, kind, |known| known.0 == *name);
        }
        self.update_engines(document, service, data_centre);
    }

    fn update_engines(
        &mut self,
        document: &Document,
        service: &ServiceName,
        data_centre: &DataCentreId,
    ) {
        // An engine that is no longer configured receives no new requests.
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
            replace_or_push(&mut self.engines, engine, |known| known.name == *name);
        }
    }

    /// Returns the index of a class.
    pub fn class_ix(&self, name: &ClassName) -> Option<ClassIx> {
        let index = self.classes.iter().position(|class| class.name == *name)?;
        Some(ClassIx(index as u16))
    }

    /// Returns the index of a customer.
    pub fn customer_ix(&self, name: &CustomerId) -> Option<CustomerIx> {
        self.customer_indexes.get(name).copied()
    }

    /// Returns the index of a kind.
    pub fn kind_ix(&self, name: &KindName) -> Option<KindIx> {
        let index = self.kinds.iter().position(|kind| kind.0 == *name)?;
        Some(KindIx(index as u16))
    }
}

/// Replaces the entry that matches `is_same`, or appends a new one.
fn replace_or_push<T>(entries: &mut Vec<T>, entry: T, is_same: impl Fn(&T) -> bool) {
    match entries.iter().position(is_same) {
        Some(index) => entries[index] = entry,
        None => entries.push(entry),
    }
}

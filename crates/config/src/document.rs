//! The types of the document.

use bridgevane_types::{
    ClassName, CustomerId, DataCentreId, DurationMs, EndpointId, KindName, ModelName, ServiceName,
    Share, Slots, Tier, Tokens, TokensPerSecond,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Service classes by name.
    pub class: BTreeMap<ClassName, ClassConfig>,
    /// Customers by name.
    pub customer: BTreeMap<CustomerId, CustomerConfig>,
    /// Request kinds by name.
    pub kind: BTreeMap<KindName, KindConfig>,
    /// Services by name: pools of model engines and plain services.
    pub service: BTreeMap<ServiceName, ServiceConfig>,
    /// Rollouts of model versions, by model; each data centre runs them for its own engines.
    pub rollout: BTreeMap<ModelName, RolloutConfig>,
}

/// A rollout of a model version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutConfig {
    /// The version before the rollout, which a rollback restores.
    pub from_version: u64,
    /// The version of all engines after the rollout.
    pub to_version: u64,
    /// The number of engines of a data centre that change at the same time.
    #[serde(default = "default_batch")]
    pub batch: usize,
    /// How long each batch is watched before the next one.
    #[serde(default = "default_watch_ms")]
    pub watch_ms: DurationMs,
    /// The burn rate over five minutes at and above which no further batch starts.
    #[serde(default = "default_hold_burn")]
    pub hold_burn: f64,
    /// The burn rate over five minutes at and above which all engines are rolled back.
    #[serde(default = "default_rollback_burn")]
    pub rollback_burn: f64,
}

fn default_batch() -> usize {
    1
}

/// How long a batch of a rollout is watched if the document doesn't set it: long enough for the
/// shortest burn-rate window to include some of that time.
const DEFAULT_WATCH: DurationMs = DurationMs(60_000);

fn default_watch_ms() -> DurationMs {
    DEFAULT_WATCH
}

fn default_hold_burn() -> f64 {
    2.0
}

fn default_rollback_burn() -> f64 {
    10.0
}

/// A service class: the targets and priority of its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// The tier; 0 is the highest priority and preempts work of higher numbers.
    pub tier: Tier,
    /// The target for the time until the first token, or until the whole answer of a plain call.
    pub first_token_target_ms: DurationMs,
    /// The target for the mean time between tokens of an answer; absent for plain calls.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub between_tokens_target_ms: Option<DurationMs>,
    /// The minimum share of each pool for this class, regardless of the load of higher tiers.
    #[serde(default)]
    pub min_share: Share,
    /// How long a request may wait before its class gets at least one slot that no other tier can
    /// use. Absent: four fifths of the first-token target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_wait_ms: Option<DurationMs>,
    /// The share of requests that must meet the target; the rest is the error budget.
    #[serde(default = "default_objective")]
    pub objective: Share,
}

fn default_objective() -> Share {
    Share(0.95)
}

/// A customer: its keys and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerConfig {
    /// Hex XXH3-128 digests of the customer's bearer keys; the keys stay out of the document.
    pub key_digest: Vec<String>,
    /// The kind of a request that doesn't name one.
    pub default_kind: KindName,
    /// Limit of output tokens per second, averaged over ten seconds. Absent: no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_limit_tps: Option<TokensPerSecond>,
    /// Limit of concurrent requests in a pool. Absent: no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrency_limit: Option<Slots>,
}

/// A request kind and the class it belongs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindConfig {
    /// The class of requests of this kind.
    pub class: ClassName,
    /// The customers that may use the kind. Empty: all customers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<CustomerId>,
    /// The expected number of output tokens before any request of the kind was observed.
    #[serde(default = "default_expected_tokens")]
    pub expected_tokens: Tokens,
}

fn default_expected_tokens() -> Tokens {
    Tokens(200)
}

/// The kind of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A pool of model engines.
    Model,
    /// A plain HTTP service.
    Plain,
}

/// A service and its workers: model engines or workers of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Whether the service is a pool of model engines or a plain service.
    pub kind: ServiceKind,
    /// The models that the pool serves and clients may request; empty for plain services.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelName>,
    /// Whether the endpoints check fencing tokens of orders.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether the endpoints themselves recognise repeated idempotency keys.
    #[serde(default)]
    pub deduplicates: bool,
    /// The workers of the service.
    #[serde(default)]
    pub engine: BTreeMap<EndpointId, EngineConfig>,
    /// Routes of a plain service; the route with the longest matching prefix applies.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub route: Vec<RouteConfig>,
}

/// One worker of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineConfig {
    /// The worker's address.
    pub address: std::net::SocketAddr,
    /// The worker's data centre.
    pub data_centre: DataCentreId,
    /// The number of requests that the worker can run at the same time.
    pub slots: Slots,
    /// Whether the worker is drained: it gets no new work.
    #[serde(default)]
    pub drained: bool,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// The path prefix below the service, such as `/bookings`.
    pub prefix: String,
    /// The class of calls on the route.
    pub class: ClassName,
    /// Whether a call may be retried when its outcome is unknown.
    #[serde(default)]
    pub repeatable: bool,
}

impl Document {
    /// Returns the service whose engines serve `model`.
    pub fn service_of_model(&self, model: &str) -> Option<(&ServiceName, &ServiceConfig)> {
        self.service
            .iter()
            .find(|(_, service)| service.models.iter().any(|name| name.as_str() == model))
    }
}

impl ServiceConfig {
    /// Returns the route with the longest prefix of `path`.
    pub fn route_of(&self, path: &str) -> Option<&RouteConfig> {
        self.route
            .iter()
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}

//! The typed document.

use bridgevane_types::{
    ClassName, CustomerId, DataCentreId, DurationMs, EndpointId, KindName, ModelName, ServiceName,
    Share, Slots, Tier, Tokens, TokensPerSecond,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The whole configuration of one user.
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
    /// Rollouts of model versions, by model: each data centre carries them out for its engines.
    pub rollout: BTreeMap<ModelName, RolloutConfig>,
}

/// A rollout of a model version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutConfig {
    /// The version before, to which a rollout is taken back.
    pub from_version: u64,
    /// The version that all engines are to run.
    pub to_version: u64,
    /// Engines of a data centre that change at the same time.
    #[serde(default = "default_batch")]
    pub batch: usize,
    /// How long each batch is watched before the next one.
    #[serde(default = "default_watch_ms")]
    pub watch_ms: DurationMs,
    /// Burn rate over five minutes from which on no further batch starts.
    #[serde(default = "default_hold_burn")]
    pub hold_burn: f64,
    /// Burn rate over five minutes from which on everything is taken back.
    #[serde(default = "default_rollback_burn")]
    pub rollback_burn: f64,
}

fn default_batch() -> usize {
    1
}

/// How long a batch of a rollout is watched unless the document says it. Not measured, chosen
/// because the shortest window of burn must see some of it.
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

/// A service class: what its requests are promised.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// 0 is the most important; work of a higher number makes room for it.
    pub tier: Tier,
    /// The latest first token, or the latest whole answer of a plain call.
    pub first_token_target_ms: DurationMs,
    /// The longest mean gap between tokens of an answer; absent for plain calls.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub between_tokens_target_ms: Option<DurationMs>,
    /// The part of each pool that this class gets at least, however busy higher tiers are.
    #[serde(default)]
    pub min_share: Share,
    /// The longest wait before one request of the class at a time gets a slot that no other
    /// tier can take; absent: four fifths of the first-token target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_wait_ms: Option<DurationMs>,
    /// The share of requests to be served within target; the rest is the error budget.
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
    /// The kind of a request that names none.
    pub default_kind: KindName,
    /// Output tokens a second, averaged over ten seconds; absent: no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_limit_tps: Option<TokensPerSecond>,
    /// Requests in flight in a pool; absent: no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrency_limit: Option<Slots>,
}

/// A request kind and the class it belongs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindConfig {
    /// The class of requests of this kind.
    pub class: ClassName,
    /// Customers that may use the kind; empty: all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<CustomerId>,
    /// Output tokens to expect before any were observed.
    #[serde(default = "default_expected_tokens")]
    pub expected_tokens: Tokens,
}

fn default_expected_tokens() -> Tokens {
    Tokens(200)
}

/// What a service is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A pool of model engines.
    Model,
    /// A plain HTTP service.
    Plain,
}

/// A service and its engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Model engines or plain workers.
    pub kind: ServiceKind,
    /// Models that callers may name, served by this pool; empty for plain services.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelName>,
    /// Whether the endpoints check fencing tokens of orders.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether the endpoints recognise a repeated idempotency key by themselves.
    #[serde(default)]
    pub deduplicates: bool,
    /// The workers.
    #[serde(default)]
    pub engine: BTreeMap<EndpointId, EngineConfig>,
    /// Routes of a plain service; the longest matching prefix holds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub route: Vec<RouteConfig>,
}

/// One worker of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineConfig {
    /// Its address.
    pub address: std::net::SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests that it can run at the same time.
    pub slots: Slots,
    /// Drained engines get no new work.
    #[serde(default)]
    pub drained: bool,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// Path prefix below the service, such as `/bookings`.
    pub prefix: String,
    /// Class of calls on the route.
    pub class: ClassName,
    /// Whether a call may be sent again when its outcome isn't known.
    #[serde(default)]
    pub repeatable: bool,
}

impl Document {
    /// The service whose engines serve `model`.
    pub fn service_of_model(&self, model: &str) -> Option<(&ServiceName, &ServiceConfig)> {
        self.service
            .iter()
            .find(|(_, service)| service.models.iter().any(|name| name.as_str() == model))
    }
}

impl ServiceConfig {
    /// The route of `path`: the longest prefix that matches.
    pub fn route_of(&self, path: &str) -> Option<&RouteConfig> {
        self.route
            .iter()
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}

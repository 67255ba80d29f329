//! The forwarding gateway, which forwards requests to endpoints unchanged.
//!
//! A [`ControlSource`] supplies routes, customers' keys and endpoints, and an adapter supplies the
//! names of headers ([`HeaderNames`]). This crate decides which endpoint gets a request, which
//! requests are sent again or refused, and whether the configuration is recent enough to act on
//! ([`decisions`]). It owns no state that outlives the process.
//!
//! This module exports what other crates may use; everything else is private. Dependencies go in one
//! direction, from the bottom: plain types (`prompt`, `route`, `work_by_endpoint`), `decisions`,
//! `endpoints`, `control`, the `gateway` with its components, and on top `requests`, `forwarding`,
//! `replication`, `duties` and `lifecycle`, which act.

mod clock;
mod control;
mod counter;
pub mod decisions;
mod duties;
mod endpoints;
mod forwarding;
mod gateway;
mod header_names;
mod lifecycle;
mod metrics;
mod prompt;
mod replication;
mod requests;
mod route;
mod settings;
mod sockets;
mod unreadable_headers;
mod work_by_endpoint;

// The tasks of the daemon, which the command starts.
pub use bridgevane_client_limits::RequestBody;
pub use duties::holder::run as hold_duties;
pub use duties::reporter::{report_final as report_final_usage, run as report_usage};
pub use gateway::Gateway;
pub use header_names::HeaderNames;
pub use lifecycle::readiness::run as serve_readiness;
pub use lifecycle::stop::run as stop_gracefully;
pub use lifecycle::suspension::run as watch_suspension;
pub use lifecycle::try_log::run as log_try_counts;
pub use replication::follow::run as follow_control_source;
pub use replication::proof_on_demand::run as prove_on_demand;
pub use replication::quarantine_writer::run as store_quarantine;
pub use replication::server::run as serve_peers;
pub use replication::version_registrar::run as register_versions;
pub use requests::client_listener::run as serve_clients;
pub use settings::{DutySettings, GatewaySettings};

// The interfaces and types that the adapter of a platform implements and fills in.
pub use control::holder_record::HolderRecord;
pub use control::quarantine_store::QuarantineStore;
pub use control::routing_table::{RoutingParts, RoutingTable};
pub use control::source::{
    Change, Changes, ControlSource, FullState, ReadProgress, RecordFault, Revision, SourceEra,
    SourceError, SourceRecord,
};
pub use control::version_registry::{VersionRecordWrite, VersionStore, VersionWrite};
pub use duties::api::{
    Credentials, DutyCallError, DutyKey, DutyPlatform, DutyStore, LeaseId, LeaseRenewal, Put,
    StoredValue, Transaction, TransactionOutcome,
};
pub use endpoints::connection::{Closing, Connection, SendError};
pub use endpoints::endpoint::EndpointRecord;
pub use route::{
    ClientLimits, Customer, EngineSpec, Repeatability, Route, RouteTarget, Service, StreamPolicy,
};
pub use sockets::{accept, set_options};

// State that tests and benchmarks of the rules set up.
pub use clock::{Clock, ClockScript};
pub use control::patch::{Patch, PatchDoesNotFit};
pub use control::replica::{ChangedValue, Replica, ReplicaUpdate};
pub use decisions::resend::retry_budget::RetryRounding;
pub use duties::usage_tracker::UsageTracker;
pub use endpoints::directory::ServiceEndpoints;
pub use endpoints::endpoint::Endpoint;
pub use endpoints::health::EndpointHealth;
pub use endpoints::load::EndpointLoad;
pub use endpoints::pace_state::PaceState;
pub use endpoints::prompt_locations::PromptLocations;
pub use endpoints::rate_limit::RateLimitState;
pub use endpoints::selection::{Selected, SelectionRequest, VersionFilter, select_endpoint};
pub use forwarding::daemons::{ChosenDaemon, Daemons};
pub use prompt::{Prompt, PromptPart};
pub use replication::message::{MessageError, decode_update, encode_update, encode_update_parts};
pub use replication::work_reports::WorkReports;
pub use requests::begun_streams::{BegunStream, BegunStreams, StreamCursor, StreamHash};
pub use requests::quarantine::Quarantine;
pub use requests::retry_budgets::RetryBudgets;
pub use work_by_endpoint::{EndpointHash, Work, WorkByEndpoint};

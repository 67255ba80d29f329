//! The forwarding gateway: requests are passed to endpoints as they came.
//!
//! A [`ControlSource`] supplies routes, customers' keys and endpoints, and an adapter supplies the
//! names of headers ([`HeaderNames`]). This package decides which endpoint gets a request, what
//! may be sent again, what is refused, and whether the configuration is recent enough to act on.
//! It relies on nothing that outlives the process.
//!
//! What other packages may use is listed here; everything else is the crate's own.

mod clock;
mod control;
mod counter;
pub mod decisions;
mod endpoints;
mod gateway;
mod header_names;
mod lifecycle;
mod metrics;
mod pending_prefill;
mod replication;
mod requests;
mod settings;
mod sockets;

pub use control::patch::{Patch, PatchDoesNotFit};
pub use control::replica::{Outcome, Replica, Update};
pub use control::routing::{
    ClientLimits, Customer, Repeatability, Route, RouteTarget, RoutingParts, RoutingTable, Service,
    StreamPolicy,
};
pub use control::source::{
    Change, Changes, ControlSource, FullState, Revision, SourceError, SourceRecord,
};
pub use endpoints::connection::Connection;
pub use endpoints::directory::ServiceEndpoints;
pub use endpoints::endpoint::{Endpoint, EndpointRecord};
pub use endpoints::health::{Health, Trust};
pub use endpoints::idle_connections::resting_at_most;
pub use endpoints::load::{EndpointLoad, ReportedLoad};
pub use gateway::Gateway;
pub use header_names::HeaderNames;
pub use lifecycle::readiness::run as serve_readiness;
pub use lifecycle::stop::run as stop_gracefully;
pub use pending_prefill::{EndpointHash, PendingPrefill};
pub use replication::follow::run as follow_control_source;
pub use replication::message::{MessageError, put_update, take_update};
pub use replication::pending_reports::PendingReports;
pub use replication::server::run as serve_peers;
pub use requests::front::run as serve_clients;
pub use requests::inbound::{Prompt, PromptPart};
pub use settings::GatewaySettings;
pub use sockets::accept;

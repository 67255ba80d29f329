//! The link to an endpoint that requests are sent to.

use bridgevane_adapters::{HttpEngine, HttpPlainService};
use bridgevane_types::EndpointId;
use std::net::SocketAddr;

/// The adapters for one endpoint of a service; the service's kind decides which of the two is used.
#[derive(Debug)]
pub struct EndpointLink {
    /// The endpoint's name.
    pub name: EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The adapter for a model engine.
    pub model: HttpEngine,
    /// The adapter for a worker of a plain service.
    pub plain: HttpPlainService,
}

impl EndpointLink {
    /// Creates the link to the endpoint at `address`.
    pub fn new(name: EndpointId, address: SocketAddr) -> Self {
        Self {
            name,
            address,
            model: HttpEngine::new(address),
            plain: HttpPlainService::new(address),
        }
    }
}

//! A worker that requests are sent to.

use bridgevane_adapters::{HttpEngine, HttpPlainService};
use bridgevane_types::EndpointId;
use std::net::SocketAddr;

/// One worker of a service; the service's kind says which of the two adapters is used.
#[derive(Debug)]
pub struct EndpointLink {
    /// Name.
    pub name: EndpointId,
    /// Address.
    pub address: SocketAddr,
    /// As a model engine.
    pub model: HttpEngine,
    /// As a worker of a plain service.
    pub plain: HttpPlainService,
}

impl EndpointLink {
    /// The worker at `address`.
    pub fn new(name: EndpointId, address: SocketAddr) -> Self {
        Self {
            name,
            address,
            model: HttpEngine::new(address),
            plain: HttpPlainService::new(address),
        }
    }
}

//! The Prometheus page of `opentelemetry` instruments, used by both programs.
//!
//! Each page has its own registry, so that the names of two pages in one process don't collide.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// A meter and the Prometheus page of its instruments.
#[derive(Clone)]
pub(crate) struct MetricsPage {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MetricsPage {
    /// Creates an empty page.
    pub fn new() -> Self {
        let registry = Registry::new();
        // A new registry has no names that could collide.
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self { registry, provider }
    }

    /// Returns the meter of all instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("bridgevane")
    }

    /// Returns the text of the page.
    pub fn text(&self) -> String {
        let mut page = Vec::new();
        // Writing to memory can't fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut page);
        String::from_utf8_lossy(&page).into_owned()
    }
}

impl Default for MetricsPage {
    fn default() -> Self {
        Self::new()
    }
}

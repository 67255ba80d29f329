//! A Prometheus page of `opentelemetry` instruments, for both programs.
//!
//! Each page has a registry of its own, so that two of them in one process don't share names.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// A meter whose instruments are shown as a Prometheus page.
#[derive(Clone)]
pub(crate) struct MetricsPage {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MetricsPage {
    /// An empty page.
    pub fn new() -> Self {
        let registry = Registry::new();
        // A fresh registry has no name that could clash.
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a fresh registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self { registry, provider }
    }

    /// The meter of all instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("bridgevane")
    }

    /// The page.
    pub fn text(&self) -> String {
        let mut page = Vec::new();
        // Writing into memory doesn't fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut page);
        String::from_utf8_lossy(&page).into_owned()
    }
}

impl Default for MetricsPage {
    fn default() -> Self {
        Self::new()
    }
}

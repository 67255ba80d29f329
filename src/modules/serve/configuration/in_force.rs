//! The configuration in force on this VM, read without locks.

use arc_swap::ArcSwapOption;
use bridgevane_config::{CustomerConfig, Document};
use bridgevane_types::{ConfigVersion, CustomerId};
use std::collections::HashMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_128;

/// A version of the configuration with the indexes that requests need.
#[derive(Debug)]
pub struct InForce {
    /// The version.
    pub version: ConfigVersion,
    /// The document.
    pub document: Document,
    customer_of_digest: HashMap<String, CustomerId>,
}

impl InForce {
    /// Indexes `document`.
    pub fn new(version: ConfigVersion, document: Document) -> Self {
        let mut customer_of_digest = HashMap::new();
        for (name, customer) in &document.customer {
            for digest in &customer.key_digest {
                customer_of_digest.insert(digest.to_ascii_lowercase(), name.clone());
            }
        }
        Self {
            version,
            document,
            customer_of_digest,
        }
    }

    /// The customer whose bearer key is `key`.
    pub(crate) fn customer_of_key(&self, key: &str) -> Option<(&CustomerId, &CustomerConfig)> {
        let name = self.customer_of_digest.get(&key_digest(key))?;
        self.document.customer.get_key_value(name)
    }
}

/// The digest under which the configuration knows a bearer key.
pub fn key_digest(key: &str) -> String {
    format!("{:032x}", xxh3_128(key.as_bytes()))
}

/// The version in force; it only rises.
#[derive(Debug, Default)]
pub struct ConfigInForce {
    current: ArcSwapOption<InForce>,
}

impl ConfigInForce {
    /// The configuration, once there is one.
    pub fn load(&self) -> Option<Arc<InForce>> {
        self.current.load_full()
    }

    /// Puts a version in force unless the one in force is as new; true when it was put.
    pub fn advance(&self, next: InForce) -> bool {
        let next = Arc::new(next);
        let previous = self.current.rcu(|current| match current {
            Some(current) if current.version >= next.version => Some(current.clone()),
            _ => Some(next.clone()),
        });
        previous.is_none_or(|previous| previous.version < next.version)
    }
}

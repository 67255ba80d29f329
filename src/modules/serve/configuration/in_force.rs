//! The configuration in force: the version that this VM's requests use, read without locks.

use arc_swap::ArcSwapOption;
use bridgevane_config::{CustomerConfig, Document};
use bridgevane_types::{ConfigVersion, CustomerId};
use std::collections::HashMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_128;

/// A version of the configuration with the index by which requests find their customer.
#[derive(Debug)]
pub struct InForce {
    /// The version's number, which rises with each accepted change.
    pub version: ConfigVersion,
    /// The complete configuration of this version.
    pub document: Document,
    customer_of_digest: HashMap<String, CustomerId>,
}

impl InForce {
    /// Creates the version, and the index of the customers' bearer keys.
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

    /// Returns the customer whose bearer key is `key`.
    pub(crate) fn customer_of_key(&self, key: &str) -> Option<(&CustomerId, &CustomerConfig)> {
        let name = self.customer_of_digest.get(&key_digest(key))?;
        self.document.customer.get_key_value(name)
    }
}

/// Returns the digest of a bearer key, as it is stored in the configuration.
pub fn key_digest(key: &str) -> String {
    format!("{:032x}", xxh3_128(key.as_bytes()))
}

/// The configuration in force. Its version only rises.
#[derive(Debug, Default)]
pub struct ConfigInForce {
    current: ArcSwapOption<InForce>,
}

impl ConfigInForce {
    /// Returns the configuration in force, once there is one.
    pub fn load(&self) -> Option<Arc<InForce>> {
        self.current.load_full()
    }

    /// Puts `next` in force if it is newer than the version in force; returns whether it was.
    pub fn advance(&self, next: InForce) -> bool {
        let next = Arc::new(next);
        let previous = self.current.rcu(|current| match current {
            Some(current) if current.version >= next.version => Some(current.clone()),
            _ => Some(next.clone()),
        });
        previous.is_none_or(|previous| previous.version < next.version)
    }
}

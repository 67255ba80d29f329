//! Identifiers.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Declares an identifier that is a short shared text.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text`.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::convert::Infallible;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok(Self::new(text))
            }
        }
    };
}

/// Declares an identifier that is a number.
macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, FromStr, Into,
            PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

text_id!(
    /// A service class, such as `booking`.
    ClassName
);
text_id!(
    /// A customer's identifier. Limits and usage are counted per customer.
    CustomerId
);
text_id!(
    /// A data centre, such as `curepipe`.
    DataCentreId
);
text_id!(
    /// The version of an endpoint's software, such as `v1.2`; not of a model's weights.
    SoftwareVersion
);
text_id!(
    /// The identifier of an endpoint: a model engine or a worker of a plain service. A later process,
    /// which is another incarnation, may have the same identifier.
    EndpointId
);
text_id!(
    /// A key that a client chooses for a call that must not run twice.
    IdempotencyKey
);
text_id!(
    /// A request kind, such as `term-report`.
    KindName
);
text_id!(
    /// A model that clients request by name.
    ModelName
);
text_id!(
    /// An operator's operation. The operator's client chooses the identifier, so that the operation can
    /// be sent again without running twice.
    OperationId
);
text_id!(
    /// A named operator.
    OperatorName
);
text_id!(
    /// A region: a group of data centres, such as `mu-central`.
    RegionId
);
text_id!(
    /// A service: a pool of engines, or a plain service.
    ServiceName
);
text_id!(
    /// A VM that runs the daemon.
    VmId
);

number_id!(
    /// The number of an attempt to run a request; the first is 0.
    AttemptNumber
);
number_id!(
    /// The version of the configuration; it only increases.
    ConfigVersion
);
number_id!(
    /// A fencing token: the revision of the lease under which an order is sent.
    FenceToken
);
number_id!(
    /// The number of an incarnation of a VM. A later incarnation under the same name or address has
    /// a higher number.
    Incarnation
);

/// A request's identifier: unique across all daemons, shown to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl std::fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "req-{:032x}", self.0)
    }
}

impl std::str::FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_prefix("req-").unwrap_or(text);
        u128::from_str_radix(digits, 16).map(Self)
    }
}

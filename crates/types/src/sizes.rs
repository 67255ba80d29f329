//! Sizes, shares and rates.

use derive_more::{Add, AddAssign, Display, From, FromStr, Into, Sub, Sum};
use serde::{Deserialize, Serialize};

/// Declares an integer count.
macro_rules! count {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, FromStr, Into, Add, AddAssign, Sub, Sum,
            PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    };
}

/// Declares a rate or a share.
macro_rules! ratio {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, FromStr, Into,
            PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub f64);
    };
}

count!(
    /// A number of bytes.
    Bytes, u64
);
count!(
    /// A number of model tokens; a plain call counts as one token.
    Tokens, u64
);
count!(
    /// The number of requests that an engine runs at the same time.
    Slots, u32
);
count!(
    /// A class's tier; 0 is the highest priority.
    Tier, u8
);
ratio!(
    /// Bytes per second.
    BytesPerSecond
);
ratio!(
    /// Calls per second.
    CallsPerSecond
);
ratio!(
    /// Requests per second.
    RequestsPerSecond
);
ratio!(
    /// A part of a whole, from 0 to 1.
    Share
);
ratio!(
    /// Tokens per second.
    TokensPerSecond
);

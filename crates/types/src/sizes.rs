//! Sizes, shares and rates.

use derive_more::{Add, AddAssign, Display, From, FromStr, Into, Sub, Sum};
use serde::{Deserialize, Serialize};

/// Declares a count of something.
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
    /// A number of model tokens; a plain call counts as one.
    Tokens, u64
);
count!(
    /// Requests that an engine runs at the same time.
    Slots, u32
);
count!(
    /// A class's tier: 0 is the most important.
    Tier, u8
);
ratio!(
    /// Bytes a second.
    BytesPerSecond
);
ratio!(
    /// Calls a second.
    CallsPerSecond
);
ratio!(
    /// Requests a second.
    RequestsPerSecond
);
ratio!(
    /// A part of a whole, from 0 to 1.
    Share
);
ratio!(
    /// Tokens a second.
    TokensPerSecond
);

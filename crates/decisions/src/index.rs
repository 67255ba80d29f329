//! Integer indexes that replace names while a request is processed.

use derive_more::Display;

/// Declares an index type.
macro_rules! index {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the position in a vector.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index!(
    /// The index of a class of a pool.
    ClassIx, u16
);
index!(
    /// The index of a customer.
    CustomerIx, u32
);
index!(
    /// The index of an endpoint of a pool or a service.
    EndpointIx, u32
);
index!(
    /// The index of a request kind.
    KindIx, u16
);

//! Small indexes in place of names on the path of a request.

use derive_more::Display;

/// Declares an index.
macro_rules! index {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl $name {
            /// As an index of a vector.
            pub fn at(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index!(
    /// A class of a pool.
    ClassIx, u16
);
index!(
    /// A customer.
    CustomerIx, u32
);
index!(
    /// An endpoint of a pool or a service.
    EndpointIx, u32
);
index!(
    /// A request kind.
    KindIx, u16
);

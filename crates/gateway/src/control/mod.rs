//! What the control source says: routes, customers and endpoints, and how recent that is.

pub(crate) mod patch;
pub(crate) mod replica;
pub(crate) mod routing;
pub(crate) mod source;
pub(crate) mod view;

//! Settings of the coordination primitives.

mod call_budget;
mod key_registry;
mod membership;

pub use call_budget::CallBudgetConfig;
pub use key_registry::KeyRegistryConfig;
pub use membership::MembershipConfig;

//! Duties: calls to the platform that one daemon makes for the whole fleet.
//!
//! | question | module |
//! |---|---|
//! | which daemon may hold the duties, and until when may it act? | [`tenure`] |
//! | from which state does a new holder continue? | [`succession`] |
//! | to which window does a time belong, and when is its usage due? | [`usage_window`] |
//! | does a run count as usage, and from when? | [`usage_start`] |
//! | which counts does a daemon report to the holder? | [`unreported_usage`] |
//! | how many requests did the fleet start in a window, and are all counted? | [`usage_collection`] |
//! | what does a successor need to know? | [`duty_state`] |
//! | how many engines does a service need? | [`engine_need`] |
//! | how many engines of which kind should run in each data centre? | [`engine_plan`] |
//! | which order is placed next? | [`engine_orders`] |
//!
//! Daemons agree on nothing among themselves: the platform's store decides which one holds the
//! duties, by a key under a lease (docs/design/16). Why no two reports of a window differ: docs/design/30.

pub mod duty_state;
pub mod engine_need;
pub mod engine_orders;
pub mod engine_plan;
pub mod succession;
pub mod tenure;
pub mod unreported_usage;
pub mod usage_collection;
pub mod usage_counts;
pub mod usage_ledger;
pub mod usage_start;
pub mod usage_window;

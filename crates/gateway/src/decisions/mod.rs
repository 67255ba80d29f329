//! The rules that choose, admit, shed, retry and give up, and nothing else.
//!
//! A rule takes typed values and gives a typed verdict. It reads no clock, takes no lock, logs
//! nothing and counts nothing: the code around it gathers the inputs, carries the verdict out and
//! logs both. Each module says what it decides, from what, why, and which measurement set its
//! constants; a commit named there is in this repository's history.
//!
//! | question | module |
//! |---|---|
//! | is the configuration recent enough to act on? | [`admission::freshness`] |
//! | is the body too large, now or ever? | [`admission::body_limits`] |
//! | which of a route's services gets the request? | [`admission::traffic_split`] |
//! | which request goes first? | [`admission::priority`] |
//! | is it refused now rather than served late? | [`admission::load_shedding`] |
//! | what does the client read, and when may it come back? | [`admission::refusal`] |
//! | which endpoint gets it? | [`endpoint::placement`] |
//! | in which regions may it be served? | [`eligibility::region_limits`] |
//! | which of many endpoints that cost the same? | [`endpoint::tie_break`] |
//! | where do prompts that share a prefix go? | [`endpoint::prompt_affinity`] |
//! | which cached part of a prompt does an engine take from another? | [`endpoint::cache_fetch`] |
//! | which engines are reserved for streams? | [`endpoint::stream_reservation`] |
//! | how long would it wait there? | [`endpoint::queue_delay`] |
//! | how long does reported load count? | [`endpoint::load_report`] |
//! | is the endpoint still there? | [`endpoint::silence`] |
//! | which endpoint gets no work for a while? | [`endpoint::ejection`] |
//! | which endpoints does an evacuation leave out? | [`eligibility::evacuation`] |
//! | how many requests does a cold endpoint get? | [`eligibility::cold_start`] |
//! | which endpoints leave, and get nothing new? | [`eligibility::leaving`] |
//! | how many requests does an endpoint get that names a limit? | [`eligibility::rate_limit`] |
//! | which endpoints rest, and when may a refused request come back? | [`eligibility::rest`] |
//! | which connections are kept and used again? | [`endpoint::idle_connections`] |
//! | may the request be sent again, and why not? | [`resend`] |
//! | when is a second endpoint asked while the first is silent? | [`resend::hedging`] |
//! | how many retries may all daemons make together? | [`resend::retry_budget`] |
//! | which requests end the endpoints that run them, and are stopped? | [`bridgevane_decisions::crash_count`] |
//! | whom does this daemon follow? | [`replication::upstream`] |
//! | who may follow this daemon? | [`replication::followers`] |
//! | how many daemons are there? | [`replication::fleet_size`] |
//! | is an endpoint gone, or was its record only lost in an outage? | [`replication::record_expiry`] |
//! | who makes the platform's calls for the whole fleet, and until when? | [`duties::tenure`] |
//! | when is a window's usage told, and with which counts? | [`duties::usage_window`], [`duties::usage_collection`] |
//! | how many engines are ordered, where, and when? | [`duties::engine_plan`], [`duties::engine_orders`] |

pub mod admission;
pub mod duties;
pub mod eligibility;
pub mod endpoint;
pub mod replication;
pub mod resend;

//! The rules that choose an endpoint, admit, shed, retry and refuse requests.
//!
//! A rule takes typed values and returns a typed verdict. It reads no clock, takes no lock, writes
//! no log and counts no metric: the calling code gathers the inputs, carries out the verdict and
//! logs both. Each module states its inputs, its rules and the reason for them.
//!
//! | question | module |
//! |---|---|
//! | is the configuration recent enough to act on? | [`admission::freshness`] |
//! | is the body too large, for now or for good? | [`bridgevane_client_limits::body_limits`] |
//! | which of a route's services gets the request? | [`admission::traffic_split`] |
//! | which request goes first? | [`admission::priority`] |
//! | is the request refused now instead of served late? | [`admission::load_shedding`] |
//! | what does the client receive, and when may it retry? | [`admission::refusal`] |
//! | which endpoint gets the request? | [`endpoint::placement`] |
//! | in which regions may it be served? | [`eligibility::region_limits`] |
//! | which of many endpoints with equal cost? | [`endpoint::tie_break`] |
//! | where do prompts that share a prefix go? | [`endpoint::prompt_affinity`] |
//! | which cached part of a prompt does an engine fetch from another? | [`endpoint::cache_fetch`] |
//! | how fast is an engine, compared with the others? | [`endpoint::engine_pace`] |
//! | how fast do a service's engines read and fetch prompts? | [`endpoint::engine_rates`] |
//! | which engines are kept for streams that must not pause? | [`endpoint::quiet_engines`] |
//! | how long would the request wait at an endpoint? | [`endpoint::queue_delay`] |
//! | for how long is reported load valid? | [`endpoint::load_report`] |
//! | does the endpoint still respond? | [`endpoint::silence`] |
//! | which endpoint gets no requests for a while? | [`endpoint::ejection`] |
//! | which endpoints does an evacuation exclude? | [`eligibility::evacuation`] |
//! | how many requests does a cold endpoint get? | [`eligibility::cold_start`] |
//! | which endpoints are leaving and get no new requests? | [`eligibility::leaving`] |
//! | how many requests does an endpoint get that announces a limit? | [`eligibility::rate_limit`] |
//! | which requests does a brittle endpoint get? | [`eligibility::brittle`] |
//! | at which software version does a stream begin and go on? | [`eligibility::stream_version`] |
//! | which software versions does the source's record of a host name? | [`eligibility::version_registration`] |
//! | which endpoints asked this daemon to back off, and when may a refused request be retried? | [`eligibility::backoff`] |
//! | does this daemon reach a service at all? | [`endpoint::reachability`] |
//! | which request goes through another daemon, and through which one? | [`forwarding`] |
//! | which connections are kept and reused? | [`endpoint::idle_connections`] |
//! | may the request be sent again, and if not, why? | [`resend`] |
//! | when is a second endpoint asked while the first is silent? | [`resend::hedging`] |
//! | how many retries may all daemons make together? | [`resend::retry_budget`] |
//! | which requests and parts of prompts crash endpoints, and are stopped? | [`bridgevane_decisions::crash_count`] |
//! | which upstream does this daemon follow? | [`replication::upstream`] |
//! | which daemons may follow this daemon? | [`replication::followers`] |
//! | how many daemons are there? | [`replication::fleet_size`] |
//! | is an endpoint gone, or was its record only lost in an outage? | [`replication::record_expiry`] |
//! | which daemon makes the platform's calls for the whole fleet, and until when? | [`duties::tenure`] |
//! | when is a window's usage reported, and with which counts? | [`duties::usage_window`], [`duties::usage_collection`] |
//! | how many engines are ordered, where, and when? | [`duties::engine_plan`], [`duties::engine_orders`] |

pub mod admission;
pub mod duties;
pub mod eligibility;
pub mod endpoint;
pub mod forwarding;
pub mod replication;
pub mod resend;

//! The names of headers that the gateway reads and writes, filled in by the adapter of a platform.
//!
//! The gateway itself knows no header of a platform by name.

use http::HeaderName;

/// Header names.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one try of a client, on requests and answers.
    pub request_id: HeaderName,
    /// How long the sender will wait, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Parts of a prompt with their sizes in tokens.
    pub prompt_parts: HeaderName,
    /// The last event that a client has of a stream.
    pub last_event_id: HeaderName,
    /// The customer that a key belongs to.
    pub customer: HeaderName,
    /// The endpoint that a request is meant for; any other refuses it.
    pub expected_endpoint: HeaderName,
    /// An endpoint's load, on its answers.
    pub load: HeaderName,
    /// On an endpoint's answers while it is so: requests a second that it takes from all daemons together.
    pub rate_limit: HeaderName,
    /// On all answers of an endpoint that leaves: "1".
    pub leaving: HeaderName,
    /// On an answer: the endpoint did not run the request.
    pub not_executed: HeaderName,
    /// Tokens of the prompt, and the most of the answer.
    pub token_counts: HeaderName,
    /// The request's priority at an engine; 0 goes first.
    pub priority: HeaderName,
    /// Another engine that keeps parts of the prompt: take them from there.
    pub cache_source: HeaderName,
    /// Headers that only the system itself may set: never taken from a client.
    pub reserved: Vec<HeaderName>,
    /// The word before a key in `Authorization`.
    pub key_scheme: &'static str,
}

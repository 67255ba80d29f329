//! The names of headers that carry what the gateway reads and writes.

use http::HeaderName;

/// Header names, filled in by the adapter of the platform that the daemon runs on.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a client, on requests and answers.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// Parts of a prompt with their sizes.
    pub prompt_parts: HeaderName,
    /// The last event that a client has of a stream.
    pub last_event_id: HeaderName,
    /// The customer that holds the key.
    pub customer: HeaderName,
    /// The endpoint that a request is meant for.
    pub expected_endpoint: HeaderName,
    /// An endpoint's load on its answers.
    pub load: HeaderName,
    /// On an answer: the endpoint did not run the request.
    pub not_executed: HeaderName,
    /// Tokens of the prompt and most tokens of the answer.
    pub token_counts: HeaderName,
    /// How urgent the request is for an engine.
    pub urgency: HeaderName,
    /// Headers that only the system itself may set: never taken from a client.
    pub reserved: Vec<HeaderName>,
    /// The word before a key in `Authorization`.
    pub key_scheme: &'static str,
}

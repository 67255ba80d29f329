//! The names of the headers that the gateway reads and writes, supplied by the adapter of a
//! platform.
//!
//! The gateway itself contains no header names of a platform.

use http::HeaderName;

/// The names of the headers that the gateway reads and writes.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a client, on requests and answers.
    pub request_id: HeaderName,
    /// On answers: the endpoint's signature of a success. A success without it isn't the endpoint's.
    pub signature: HeaderName,
    /// How long the sender will wait for the answer, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The parts of a prompt with their sizes in tokens.
    pub prompt_parts: HeaderName,
    /// The last event of a stream that was received; the stream is resumed after it.
    pub last_event_id: HeaderName,
    /// On a request that takes up a stream: the identifier of the attempt that brought the stream's
    /// first event.
    pub resumes: HeaderName,
    /// On requests to endpoints: the customer that the client's key belongs to.
    pub customer: HeaderName,
    /// The endpoint that a request is meant for; any other endpoint refuses it.
    pub expected_endpoint: HeaderName,
    /// On answers: the endpoint's load.
    pub load: HeaderName,
    /// On answers of an endpoint while it has a limit: the requests per second that it accepts from
    /// all daemons together.
    pub rate_limit: HeaderName,
    /// On all answers of an endpoint that is brittle: the number of requests that it can turn away in
    /// a second, from all daemons together, before it crashes.
    pub brittle: HeaderName,
    /// On all answers of an endpoint that is leaving: "1".
    pub leaving: HeaderName,
    /// On answers: the endpoint did not run the request.
    pub not_executed: HeaderName,
    /// The number of tokens of the prompt, and the maximum of the answer.
    pub token_counts: HeaderName,
    /// The request's priority at an engine; 0 is the highest.
    pub priority: HeaderName,
    /// Another engine that has parts of the prompt in its cache, to fetch them from.
    pub cache_source: HeaderName,
    /// Headers that only the system itself may set; they are removed from clients' requests.
    pub reserved: Vec<HeaderName>,
    /// Headers between client and endpoint, which pass even if their sender lists them in
    /// `Connection`.
    pub end_to_end: Vec<HeaderName>,
    /// The scheme before the key in `Authorization`.
    pub key_scheme: &'static str,
}

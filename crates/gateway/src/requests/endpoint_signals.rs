//! The signals in an endpoint's answers besides its load: a rate limit, the announcements that it is
//! brittle or leaving, and a back-off. They are read from the head of each answer, kept with this incarnation
//! of the endpoint, and logged when they change.
//!
//! Owns nothing. Only answers to the request that was sent count: an answer to another request, or
//! from another endpoint at the same address, says nothing about this endpoint.

use crate::decisions::eligibility::rate_limit::AnnouncedLimit;
use crate::endpoints::endpoint::Endpoint;
use crate::header_names::HeaderNames;
use crate::metrics::GatewayMetrics;
use crate::requests::response_head;
use crate::unreadable_headers::HeaderReader;
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, RequestsPerSecond, TimeMs};
use derive_more::Display;
use http::StatusCode;
use rand::RngExt;

/// The origin of an answer: its endpoint, and when the request was sent and answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerOrigin<'a> {
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) metrics: &'a GatewayMetrics,
    /// When the request was sent.
    pub(crate) sent_at: TimeMs,
    pub(crate) now: TimeMs,
}

/// The signals of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EndpointSignals {
    limit: AnnouncedLimit,
    /// The rate of requests that may be turned away, if the endpoint is brittle.
    brittle: AnnouncedLimit,
    is_leaving: bool,
    backoff: Option<DurationMs>,
}

impl EndpointSignals {
    /// Reads the signals in the head of an answer.
    pub(crate) fn read(
        names: &HeaderNames,
        status: StatusCode,
        headers: &HeaderReader<'_>,
    ) -> Self {
        Self {
            limit: response_head::announced_limit(names, headers),
            brittle: response_head::brittle_permit_rate(names, headers),
            is_leaving: response_head::announces_leaving(names, headers),
            backoff: response_head::requested_backoff(names, status, headers),
        }
    }

    /// Applies the signals to the state of their endpoint.
    pub(crate) fn apply(self, origin: &AnswerOrigin<'_>) {
        self.apply_limit(origin);
        self.apply_brittle(origin);
        if self.is_leaving {
            on_leaving(origin);
        }
        if let Some(backoff) = self.backoff {
            on_backoff(origin, backoff);
        }
    }

    fn apply_brittle(self, origin: &AnswerOrigin<'_>) {
        let permits = &origin.endpoint.brittle.permits;
        let draw = || rand::rng().random();
        if let Some(rate) = permits.on_answer(origin.now, origin.sent_at, self.brittle, draw) {
            on_brittle_changed(origin.endpoint, rate, LimitObserver::ThisDaemon);
        }
    }

    fn apply_limit(self, origin: &AnswerOrigin<'_>) {
        let limits = &origin.endpoint.rate_limit;
        let draw = || rand::rng().random();
        let Some(limit) = limits.on_answer(origin.now, origin.sent_at, self.limit, draw) else {
            return;
        };
        let metrics = origin.metrics;
        on_limit_changed(origin.endpoint, metrics, limit, LimitObserver::ThisDaemon);
    }
}

/// The daemon that received an endpoint's rate limit. The text is for logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum LimitObserver {
    #[display("this daemon")]
    ThisDaemon,
    #[display("other daemons")]
    OtherDaemons,
}

/// Logs and counts a change of an endpoint's rate limit; `None` if the limit was withdrawn.
pub(crate) fn on_limit_changed(
    endpoint: &Endpoint,
    metrics: &GatewayMetrics,
    limit: Option<RequestsPerSecond>,
    observer: LimitObserver,
) {
    let record = endpoint.record.load();
    metrics.limit_changed(&record.service, limit.is_some());
    event!(
        Event::EndpointRateLimited,
        endpoint = record.id,
        service = record.service,
        requests_per_s = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string()),
        heard_by = observer
    );
}

/// Logs that an endpoint is brittle; `None` if it no longer is.
pub(crate) fn on_brittle_changed(
    endpoint: &Endpoint,
    permit_rate: Option<RequestsPerSecond>,
    observer: LimitObserver,
) {
    let record = endpoint.record.load();
    event!(
        Event::EndpointBrittle,
        endpoint = record.id,
        service = record.service,
        permits_per_s = permit_rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string()),
        heard_by = observer
    );
}

fn on_leaving(origin: &AnswerOrigin<'_>) {
    if origin.endpoint.mark_leaving() {
        let record = origin.endpoint.record.load();
        event!(
            Event::EndpointLeaves,
            endpoint = record.id,
            service = record.service,
            is_recorded = record.is_draining
        );
    }
}

fn on_backoff(origin: &AnswerOrigin<'_>, backoff: DurationMs) {
    if !origin.endpoint.start_backoff(origin.now, backoff) {
        return;
    }
    let record = origin.endpoint.record.load();
    origin.metrics.backoff_requested(&record.service);
    event!(
        Event::EndpointRests,
        endpoint = record.id,
        service = record.service,
        rest_ms = backoff
    );
}

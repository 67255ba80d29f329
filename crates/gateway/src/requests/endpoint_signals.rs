//! What an endpoint says of itself in its answers, beside its load: read from the head of each answer,
//! kept with this life of the endpoint, and logged when it changes.
//!
//! Owns nothing. Only answers to the request that was sent count: one that belongs to another request, or
//! comes from another endpoint at the address, says nothing of this one.

use crate::decisions::eligibility::rate_limit::NamedLimit;
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

/// An endpoint's answer, as far as its signals need it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heard<'a> {
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) metrics: &'a GatewayMetrics,
    /// When the request was sent.
    pub(crate) sent_at: TimeMs,
    pub(crate) now: TimeMs,
}

/// The signals of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EndpointSignals {
    limit: NamedLimit,
    is_leaving: bool,
    wanted_rest: Option<DurationMs>,
}

impl EndpointSignals {
    /// Reads the signals of an answer's head.
    pub(crate) fn read(
        names: &HeaderNames,
        status: StatusCode,
        headers: &HeaderReader<'_>,
    ) -> Self {
        Self {
            limit: response_head::named_limit(names, headers),
            is_leaving: response_head::says_it_leaves(names, headers),
            wanted_rest: response_head::wanted_rest(names, status, headers),
        }
    }

    /// Keeps the signals with their endpoint.
    pub(crate) fn take_in(self, heard: &Heard<'_>) {
        self.take_limit_in(heard);
        if self.is_leaving {
            on_leaving(heard);
        }
        if let Some(rest) = self.wanted_rest {
            on_rest_wanted(heard, rest);
        }
    }

    fn take_limit_in(self, heard: &Heard<'_>) {
        let limits = &heard.endpoint.rate_limit;
        let draw = || rand::rng().random();
        let Some(limit) = limits.on_answer(heard.now, heard.sent_at, self.limit, draw) else {
            return;
        };
        let metrics = heard.metrics;
        on_limit_heard(heard.endpoint, metrics, limit, LimitHeardBy::ThisDaemon);
    }
}

/// Who heard an endpoint name its limit. The text is for logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum LimitHeardBy {
    #[display("this daemon")]
    ThisDaemon,
    #[display("other daemons")]
    OtherDaemons,
}

/// Reports the limit that is in force now at an endpoint; none: there is none any more.
pub(crate) fn on_limit_heard(
    endpoint: &Endpoint,
    metrics: &GatewayMetrics,
    limit: Option<RequestsPerSecond>,
    heard_by: LimitHeardBy,
) {
    let record = endpoint.record.load();
    metrics.limit_heard(&record.service, limit.is_some());
    event!(
        Event::EndpointRateLimited,
        endpoint = record.id,
        service = record.service,
        requests_per_s = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string()),
        heard_by = heard_by
    );
}

fn on_leaving(heard: &Heard<'_>) {
    if heard.endpoint.leave() {
        let record = heard.endpoint.record.load();
        event!(
            Event::EndpointLeaves,
            endpoint = record.id,
            service = record.service,
            is_recorded = record.is_draining
        );
    }
}

fn on_rest_wanted(heard: &Heard<'_>, rest: DurationMs) {
    if !heard.endpoint.rest(heard.now, rest) {
        return;
    }
    let record = heard.endpoint.record.load();
    heard.metrics.rest_wanted(&record.service);
    event!(
        Event::EndpointRests,
        endpoint = record.id,
        service = record.service,
        rest_ms = rest
    );
}

//! The exchange of one request: selects endpoints until one answers or the request is refused.
//!
//! Owns the state of the request across its attempts. The rules for shedding, hedging and resending
//! are in [`crate::decisions`]; this module gathers their inputs, acts on the results and logs them.
//! [`stream_version`] restricts streams to a software version, [`outcome`] records what each attempt
//! shows about its endpoint, [`resending`] checks whether the request is sent again, and [`forwarding`]
//! sends it through another daemon, [`silence`] ends its wait for an endpoint that this daemon doesn't
//! reach.

mod forwarding;
mod outcome;
mod resending;
mod silence;
mod stream_version;

pub(crate) use outcome::AnswerTiming;
pub(crate) use resending::resend_text;

use crate::decisions::admission::load_shedding::{self, QueuedRequest};
use crate::decisions::admission::refusal::{NoEndpointLeft, Refusal, RefusalReason};
use crate::decisions::admission::stopping::{self, LateRequest};
use crate::decisions::eligibility::region_limits::RegionLimits;
use crate::decisions::eligibility::stream_version::VersionHash;
use crate::decisions::endpoint::quiet_engines::PauseTargets;
use crate::decisions::resend::{self, AttemptError, Failure, hedging};
use crate::endpoints::connection;
use crate::endpoints::directory::ServiceEndpoints;
use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::selection::{
    Selected, SelectionRequest, VersionFilter, select_endpoint, time_until_available,
};
use crate::gateway::Gateway;
use crate::requests::answer::Answer;
use crate::requests::attempt::{Attempt, EndpointAnswer, Hedge};
use crate::requests::begun_streams::StreamCursor;
use crate::requests::crash_check;
use crate::requests::inbound::InboundRequest;
use crate::requests::response_head;
use bridgevane_answer_limits::{AnswerBody, is_read_once_answered};
use bridgevane_events::{Event, event};
use bridgevane_types::{DataCentreId, DurationMs, TimeMs};
use bytes::{Bytes, BytesMut};
use http::{HeaderValue, response};
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// The largest answer that is buffered before it is forwarded. Answers of plain services have some
/// KB, and a daemon holds many at once.
const MAX_WHOLE_ANSWER_BYTES: usize = 256 * 1024;

/// The attempts for which a request that is forwarded is counted: more than a daemon makes.
const FORWARDED_ATTEMPTS: u32 = 64;

/// An answer that was read completely.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    pub(crate) head: response::Parts,
    pub(crate) body: Bytes,
}

/// An answer of a plain service.
#[derive(Debug)]
pub(crate) enum PlainAnswer {
    /// It was read completely.
    Whole(WholeAnswer),
    /// It is larger than what is buffered, and is forwarded while it is read.
    Large {
        answer: Answer,
        /// The part of the body that was read.
        read: Bytes,
    },
}

/// A report that a stream is about to begin.
#[derive(Clone, Copy, Debug)]
struct ReportedBegin {
    /// The position of the report.
    cursor: StreamCursor,
    /// The software version.
    version: VersionHash,
}

/// A request and the state of its attempts.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) inbound: InboundRequest,
    tried: Vec<Arc<Endpoint>>,
    /// The data centres in which the request found an endpoint unreachable or replaced.
    data_centres_with_lost_endpoints: Vec<DataCentreId>,
    /// The number of attempts that ran, or may have run.
    runs: u32,
    /// Whether the request was counted as its customer's usage.
    is_usage_counted: bool,
    /// The number of all attempts, here and at the daemon that forwarded the request. Those of a
    /// daemon that it is forwarded to are counted as [`FORWARDED_ATTEMPTS`].
    attempts: u32,
    /// The software versions at which it may run.
    versions: VersionFilter,
    /// The report of its last attempt, if other daemons have to know the version.
    reported: Option<ReportedBegin>,
    /// The daemons that it was forwarded to.
    daemons_asked: Vec<SocketAddr>,
    /// Whether its newest answer came through another daemon.
    was_forwarded: bool,
}

impl Exchange {
    pub(crate) fn new(gateway: Arc<Gateway>, inbound: InboundRequest) -> Self {
        let runs = inbound.origin.earlier_runs();
        let attempts = inbound.origin.earlier_attempts();
        Self {
            gateway,
            inbound,
            tried: Vec::new(),
            data_centres_with_lost_endpoints: Vec::new(),
            runs,
            // The daemon that began an earlier run has counted it.
            is_usage_counted: runs > 0,
            attempts,
            versions: VersionFilter::Any,
            reported: None,
            daemons_asked: Vec::new(),
            was_forwarded: false,
        }
    }

    /// Returns whether the newest answer came through another daemon.
    pub(crate) fn was_forwarded(&self) -> bool {
        self.was_forwarded
    }

    /// Sends a request whose answer is a stream, which may be one that the client takes up.
    pub(crate) async fn stream_answer(&mut self) -> Result<Answer, Refusal> {
        self.restrict_taken_up().await?;
        self.wait_for_active_version().await;
        self.dispatch(None).await
    }

    /// Sends the request until an endpoint answers it; `last_event_id` resumes a stream.
    pub(crate) async fn dispatch(
        &mut self,
        last_event_id: Option<&HeaderValue>,
    ) -> Result<Answer, Refusal> {
        loop {
            if let Some(answer) = self.forward_if_due(last_event_id).await? {
                return Ok(Answer::Daemon(Box::new(answer)));
            }
            let selected = self.select()?;
            self.check_queue_delay(&selected)?;
            match self.attempt(&selected, last_event_id).await {
                Ok(answer) if self.retries_server_error(&answer) => {}
                Ok(answer) => {
                    self.wait_until_reported().await;
                    return Ok(Answer::Endpoint(Box::new(answer)));
                }
                Err(error) => {
                    if error == AttemptError::Broken {
                        self.on_connection_broken(&selected.endpoint).await;
                    }
                    self.after_failed_attempt(&selected.endpoint, error)?;
                }
            }
        }
    }

    /// Sends the request and buffers the whole answer, unless it is large, so that an answer that
    /// breaks off can be retried before the client gets any of it.
    pub(crate) async fn plain_answer(&mut self) -> Result<PlainAnswer, Refusal> {
        loop {
            let mut answer = self.dispatch(None).await?;
            let reading = read_body(answer.body_mut(), MAX_WHOLE_ANSWER_BYTES);
            let error = match timeout(self.inbound.remaining(), reading).await {
                Ok(Ok((body, true))) => {
                    return Ok(PlainAnswer::Whole(self.finish_whole(answer, body)));
                }
                Ok(Ok((read, false))) => {
                    return Ok(PlainAnswer::Large { answer, read });
                }
                Ok(Err(error)) => connection::body_error(&error),
                Err(_) => AttemptError::TimedOut,
            };
            if error == AttemptError::Broken
                && let Some(endpoint) = answer.endpoint()
            {
                self.on_connection_broken(endpoint).await;
            }
            self.after_incomplete_answer(answer, error)?;
        }
    }

    /// Starts a crash check after a connection broke under the request: the request may have crashed
    /// the endpoint. A request under which an endpoint crashed before waits for the result.
    pub(crate) async fn on_connection_broken(&self, endpoint: &Arc<Endpoint>) {
        crash_check::begin(&self.gateway, endpoint, &self.inbound);
        if self.suspected_crashes() > 0 {
            crash_check::wait_until_finished(endpoint).await;
        }
    }

    /// Returns the highest number of endpoints that have crashed under the request or a part of its
    /// prompt, too few for a quarantine.
    fn suspected_crashes(&self) -> usize {
        let quarantine = &self.gateway.quarantine;
        quarantine.crashes(|| self.inbound.crash_suspects())
    }

    /// Returns whether the request is known to crash the endpoints that run it.
    fn is_quarantined(&self) -> bool {
        let suspects = || self.inbound.crash_suspects();
        self.gateway.quarantine.is_any_quarantined(suspects)
            || self.gateway.control.is_any_quarantined(suspects)
    }

    /// Checks that the request doesn't crash endpoints, that time is left, and that the configuration
    /// is recent enough to act on.
    fn check_may_send(&self) -> Result<(), RefusalReason> {
        if self.is_quarantined() {
            return Err(RefusalReason::EndsEndpoints);
        }
        if self.inbound.remaining() < resend::MIN_REMAINING {
            return Err(RefusalReason::out_of_time(self.runs));
        }
        if !self.gateway.control.freshness().may_serve() {
            return Err(RefusalReason::NotReady.or_unknown_if_run(self.runs));
        }
        if !self.may_begin() {
            return Err(RefusalReason::Stopping);
        }
        Ok(())
    }

    /// Returns whether the request was begun, or may be in spite of a stop.
    fn may_begin(&self) -> bool {
        let Some(ends_at) = self.gateway.shutdown.ends_at() else {
            return true;
        };
        let route = &self.inbound.route;
        let remaining = self.inbound.remaining();
        self.runs > 0
            || stopping::may_begin(LateRequest {
                until_end: ends_at.since(self.gateway.clock.now()),
                until_limit: DurationMs(remaining.as_millis() as u64),
                may_run_again: route.may_run_again(),
                is_stream: route.stream.is_some(),
            })
    }

    /// Selects an endpoint if the request may be sent.
    fn select(&mut self) -> Result<Selected, Refusal> {
        self.check_may_send()?;
        self.refresh_version_filter();
        let directory = self.gateway.control.directory();
        let service = directory.service(&self.inbound.service);
        let service = service.ok_or(RefusalReason::NoEndpoint.or_unknown_if_run(self.runs))?;
        self.check_version_served(service)?;
        self.refresh_profile(service);
        let request = self.selection_request();
        let selected = select_endpoint(&self.gateway.prompt_locations, request, service);
        selected.ok_or_else(|| {
            Refusal::no_endpoint_left(NoEndpointLeft {
                was_tried: !self.tried.is_empty(),
                may_be_cold: request.cold.is_some(),
                time_until_available: time_until_available(&request, service),
                runs: self.runs,
            })
        })
    }

    /// Refreshes what is known of the service's engines, if that is due. Endpoints of plain services
    /// are chosen without it.
    fn refresh_profile(&self, service: &ServiceEndpoints) {
        if self.inbound.prompt.is_empty() {
            return;
        }
        let gateway = &self.gateway;
        let (now, name) = (gateway.clock.now(), &self.inbound.service);
        let profiles = &gateway.engine_profiles;
        profiles.refresh(now, name, service, &self.pause_targets(), &gateway.metrics);
    }

    /// Returns the pause targets of the routes that lead to the service.
    fn pause_targets(&self) -> PauseTargets {
        let table = self.gateway.control.routing_table();
        table.map_or_else(PauseTargets::default, |table| {
            table.pause_targets(&self.inbound.service)
        })
    }

    fn selection_request(&self) -> SelectionRequest<'_> {
        let now = self.gateway.clock.now();
        let table = self.gateway.control.routing_table();
        let service = &self.inbound.service;
        let prompt = &self.inbound.prompt;
        let profiles = &self.gateway.engine_profiles;
        let rates = profiles.rates(now, table.as_deref(), service);
        let pause_target = self.inbound.route.pause_target();
        let needs_quiet = !prompt.is_empty()
            && self
                .pause_targets()
                .needs_quiet(pause_target, prompt, &rates);
        SelectionRequest {
            now,
            needs_quiet,
            rates,
            daemon: self.gateway.vm_hash,
            data_centre: &self.gateway.settings.data_centre,
            prompt,
            tried: &self.tried,
            data_centres_with_lost_endpoints: &self.data_centres_with_lost_endpoints,
            region_limits: self.region_limits(),
            versions: &self.versions,
            daemons: self.gateway.fleet_size(),
            cold: self.gateway.cold_quota(service),
        }
    }

    /// Returns the time until an endpoint may get the request when the client retries it; `None` if
    /// one may get it now, or there is no endpoint.
    fn time_until_available(&self) -> Option<DurationMs> {
        let directory = self.gateway.control.directory();
        let service = directory.service(&self.inbound.service)?;
        time_until_available(&self.selection_request(), service)
    }

    /// Returns the regions in which the request may be served.
    fn region_limits(&self) -> RegionLimits<'_> {
        self.inbound.region_limits(&self.gateway.settings.regions)
    }

    /// Sheds the request if it would wait too long in the endpoint's queue.
    fn check_queue_delay(&self, selected: &Selected) -> Result<(), Refusal> {
        let queue_ms = selected.estimate.queue_ms;
        let shed = load_shedding::check(QueuedRequest {
            queue_ms,
            target: self.inbound.route.target_ms,
            is_lowest_priority: self.inbound.is_lowest_priority,
            has_prompt: !self.inbound.prompt.is_empty(),
            runs: self.runs,
        });
        let Some(shed) = shed else {
            return Ok(());
        };
        let load = selected.endpoint.load.snapshot(self.gateway.clock.now());
        event!(
            Event::LineTooLong,
            request = self.inbound.id_text(),
            endpoint = selected.endpoint.record.load().id,
            route = self.inbound.route.name,
            customer = self.inbound.customer_text(),
            line_ms = queue_ms as u64,
            allowed_ms = shed.allowed_ms as u64,
            own_tokens = load.own_prefill_tokens,
            others_tokens = load.others_prefill_tokens
        );
        Err(Refusal {
            reason: RefusalReason::Overloaded,
            retry_after: Some(shed.retry_after),
        })
    }

    /// Sends the request to one endpoint and records the outcome.
    async fn attempt(
        &mut self,
        selected: &Selected,
        last_event_id: Option<&HeaderValue>,
    ) -> Result<EndpointAnswer, AttemptError> {
        let endpoint = &selected.endpoint;
        self.tried.push(endpoint.clone());
        self.attempts += 1;
        self.report_begun(endpoint);
        let sent_at = self.gateway.clock.now();
        let attempt = Attempt {
            clock: self.gateway.clock,
            names: &self.gateway.header_names,
            unreadable: &self.gateway.unreadable_headers,
            metrics: &self.gateway.metrics,
            reachability: &self.gateway.reachability,
            inbound: &self.inbound,
            selected,
            last_event_id,
        };
        let result = tokio::select! {
            result = attempt.run(self.hedge(endpoint, sent_at)) => result,
            () = self.cut_off_while_waiting(selected, sent_at) => Err(AttemptError::Silent),
        };
        match &result {
            Ok(answer) => self.on_answered(answer, sent_at),
            Err(error) => self.on_attempt_failed(selected, sent_at, *error),
        }
        result
    }

    /// Returns the conditions for sending the request to a second endpoint while this one is silent.
    fn hedge<'a>(
        &'a self,
        endpoint: &'a Endpoint,
        sent_at: TimeMs,
    ) -> Hedge<impl Fn() -> bool + 'a> {
        let route = &self.inbound.route;
        let is_stream = route.stream.is_some();
        let is_allowed = move || {
            let was_active = endpoint.load.was_active_after(sent_at);
            hedging::is_silent(is_stream, was_active)
                && self.may_resend(Failure::StillWaiting).is_ok()
        };
        Hedge {
            at: Instant::now() + hedging::delay(route.target_ms, is_stream),
            is_allowed,
        }
    }

    fn finish_whole(&self, answer: Answer, body: Bytes) -> WholeAnswer {
        let timing = AnswerTiming {
            first_byte: self.inbound.arrived.elapsed(),
            longest_gap: Duration::ZERO,
        };
        self.on_served(&answer, timing);
        if !answer.head().status.is_server_error()
            && let Some(endpoint) = answer.endpoint()
        {
            endpoint.health.on_served(self.gateway.clock.now());
        }
        let head = self.keep_connection(answer);
        WholeAnswer { head, body }
    }

    /// Keeps the connection of an answer whose body was read to its end, and returns the answer's
    /// head.
    pub(crate) fn keep_connection(&self, answer: Answer) -> response::Parts {
        let answer = match answer {
            Answer::Endpoint(answer) => answer,
            Answer::Daemon(answer) => return answer.keep_connection(&self.gateway),
        };
        let headers = self.gateway.endpoint_headers(&answer.head.headers);
        let idle_timeout = response_head::idle_timeout(&headers)
            .filter(|_| is_read_once_answered(self.inbound.body_bytes().0));
        let max_idle = self.gateway.max_idle_connections(answer.endpoint());
        let now = self.gateway.clock.now();
        let expires_at = idle_timeout.map(|timeout| now + timeout);
        answer.keep_connection(expires_at, max_idle)
    }
}

/// Reads a body until its end, or until more than `max_bytes` were read; returns what was read and
/// whether that is all.
async fn read_body(body: &mut AnswerBody, max_bytes: usize) -> hyper::Result<(Bytes, bool)> {
    let mut read = BytesMut::new();
    while read.len() <= max_bytes {
        let Some(frame) = body.frame().await else {
            return Ok((read.freeze(), true));
        };
        // Trailers aren't forwarded.
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
    }
    Ok((read.freeze(), false))
}

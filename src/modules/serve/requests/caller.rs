//! Identifies the caller of a request: the customer whose bearer key it sends.

use crate::modules::serve::configuration::in_force::InForce;
use crate::modules::serve::context::Context;
use crate::modules::serve::requests::refusal::{BadRequest, CallerRefusal};
use axum::body::{Body, Bytes};
use axum::http::request::Parts;
use axum::http::{HeaderMap, header};
use bridgevane_client_limits::{self as client_limits, BodyRequest, Reservation};
use bridgevane_config::ClassConfig;
use bridgevane_types::{
    Bytes as ByteCount, ClassName, CustomerId, DurationMs, KindName, Outcome, RefusalCode,
    RequestId,
};
use http_body::Body as _;
use std::sync::Arc;
use tokio::time::Instant;

/// The request header that names the request kind.
const KIND_HEADER: &str = "x-bridgevane-kind";

/// The identified caller of a request, and the configuration that applies to the request.
pub(crate) struct Caller {
    pub(crate) request: RequestId,
    pub(crate) in_force: Arc<InForce>,
    pub(crate) customer: CustomerId,
    pub(crate) default_kind: KindName,
}

/// Checks that the VM accepts requests and that the bearer key belongs to a customer.
pub(crate) fn identify(context: &Context, headers: &HeaderMap) -> Result<Caller, CallerRefusal> {
    let request = context.new_request_id();
    if context.leaving.is_leaving() {
        let code = RefusalCode::Leaving;
        let retry_after_ms = Some(DurationMs(0));
        return Err(CallerRefusal::refused(
            request,
            code,
            Outcome::NotRun,
            retry_after_ms,
        ));
    }
    let in_force = context
        .in_force
        .load()
        .filter(|_| context.replica.may_serve());
    let Some(in_force) = in_force else {
        return Err(CallerRefusal::bad_request(request, BadRequest::NotReady));
    };
    let key = headers
        .get(header::AUTHORIZATION)
        // A header that isn't visible ASCII holds no key: the request is refused as unknown key.
        .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    let known = key.and_then(|key| in_force.customer_of_key(key));
    let Some((customer, config)) = known else {
        return Err(CallerRefusal::bad_request(request, BadRequest::UnknownKey));
    };
    let customer = customer.clone();
    let default_kind = config.default_kind.clone();
    Ok(Caller {
        request,
        in_force,
        customer,
        default_kind,
    })
}

/// Reads the request body, limited in size and time by the settings, and together with others in memory.
/// Returns it with what it has reserved, which the request keeps to its end.
pub(crate) async fn read_body(
    context: &Context,
    request: RequestId,
    head: &Parts,
    body: Body,
) -> Result<(Bytes, Reservation), CallerRefusal> {
    let serving = &context.config.serving;
    let wanted = BodyRequest {
        announced: body.size_hint().exact().map(ByteCount),
        max_body: ByteCount(serving.max_body_bytes as u64),
        deadline: Instant::now() + serving.body_timeout_ms.as_std(),
        awaits_continue: head.headers.contains_key(header::EXPECT),
        connection: head.extensions.get().cloned(),
    };
    let read = client_limits::read_body(&context.body_memory, wanted, body).await;
    let read = read.map_err(|error| CallerRefusal::bad_request(request, error.into()))?;
    Ok(read.join())
}

impl Caller {
    /// Returns the refusal of an invalid request.
    pub(crate) fn bad_request(&self, bad: BadRequest) -> CallerRefusal {
        CallerRefusal::bad_request(self.request, bad)
    }

    /// Returns the request kind, from the header or the customer's default, and its class.
    pub(crate) fn kind_and_class(
        &self,
        headers: &HeaderMap,
    ) -> Result<(KindName, ClassName), CallerRefusal> {
        let named = headers
            .get(KIND_HEADER)
            .and_then(|value| value.to_str().ok());
        let kind = named.map_or_else(|| self.default_kind.clone(), KindName::from);
        let config = self.in_force.document.kind.get(&kind);
        let is_allowed =
            |customers: &[CustomerId]| customers.is_empty() || customers.contains(&self.customer);
        match config.filter(|config| is_allowed(&config.customers)) {
            Some(config) => Ok((kind, config.class.clone())),
            None => Err(self.bad_request(BadRequest::KindNotAllowed)),
        }
    }

    /// Returns the configuration of `class`.
    pub(crate) fn class_config(&self, class: &ClassName) -> Result<&ClassConfig, CallerRefusal> {
        let config = self.in_force.document.class.get(class);
        config.ok_or_else(|| self.bad_request(BadRequest::KindNotAllowed))
    }
}

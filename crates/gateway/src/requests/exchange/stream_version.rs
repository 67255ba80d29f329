//! The software version of a resumable stream: where it may begin, and where it may go on. The rule is
//! [`crate::decisions::eligibility::stream_version`].

use super::{Exchange, ReportedBegin};
use crate::decisions::admission::freshness::startup_wait;
use crate::decisions::admission::refusal::{Refusal, RefusalReason};
use crate::decisions::eligibility::stream_version::{UnreportedVersion, VersionHash};
use crate::endpoints::directory::ServiceEndpoints;
use crate::endpoints::endpoint::Endpoint;
use crate::endpoints::selection::VersionFilter;
use crate::requests::begun_streams::{BegunStream, StreamHash};
use crate::requests::inbound::TakenUpStream;
use bridgevane_events::{Event, event};
use bridgevane_types::{DurationMs, ServiceName};
use derive_more::Display;
use http::HeaderValue;
use std::time::Duration;
use tokio::time::timeout;

/// The longest time for which an answer is held until another daemon knows the version. A report is
/// sent 20 ms after the request, and most engines need longer to their first event.
const MAX_REPORT_WAIT: Duration = Duration::from_millis(50);

/// How this daemon knows at which version a stream began. The text stands in logs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum KnownBy {
    /// The daemon that forwards the request names the version.
    #[display("named")]
    Named,
    /// This daemon began the stream, or another one has reported it.
    #[display("report")]
    Report,
    /// No other version is registered.
    #[display("only_version")]
    OnlyVersion,
}

/// The version at which a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownVersion {
    version: VersionHash,
    known_by: KnownBy,
}

impl Exchange {
    /// Restricts a request that takes up a stream to the version that began the stream.
    ///
    /// # Errors
    /// A refusal if this version isn't known.
    pub(crate) async fn restrict_taken_up(&mut self) -> Result<(), Refusal> {
        let Some(stream) = self.inbound.taken_up.clone() else {
            return Ok(());
        };
        let known = self.version_of_taken_up(&stream).await;
        self.log_taken_up(&stream, known);
        self.restrict_to(known.map(|known| known.version))
    }

    /// Restricts further attempts to the version that began the stream of this request; `began_at`
    /// is the version of the endpoint that broke off, unless another daemon forwarded the stream.
    ///
    /// # Errors
    /// A refusal if this version isn't known.
    pub(crate) async fn restrict_resumed(
        &mut self,
        began_at: Option<VersionHash>,
    ) -> Result<(), Refusal> {
        if matches!(self.versions, VersionFilter::Only(_)) {
            return Ok(());
        }
        let version = match began_at {
            Some(version) => Some(version),
            None => {
                let known = self.begun_version(&self.inbound.id).await;
                known.map(|known| known.version)
            }
        };
        self.restrict_to(version)
    }

    fn restrict_to(&mut self, version: Option<VersionHash>) -> Result<(), Refusal> {
        let version = version
            .ok_or_else(|| RefusalReason::StreamVersionUnknown.or_unknown_if_run(self.runs))?;
        self.versions = VersionFilter::Only(version);
        self.choose_service_of(version);
        Ok(())
    }

    /// Chooses the service that runs the version, if another one of the route was drawn.
    fn choose_service_of(&mut self, version: VersionHash) {
        let directory = self.gateway.control.directory();
        let runs_version = |service: &ServiceName| {
            let endpoints = directory.service(service).into_iter();
            let mut all = endpoints.flat_map(|endpoints| &endpoints.all);
            all.any(|endpoint| endpoint.version == version)
        };
        if runs_version(&self.inbound.service) {
            return;
        }
        let mut targets = self.inbound.route.targets.iter();
        if let Some(target) = targets.find(|target| runs_version(&target.service)) {
            self.inbound.service = target.service.clone();
        }
    }

    async fn version_of_taken_up(&self, stream: &TakenUpStream) -> Option<KnownVersion> {
        match (stream.version, &stream.first_attempt) {
            (Some(version), _) => Some(KnownVersion {
                version,
                known_by: KnownBy::Named,
            }),
            (None, Some(first)) => self.begun_version(first).await,
            // Another daemon resumes a stream that it has begun under the same identifier. A client
            // that names no attempt takes up an unknown stream.
            (None, None) if self.inbound.origin.is_daemon() => {
                self.begun_version(&self.inbound.id).await
            }
            (None, None) => {
                let concluded = timeout(self.version_wait(), self.concluded_version()).await;
                // After a timeout the version is unknown.
                concluded.ok()
            }
        }
    }

    /// Returns the version at which the attempt with this identifier began a stream; waits for a
    /// report of it, or for a newer proof, for a limited time.
    async fn begun_version(&self, attempt_id: &HeaderValue) -> Option<KnownVersion> {
        let stream = StreamHash::new(attempt_id);
        let begun = &self.gateway.begun_streams;
        let reported = |version| KnownVersion {
            version,
            known_by: KnownBy::Report,
        };
        tokio::select! {
            biased;
            version = begun.wait_for_version(stream, self.version_wait()) => version.map(reported),
            concluded = self.concluded_version() => Some(concluded),
        }
    }

    /// Returns how long the request waits for what it needs to know of versions.
    fn version_wait(&self) -> Duration {
        let remaining = DurationMs(self.inbound.remaining().as_millis() as u64);
        startup_wait(Some(remaining))
    }

    /// Waits until the version of a stream that nobody reported is known; forever if it can't be.
    async fn concluded_version(&self) -> KnownVersion {
        let control = &self.gateway.control;
        let taken_up_at = self.gateway.clock.now();
        let mut progress = control.progress();
        loop {
            let unreported = control.unreported_version(&self.inbound.route.host, taken_up_at);
            if let UnreportedVersion::Known(version) = unreported {
                let known_by = KnownBy::OnlyVersion;
                return KnownVersion { version, known_by };
            }
            // This can't fail: the gateway owns the sender.
            let _ = progress.changed().await;
        }
    }

    /// Waits for a limited time until a resumable stream may begin at one of its service's endpoints:
    /// all of them may run a version that is being registered.
    pub(super) async fn wait_for_active_version(&self) {
        if !self.inbound.route.is_resumable() || matches!(self.versions, VersionFilter::Only(_)) {
            return;
        }
        let mut progress = self.gateway.control.progress();
        let waited = timeout(self.version_wait(), async {
            while self.lacks_active_version() {
                // This can't fail: the gateway owns the sender.
                let _ = progress.changed().await;
            }
        })
        .await;
        if waited.is_err() {
            self.gateway.control.versions().on_missed();
        }
    }

    /// Returns whether the service has endpoints, and none runs a version at which streams may begin.
    fn lacks_active_version(&self) -> bool {
        let service = &self.inbound.service;
        let directory = self.gateway.control.directory();
        let Some(endpoints) = directory.service(service) else {
            return false;
        };
        let versions = self.gateway.control.versions();
        if versions.is_empty() {
            return false;
        }
        let registered = versions.versions(&self.inbound.route.host);
        let is_active = |version| {
            let registered = registered.as_ref();
            registered.is_some_and(|registered| registered.active.contains(&version))
        };
        !endpoints.all.iter().any(|each| is_active(each.version))
    }

    /// Returns the version that began the stream, if it has begun.
    pub(super) fn begun_at(&self) -> Option<VersionHash> {
        match self.versions {
            VersionFilter::Only(version) => Some(version),
            VersionFilter::Any | VersionFilter::Among(_) => None,
        }
    }

    /// Sets the versions at which a resumable stream that hasn't begun may begin: any while nothing is
    /// registered, since nothing is concluded then. Another daemon may have the report of an earlier
    /// attempt and lack that of a later one, so that a later attempt goes to the same version.
    pub(super) fn refresh_version_filter(&mut self) {
        if !self.inbound.route.is_resumable() || matches!(self.versions, VersionFilter::Only(_)) {
            return;
        }
        let versions = self.gateway.control.versions();
        self.versions = match self.reported {
            Some(reported) => VersionFilter::Among(vec![reported.version]),
            None if versions.is_empty() => VersionFilter::Any,
            None => {
                let registered = versions.versions(&self.inbound.route.host);
                let active = registered.map(|registered| registered.active.clone());
                VersionFilter::Among(active.unwrap_or_default())
            }
        };
    }

    /// Checks that an endpoint is left at which the stream may go on.
    pub(super) fn check_version_served(
        &self,
        service: &ServiceEndpoints,
    ) -> Result<(), RefusalReason> {
        let VersionFilter::Only(version) = self.versions else {
            return Ok(());
        };
        let now = self.gateway.clock.now();
        let mut all = service.all.iter();
        if all.any(|endpoint| endpoint.version == version && endpoint.is_usable(now)) {
            return Ok(());
        }
        Err(RefusalReason::StreamVersionGone.or_unknown_if_run(self.runs))
    }

    /// Reports to the other daemons at which version the stream of this request is about to begin, if
    /// they may need it.
    pub(super) fn report_begun(&mut self, endpoint: &Endpoint) {
        let is_new = !matches!(self.versions, VersionFilter::Only(_));
        if !is_new || !self.inbound.route.is_resumable() {
            self.reported = None;
            return;
        }
        let control = &self.gateway.control;
        // Once an attempt was reported, the later ones are, too.
        if self.reported.is_none() && !control.needs_stream_reports(&self.inbound.route.host) {
            return;
        }
        let cursor = self.gateway.begun_streams.add([BegunStream {
            stream: StreamHash::new(&self.inbound.id),
            version: endpoint.version,
            attempt: self.attempts,
            at: self.gateway.clock.now(),
        }]);
        self.reported = Some(ReportedBegin {
            cursor,
            version: endpoint.version,
        });
    }

    /// Waits for a limited time until another daemon knows at which version the stream begins: the
    /// client may come back to any daemon once it has the first event.
    pub(super) async fn wait_until_reported(&self) {
        let has_others = !self.gateway.settings.seed_addresses.is_empty();
        if let Some(reported) = self.reported.filter(|_| has_others) {
            let begun = &self.gateway.begun_streams;
            begun
                .wait_until_known_elsewhere(reported.cursor, MAX_REPORT_WAIT)
                .await;
        }
    }

    fn log_taken_up(&self, stream: &TakenUpStream, known: Option<KnownVersion>) {
        let text = |value: &HeaderValue| value.to_str().unwrap_or("?").to_owned();
        event!(
            Event::StreamTakenUp,
            request = self.inbound.id_text(),
            resumes = stream.first_attempt.as_ref().map_or("-".into(), text),
            after = text(&stream.last_event_id),
            version = known.map_or("-".into(), |known| self.version_name(known.version)),
            known_by = known.map_or("-".into(), |known| known.known_by.to_string()),
            route = self.inbound.route.name,
            customer = self.inbound.customer_text(),
            waited_ms = self.inbound.arrived.elapsed().as_millis()
        );
    }

    /// Returns the text of a version; its hash if no endpoint has it.
    fn version_name(&self, version: VersionHash) -> String {
        let directory = self.gateway.control.directory();
        let service = directory.service(&self.inbound.service);
        let mut all = service.into_iter().flat_map(|service| &service.all);
        let endpoint = all.find(|endpoint| endpoint.version == version);
        let name = endpoint.and_then(|endpoint| endpoint.record.load().version.clone());
        name.map_or_else(|| version.to_string(), |name| name.to_string())
    }
}

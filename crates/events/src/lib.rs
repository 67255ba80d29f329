//! Numbered log events. See docs/EVENTS.md for the catalogue; a test compares it with this list.

use log::Level;

/// Declares events: number, name, level, text.
macro_rules! events {
    ($($number:literal $name:ident $level:ident $text:literal;)*) => {
        /// A logged event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $text] $name,)*
        }

        impl Event {
            /// All events, ordered by number.
            pub const ALL: &[Event] = &[$(Event::$name,)*];

            /// Returns the event's number.
            pub fn number(self) -> u32 {
                match self { $(Event::$name => $number,)* }
            }

            /// Returns the event with a number, or `None` if this version doesn't know the number.
            pub fn from_number(number: u32) -> Option<Self> {
                match number {
                    $($number => Some(Event::$name),)*
                    _ => None,
                }
            }

            /// Returns the event's level.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)* }
            }

            /// Returns the event's text.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }

            /// Returns the event's name in the code and the catalogue.
            pub fn name(self) -> &'static str {
                match self { $(Event::$name => stringify!($name),)* }
            }
        }
    };
}

events! {
    1001 Started Info "the daemon serves";
    1002 Stopping Info "the daemon is stopping and takes no new work";
    1003 Stopped Info "all streams have ended and the daemon stops";
    1004 CannotListen Error "the daemon can't listen on an address";
    1005 SettingsSignal Info "SIGHUP was received; the daemon reads its settings only when it starts";
    1006 Suspended Warn "the VM was suspended";
    1101 ConfigInForce Info "a configuration version was activated";
    1102 ConfigRejected Error "a stored or received configuration was rejected";
    1103 ConfigProposed Info "an operator's change of the configuration was accepted";
    1201 PlatformAway Warn "the platform's service can't be reached; the daemon continues to serve requests";
    1202 PlatformBack Info "the platform's service answers again";
    1203 SourceLost Warn "the control source does not answer";
    1204 SourceRegained Info "the control source answers again";
    1205 SourceReloaded Info "the full state was read from the control source";
    1206 FreshnessLost Warn "the configuration is no longer confirmed to be current; the daemon refuses requests";
    1207 FreshnessRegained Info "the configuration is confirmed to be current again";
    1208 UpstreamChanged Info "this daemon follows another upstream";
    1209 PeerLost Warn "a request to another daemon failed";
    1210 ServingStale Warn "the configuration is no longer confirmed to be current; the daemon continues to serve requests";
    1211 CircleLeft Info "the upstream follows this daemon in a cycle; this daemon chooses another upstream";
    1212 ForwardingAsked Info "another daemon asked to forward requests to this one";
    1213 SourceCameFromCopy Warn "the control source came back from an older copy";
    1214 PlatformAnswerWithoutEnd Warn "an answer of the platform has no end or is too long; its connection was closed";
    1215 DenialsPaused Warn "the source came back from a copy; unknown routes and keys are not denied until the operators write";
    1216 StateUnwitnessed Warn "the state may be an older copy's; requests are refused until another daemon or the operators confirm it";
    1217 ProofAging Warn "the configuration may lack a change that must be in force; unknown routes and keys are not denied";
    1218 VersionsWritten Info "the software versions at which streams of a host's routes may have begun were registered";
    1219 VersionsNotWritten Warn "the software versions of a host's routes could not be registered; new versions begin no resumable streams";
    1220 VersionRecordRejected Warn "the record of a host's software versions is invalid; it is written again";
    1301 RequestRefused Debug "a request was refused";
    1302 RequestFailed Warn "a request failed";
    1303 PieceDropped Warn "a piece of an answer was dropped: it was repeated, or belongs to another request or attempt";
    1304 CallerSlow Warn "a client stopped reading its answer; the request is cancelled";
    1305 RequestServed Info "a request was answered; of the successful first attempts, only a sample is logged";
    1306 RequestTurnedAway Info "the gateway refused a request";
    1307 RequestBrokenOff Warn "a stream to a client ended before the answer was complete";
    1308 AttemptFailed Warn "an attempt at an endpoint failed";
    1309 StreamResumed Info "a stream was resumed at another endpoint";
    1310 LineTooLong Info "a request was shed: its expected queue delay is too long";
    1311 HeaderUnreadable Warn "a header can't be decoded and is treated as absent";
    1312 RequestQuarantined Warn "a request or a part of prompts was quarantined: it crashed several endpoints and is no longer forwarded";
    1313 QuarantineNotStored Warn "a quarantine could not be written to the control source";
    1314 RetryDecided Info "a retry was requested from the retry budget, which granted or denied it";
    1315 RequestForwarded Info "a request was sent through another daemon";
    1316 StreamTakenUp Info "a client takes up a stream that an earlier attempt began";
    1317 TriesCounted Info "the numbers of clients' requests that ended, by outcome";
    1318 ClientsTurnedAway Warn "connections of clients were closed or refused to make room for others";
    1401 EngineUnreachable Warn "an engine's load report could not be read";
    1402 EndpointSeen Info "an endpoint was added or changed";
    1403 EndpointGone Info "an endpoint was removed";
    1404 EndpointEjected Warn "an endpoint was ejected and gets no requests for some time";
    1405 EndpointLapsed Info "an endpoint's record is gone after an outage of the control source, and may be lost; the endpoint stays in use for usable_ms, longer while it answers";
    1406 EndpointCrashed Warn "an endpoint crashed while it was processing requests";
    1407 EndpointRecordLate Info "a late record of an older incarnation of an endpoint was ignored";
    1408 EndpointRecordRejected Warn "an endpoint's record is invalid; the endpoint is removed";
    1409 EvacuationBegan Warn "the evacuation of a data centre began: its endpoints get no new requests";
    1410 EvacuationOver Info "the evacuation of a data centre ended: its endpoints get requests again and are cold at first";
    1411 EvacuationRejected Warn "the record of an evacuation is invalid and was ignored";
    1412 EndpointsSeen Info "further endpoints were added or changed; there were too many to log each of them";
    1413 EndpointRateLimited Info "the request limit that an endpoint announces was changed or withdrawn";
    1414 EndpointLeaves Info "an endpoint announced that it is leaving and gets no new requests";
    1415 EndpointRests Info "an endpoint refused a request and asked this daemon to send no requests for some time";
    1416 QuietEnginesChanged Info "the number of engines that are kept for streams with the tightest pause targets has changed";
    1417 EngineSpecRejected Warn "the configuration describes the engines of a service by values that can't be used; they were ignored";
    1418 ServiceOutOfReach Warn "no endpoint of a service can be reached from here";
    1419 ServiceInReach Info "a service can be reached again";
    1420 EndpointBrittle Warn "an endpoint announced that it crashes when it turns many requests away";
    1501 PeerRefused Warn "a connection between daemons was refused";
    1502 MemberChanged Info "the state of a daemon in this data centre changed";
    1503 HomePassedOver Warn "the home of a pool does not answer; this daemon decides on the requests that it had sent there";
    1504 Superseded Error "a newer incarnation of this VM is running; this one takes no more work";
    1505 RolloutStage Info "a rollout reached another stage";
    1506 RolloutStopped Warn "a rollout can't continue at present; this daemon tries again later";
    1507 KeyEndUnheard Warn "the home of an idempotency key did not confirm how its call ended";
    1601 OperatorCommand Info "an operator's command was carried out or refused";
    1701 DutiesTaken Info "this daemon became the holder of the duties";
    1702 DutiesLost Warn "this daemon is no longer the holder of the duties";
    1703 UsageTold Info "the usage of a window was submitted to the platform";
    1704 DutyCallFailed Warn "a call for a duty failed";
    1705 EnginesOrdered Info "engines were ordered from the platform";
    1706 UsageRepeated Info "usage that the duty state lists was submitted to the platform again";
    1707 UsageLeftOut Warn "windows are not submitted: the store came back from a copy, and they may have been submitted before";
}

/// Logs an event with fields: `event!(Event::Started, vm = id)`. Values must implement `Display`.
#[macro_export]
macro_rules! event {
    ($event:expr $(, $field:ident = $value:expr)* $(,)?) => {{
        let event: $crate::Event = $event;
        log::log!(
            target: "bridgevane",
            event.level(),
            event = event.number() $(, $field:% = $value)*;
            "{}", event.text()
        );
    }};
}

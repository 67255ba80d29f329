//! Numbered log events. The catalogue is docs/EVENTS.md; a test compares the two.

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
            /// All events, by number.
            pub const ALL: &[Event] = &[$(Event::$name,)*];

            /// The event's number.
            pub fn number(self) -> u32 {
                match self { $(Event::$name => $number,)* }
            }

            /// The event of a number; none: a number that this version doesn't know.
            pub fn from_number(number: u32) -> Option<Self> {
                match number {
                    $($number => Some(Event::$name),)*
                    _ => None,
                }
            }

            /// The event's level.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)* }
            }

            /// What it says.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }

            /// Its name in the code and the catalogue.
            pub fn name(self) -> &'static str {
                match self { $(Event::$name => stringify!($name),)* }
            }
        }
    };
}

events! {
    1001 Started Info "the daemon serves";
    1002 Stopping Info "a stop has begun: the daemon takes no new work";
    1003 Stopped Info "all streams have ended and the daemon stops";
    1004 CannotListen Error "an address can't be listened on";
    1005 SettingsSignal Info "SIGHUP was received; settings are read at the next start";
    1006 Suspended Warn "the VM was suspended";
    1101 ConfigInForce Info "a configuration version is in force";
    1102 ConfigRejected Error "a stored or received configuration can't be used";
    1103 ConfigProposed Info "an operator's change was decided";
    1201 PlatformAway Warn "the platform's service can't be reached, serving goes on";
    1202 PlatformBack Info "the platform's service answers again";
    1203 SourceLost Warn "the control source does not answer";
    1204 SourceRegained Info "the control source answers again";
    1205 SourceReloaded Info "the full state was read from the control source";
    1206 FreshnessLost Warn "the configuration is no longer proved to be current";
    1207 FreshnessRegained Info "the configuration is proved to be current";
    1208 UpstreamChanged Info "the upstream changed";
    1209 PeerLost Warn "another daemon gave no answer that can be used";
    1210 ServingStale Warn "the configuration is no longer proved to be current, serving goes on";
    1211 CircleLeft Info "the upstream follows this daemon, and is left";
    1301 RequestRefused Debug "a request was refused";
    1302 RequestFailed Warn "a request failed";
    1303 PieceDropped Warn "a late, repeated or crossed piece was dropped";
    1304 CallerSlow Warn "a caller stopped reading and was let go";
    1305 RequestServed Info "a request was answered (a sample of the plain successes)";
    1306 RequestTurnedAway Info "the gateway refused a request";
    1307 RequestBrokenOff Warn "a stream broke off before its end";
    1308 AttemptFailed Warn "an attempt at an endpoint gave no answer that can be used";
    1309 StreamResumed Info "a stream was resumed at another endpoint";
    1310 LineTooLong Info "a request was shed: its expected queue delay is too long";
    1311 HeaderUnreadable Warn "a header can't be decoded and counts as absent";
    1312 RequestQuarantined Warn "a request ended several endpoints and is no longer passed on";
    1313 QuarantineNotStored Warn "the quarantine could not be written to the control source";
    1314 RetryDecided Info "the retry budget was asked for a retry";
    1401 EngineUnreachable Warn "an engine's load report can't be read";
    1402 EndpointSeen Info "an endpoint was added or changed";
    1403 EndpointGone Info "an endpoint is gone";
    1404 EndpointEjected Warn "an endpoint was ejected: it gets no work for a while";
    1405 EndpointLapsed Info "an endpoint's record expired during an outage of the control source";
    1406 EndpointCrashed Warn "an endpoint ended while requests were under way there";
    1407 EndpointRecordLate Info "a record of an earlier life of an endpoint came late and is passed over";
    1408 EndpointRecordRejected Warn "a record among the endpoints' names no endpoint";
    1409 EvacuationBegan Warn "a data centre is evacuated: its endpoints get nothing new";
    1410 EvacuationOver Info "the evacuation of a data centre is over: its endpoints are used again, as cold ones";
    1411 EvacuationRejected Warn "the record of an evacuation can't be read and changes nothing";
    1412 EndpointsSeen Info "more endpoints were added or changed, too many for a line each";
    1413 EndpointRateLimited Info "an endpoint named another limit of its requests, or withdrew it";
    1414 EndpointLeaves Info "an endpoint said in an answer that it leaves: it gets nothing new";
    1415 EndpointRests Info "an endpoint turned a request away and wants nothing from this daemon for a time";
    1501 PeerRefused Warn "a connection between daemons was refused";
    1502 MemberChanged Info "the view of a daemon changed";
    1503 HomePassedOver Warn "a pool's home does not answer, its requests are decided here";
    1504 Superseded Error "a later life of this VM is about, this one takes no more work";
    1505 RolloutStage Info "a rollout has reached another stage";
    1506 RolloutStopped Warn "a rollout can't go on now";
    1507 KeyEndUnheard Warn "the home of an idempotency key did not confirm how its call ended";
    1601 OperatorCommand Info "an operator's command was carried out or refused";
    1701 DutiesTaken Info "this daemon holds the duties";
    1702 DutiesLost Warn "this daemon no longer holds the duties";
    1703 UsageTold Info "the usage of a window was told to the platform";
    1704 DutyCallFailed Warn "a call for a duty failed";
    1705 EnginesOrdered Info "engines were ordered";
}

/// Logs an event with fields: `event!(Event::Started, vm = id)`. Values need `Display`.
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

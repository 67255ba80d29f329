//! Tests of the rules by which a daemon finds that it reaches no endpoint of a service, and chooses
//! the daemon that it forwards requests to.

use bridgevane_decisions::EndpointIx;
use bridgevane_gateway::decisions::eligibility::region_limits::{RegionLimits, RegionSet};
use bridgevane_gateway::decisions::endpoint::reachability::{
    Contact, Loss, ProbeVerdict, Reach, ServiceReach, probe_targets, silence_limit,
};
use bridgevane_gateway::decisions::forwarding::{
    Experience, ForwardingCandidate, RequestOrigin, Way, choose, decline_time, may_ask, may_send,
    next_way,
};
use bridgevane_types::{DataCentreId, DurationMs, TimeMs};

const ENDPOINTS: usize = 9;

fn endpoint(index: u32) -> EndpointIx {
    EndpointIx(index)
}

/// Returns the reach of a service from which an endpoint has just answered.
fn in_contact(now: TimeMs) -> ServiceReach {
    let mut reach = ServiceReach::default();
    reach.on_opened(now);
    reach.on_answered(now);
    reach
}

/// Guards against a probe for every endpoint that crashes, and against none when the second is lost.
#[test]
fn the_second_lost_endpoint_makes_a_suspicion_and_the_first_doesnt() {
    let now = TimeMs(10_000);
    let mut reach = in_contact(now);
    for _ in 0..5 {
        assert!(!reach.on_lost(now, endpoint(1), Loss::NoConnection, ENDPOINTS));
    }
    assert!(reach.on_lost(now, endpoint(2), Loss::NoConnection, ENDPOINTS));
    assert_eq!(reach.reach(), Reach::Suspected);
    assert!(
        !reach.on_lost(now, endpoint(3), Loss::NoConnection, ENDPOINTS),
        "one probe is enough"
    );
}

/// Guards against an idle daemon whose first request has to fail twice before it is forwarded.
#[test]
fn the_first_lost_endpoint_is_suspicious_if_nothing_was_heard_of_the_service() {
    let mut never = ServiceReach::default();
    assert!(never.on_lost(TimeMs(10), endpoint(1), Loss::NoConnection, ENDPOINTS));
    let mut long_ago = in_contact(TimeMs(1_000));
    assert!(long_ago.on_lost(TimeMs(2_000), endpoint(1), Loss::NoConnection, ENDPOINTS));
    let mut single = in_contact(TimeMs(1_000));
    assert!(single.on_lost(TimeMs(1_001), endpoint(1), Loss::NoConnection, 1));
}

/// Guards against answers on open connections that hide a cut in which those live on and every new
/// connection is refused.
#[test]
fn answers_dont_make_up_for_connections_that_cant_be_opened() {
    let now = TimeMs(10_000);
    let mut reach = in_contact(now);
    assert!(!reach.on_lost(now, endpoint(1), Loss::NoConnection, ENDPOINTS));
    reach.on_answered(now);
    assert!(reach.on_lost(now, endpoint(2), Loss::NoConnection, ENDPOINTS));
}

/// Guards against a suspicion of silent endpoints while another one answers: a few slow endpoints
/// are no cut.
#[test]
fn an_answer_makes_up_for_silent_endpoints() {
    let now = TimeMs(10_000);
    let mut reach = in_contact(now);
    assert!(!reach.on_lost(now, endpoint(1), Loss::Silent, ENDPOINTS));
    reach.on_answered(now);
    assert!(!reach.on_lost(now, endpoint(2), Loss::Silent, ENDPOINTS));
    assert!(reach.on_lost(now, endpoint(3), Loss::Silent, ENDPOINTS));
}

/// Guards against a service that counts as cut off without a probe, or stays so after one succeeded.
#[test]
fn a_probe_decides_and_its_first_success_ends_the_state() {
    let now = TimeMs(10_000);
    let mut reach = ServiceReach::default();
    reach.on_lost(now, endpoint(1), Loss::NoConnection, ENDPOINTS);
    assert_eq!(reach.on_probed(now, false), ProbeVerdict::Lost);
    assert_eq!(reach.reach(), Reach::OutOfReach);
    assert_eq!(reach.on_probed(now, false), ProbeVerdict::StillLost);
    assert_eq!(reach.on_probed(now, true), ProbeVerdict::Regained);
    assert_eq!(reach.reach(), Reach::InReach);
    assert!(
        !reach.on_lost(now, endpoint(2), Loss::NoConnection, ENDPOINTS),
        "losses from before the success don't count"
    );
}

/// Guards against a probe that fails after a request has opened a connection, and marks a service
/// that is in reach.
#[test]
fn a_connection_that_a_request_opens_ends_a_suspicion() {
    let now = TimeMs(10_000);
    let mut reach = ServiceReach::default();
    reach.on_lost(now, endpoint(1), Loss::NoConnection, ENDPOINTS);
    reach.on_opened(now);
    assert_eq!(reach.on_probed(now, false), ProbeVerdict::InReach);
    assert_eq!(reach.reach(), Reach::InReach);
}

/// Guards against a connection for each request that waits, against one while the service is heard of,
/// and against none when it has fallen silent.
#[test]
fn a_waiting_request_checks_a_silent_service_once_a_second() {
    let limit = silence_limit(25.0);
    assert_eq!(limit, DurationMs(200));
    let mut reach = in_contact(TimeMs(10_000));
    assert!(!reach.is_check_due(TimeMs(10_199), limit), "not yet");
    reach.on_heard(TimeMs(10_150));
    assert!(
        !reach.is_check_due(TimeMs(10_300), limit),
        "it was heard of"
    );
    assert!(reach.is_check_due(TimeMs(10_350), limit));
    assert!(!reach.is_check_due(TimeMs(11_349), limit), "once a second");
    assert!(reach.is_check_due(TimeMs(11_350), limit));
    assert!(reach.suspect());
    assert!(!reach.suspect(), "one probe is enough");
    assert!(!reach.is_check_due(TimeMs(20_000), limit), "it is probed");
}

/// Guards against a daemon that accepts others' requests while it is cut off, and against a probe for
/// each of them while it isn't.
#[test]
fn a_daemon_answers_for_its_reach_by_what_it_heard_lately() {
    let mut reach = in_contact(TimeMs(10_000));
    assert_eq!(reach.contact(TimeMs(10_999)), Contact::Recent);
    assert_eq!(reach.contact(TimeMs(11_000)), Contact::Unknown);
    reach.suspect();
    assert_eq!(reach.contact(TimeMs(10_500)), Contact::Unknown);
    reach.on_probed(TimeMs(11_100), false);
    assert_eq!(reach.contact(TimeMs(11_200)), Contact::None);
    reach.on_probed(TimeMs(11_300), true);
    assert_eq!(reach.contact(TimeMs(11_400)), Contact::Recent);
}

/// Guards against a probe of one data centre alone, which may be lost with all its endpoints.
#[test]
fn a_probe_goes_to_different_data_centres_first() {
    let places = ["a", "a", "a", "b", "a"].map(DataCentreId::from);
    assert_eq!(probe_targets(&places), [0, 3, 1]);
    assert_eq!(probe_targets(&[]), [0_usize; 0]);
}

/// Guards against loops: a request from a daemon is never forwarded again.
#[test]
fn only_requests_of_clients_are_forwarded() {
    let daemon = RequestOrigin::Daemon {
        runs: 0,
        attempts: 0,
    };
    for (reach, attempts, of_client, of_daemon) in [
        (Reach::InReach, 3, Way::Direct, Way::Direct),
        (Reach::Suspected, 0, Way::Direct, Way::Direct),
        (Reach::Suspected, 1, Way::Forwarded, Way::Declined),
        (Reach::OutOfReach, 0, Way::Forwarded, Way::Declined),
    ] {
        assert_eq!(next_way(RequestOrigin::Client, reach, attempts), of_client);
        assert_eq!(next_way(daemon, reach, attempts), of_daemon);
    }
}

const CANDIDATE: ForwardingCandidate = ForwardingCandidate {
    is_allowed: true,
    is_backed_off: false,
    experience: Experience::Unknown,
    is_place_asked: false,
    has_place_declined: false,
    is_local: false,
    in_progress: 0,
    tie_break: 0,
};

/// Guards against bytes between data centres without need, against one daemon that gets all requests,
/// and against asking daemons again that have just declined.
#[test]
fn a_daemon_that_serves_goes_first_then_a_local_one_then_the_least_loaded() {
    let served = ForwardingCandidate {
        experience: Experience::Served,
        in_progress: 9,
        ..CANDIDATE
    };
    let local = ForwardingCandidate {
        is_local: true,
        in_progress: 5,
        ..CANDIDATE
    };
    let declined = ForwardingCandidate {
        is_backed_off: true,
        ..served
    };
    let loaded = ForwardingCandidate {
        in_progress: 1,
        ..CANDIDATE
    };
    let pick =
        |candidates: &[(&'static str, ForwardingCandidate)]| choose(candidates.iter().copied());
    assert_eq!(
        pick(&[("local", local), ("served", served)]),
        Some("served")
    );
    assert_eq!(
        pick(&[("other", CANDIDATE), ("local", local)]),
        Some("local")
    );
    assert_eq!(
        pick(&[("loaded", loaded), ("idle", CANDIDATE)]),
        Some("idle")
    );
    assert_eq!(
        pick(&[("declined", declined), ("loaded", loaded)]),
        Some("loaded")
    );
    assert_eq!(pick(&[("declined", declined)]), None);
}

/// Guards against a request that asks only daemons of its own data centre, all of which may be cut off,
/// and against one that leaves it although daemons there serve.
#[test]
fn a_daemon_of_another_data_centre_goes_before_those_of_one_that_declined() {
    let local = ForwardingCandidate {
        is_local: true,
        ..CANDIDATE
    };
    let asked = ForwardingCandidate {
        is_place_asked: true,
        ..local
    };
    let declined = ForwardingCandidate {
        has_place_declined: true,
        ..local
    };
    let served = ForwardingCandidate {
        experience: Experience::Served,
        ..asked
    };
    let pick =
        |candidates: &[(&'static str, ForwardingCandidate)]| choose(candidates.iter().copied());
    assert_eq!(
        pick(&[("declined", declined), ("other", CANDIDATE)]),
        Some("other")
    );
    assert_eq!(
        pick(&[("asked", asked), ("declined", declined)]),
        Some("declined")
    );
    let named = ForwardingCandidate {
        experience: Experience::NamedAsServing,
        ..asked
    };
    assert_eq!(
        pick(&[("other", CANDIDATE), ("named", named), ("served", served)]),
        Some("served")
    );
    assert_eq!(
        pick(&[("other", CANDIDATE), ("named", named)]),
        Some("named")
    );
    assert_eq!(pick(&[("asked", asked)]), Some("asked"));
}

/// Guards against a daemon in a region that isn't allowed which is asked because it served other requests.
#[test]
fn a_daemon_of_a_region_that_is_not_allowed_is_never_chosen() {
    let elsewhere = ForwardingCandidate {
        is_allowed: false,
        experience: Experience::Served,
        is_local: true,
        ..CANDIDATE
    };
    let candidates = [("elsewhere", elsewhere), ("allowed", CANDIDATE)];
    assert_eq!(choose(candidates.into_iter()), Some("allowed"));
    assert_eq!(choose([("elsewhere", elsewhere)].into_iter()), None);
}

/// Guards against a limited request that is sent before the other daemon's data centre is known, and
/// against one that never finds a daemon because all data centres are unknown at first.
#[test]
fn a_daemon_of_an_unknown_data_centre_is_asked_but_not_sent_a_limited_request() {
    let data_centres = ["dc-0", "dc-1", "dc-2"].map(DataCentreId::from);
    let [north, south, without_region] = &data_centres;
    let regions = [(north, "north"), (south, "south")];
    let regions = regions.map(|(data_centre, region)| (data_centre.clone(), region.into()));
    let allowed = RegionSet::from(["north".into()]);
    let limited = RegionLimits {
        regions: &regions.into_iter().collect(),
        route: Some(&allowed),
        customer: None,
    };
    let verdicts = |limits: &RegionLimits<'_>, data_centre: Option<&DataCentreId>| {
        (may_ask(limits, data_centre), may_send(limits, data_centre))
    };
    assert_eq!(verdicts(&limited, Some(north)), (true, true));
    assert_eq!(verdicts(&limited, Some(south)), (false, false));
    assert_eq!(verdicts(&limited, Some(without_region)), (false, false));
    assert_eq!(verdicts(&limited, None), (true, false));
    for data_centre in [Some(south), Some(without_region), None] {
        let verdict = verdicts(&RegionLimits::EVERYWHERE, data_centre);
        assert_eq!(verdict, (true, true));
    }
}

/// Guards against a daemon that is asked over and over, and against one that is never asked again.
#[test]
fn the_time_after_a_decline_doubles_up_to_a_limit() {
    let times = [1, 2, 3, 4, 50].map(decline_time);
    assert_eq!(times, [500, 1_000, 2_000, 4_000, 4_000].map(DurationMs));
}

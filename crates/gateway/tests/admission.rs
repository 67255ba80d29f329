//! Tests of the rules before a request is sent: load shedding, body limits, freshness, the split of
//! a route's traffic; and of records that expire after an outage of the source.

use bridgevane_client_limits::body_limits::{self, BodyError, BodyProgress, BodySize, Contention};
use bridgevane_gateway::decisions::admission::freshness::{self, Freshness, FreshnessPolicy};
use bridgevane_gateway::decisions::admission::load_shedding::{self, QueuedRequest};
use bridgevane_gateway::decisions::admission::traffic_split;
use bridgevane_gateway::decisions::replication::completeness::Completeness;
use bridgevane_gateway::decisions::replication::record_expiry::{Removal, SourceOutage};
use bridgevane_types::{Bytes, DurationMs, TimeMs};
use std::time::Duration;

const QUEUED: QueuedRequest = QueuedRequest {
    queue_ms: 800.0,
    target: DurationMs(1_000),
    is_lowest_priority: true,
    has_prompt: true,
    runs: 0,
};

/// Guards against shedding requests that engines would serve first, plain requests, and requests
/// that may have run.
#[test]
fn only_the_lowest_priority_is_shed_and_only_while_it_has_not_run() {
    let shed = load_shedding::check(QUEUED).expect("0.8 of the target is too long");
    assert_eq!(shed.allowed_ms, 300.0);
    assert_eq!(shed.retry_after, DurationMs(500), "the excess");
    for accepted in [
        QueuedRequest {
            is_lowest_priority: false,
            ..QUEUED
        },
        QueuedRequest {
            has_prompt: false,
            ..QUEUED
        },
        QueuedRequest { runs: 1, ..QUEUED },
        QueuedRequest {
            queue_ms: 300.0,
            ..QUEUED
        },
    ] {
        assert_eq!(load_shedding::check(accepted), None, "{accepted:?}");
    }
    let barely_too_long = load_shedding::check(QueuedRequest {
        queue_ms: 301.0,
        ..QUEUED
    });
    let retry_after = barely_too_long.expect("the queue is too long").retry_after;
    assert_eq!(retry_after, DurationMs(200), "the shortest retry time");
}

/// Guards against a body that exceeds the configuration's limit. That all together stay within the
/// memory is shown in `uploads.rs`, over connections.
#[test]
fn a_body_over_the_limit_for_one_is_refused_for_good() {
    let max_body = Bytes(100);
    assert_eq!(body_limits::check(Some(Bytes(100)), max_body), Ok(()));
    assert_eq!(body_limits::check(None, max_body), Ok(()));
    let too_large = Err(BodyError::TooLarge);
    assert_eq!(body_limits::check(Some(Bytes(101)), max_body), too_large);
}

/// Guards against clients that hold memory by sending slowly while others wait for it.
#[test]
fn a_body_that_arrives_too_slowly_is_given_up_only_while_others_wait() {
    let progress = |received, elapsed_ms| BodyProgress {
        size: BodySize::new(Some(Bytes(1_000_000))),
        received: Bytes(received),
        elapsed: Duration::from_millis(elapsed_ms),
        stalled: Duration::ZERO,
        remaining: Duration::from_millis(4_000 - elapsed_ms),
    };
    let given_up = Err(BodyError::Timeout);
    let waiting = |has_waiting| Contention {
        has_waiting,
        has_refused: false,
    };
    // Half of the time is over.
    assert_eq!(
        body_limits::check_progress(progress(499_000, 2_000), waiting(true)),
        given_up
    );
    assert_eq!(
        body_limits::check_progress(progress(499_000, 2_000), waiting(false)),
        Ok(())
    );
    assert_eq!(
        body_limits::check_progress(progress(501_000, 2_000), waiting(true)),
        Ok(())
    );
    // Nothing has arrived yet.
    assert_eq!(
        body_limits::check_progress(progress(0, 499), waiting(true)),
        Ok(())
    );
    assert_eq!(
        body_limits::check_progress(progress(0, 500), waiting(true)),
        given_up
    );
    assert_eq!(
        body_limits::check_progress(progress(999_999, 4_000), waiting(false)),
        given_up
    );
}

/// Guards against clients that stop just short of the end of their bodies and hold memory until their
/// deadlines, since almost nothing is missing.
#[test]
fn a_body_that_stalls_is_given_up_only_while_others_need_its_room() {
    let progress = |stalled_ms| BodyProgress {
        size: BodySize::new(Some(Bytes(1_000_000))),
        received: Bytes(999_999),
        elapsed: Duration::from_millis(5_000),
        stalled: Duration::from_millis(stalled_ms),
        remaining: Duration::from_millis(10_000),
    };
    let given_up = Err(BodyError::Timeout);
    let needed = [(true, false), (false, true), (true, true)];
    for (has_waiting, has_refused) in needed {
        let contention = Contention {
            has_waiting,
            has_refused,
        };
        let check = |stalled_ms| body_limits::check_progress(progress(stalled_ms), contention);
        assert_eq!(check(1_999), Ok(()));
        assert_eq!(check(2_000), given_up);
    }
    let calm = Contention {
        has_waiting: false,
        has_refused: false,
    };
    assert_eq!(body_limits::check_progress(progress(9_999), calm), Ok(()));
}

/// Guards against a removed key that works beyond its bound, and against 401 or 404 by a stale
/// configuration.
#[test]
fn a_proof_ages_until_serving_ends() {
    let lifetime = DurationMs(4_700);
    let config_apply = DurationMs(3_000);
    let strict = FreshnessPolicy {
        proof_lifetime_ms: lifetime,
        config_apply_ms: config_apply,
        max_stale_age_ms: lifetime,
    };
    assert_eq!(
        strict.freshness(None, Completeness::Complete),
        Freshness::TooOld
    );
    let young = Some(DurationMs(2_999));
    assert_eq!(
        strict.freshness(young, Completeness::Complete),
        Freshness::Current
    );
    for age in [config_apply, DurationMs(4_699)] {
        assert_eq!(
            strict.freshness(Some(age), Completeness::Complete),
            Freshness::Aging
        );
    }
    let slow_changes = FreshnessPolicy {
        config_apply_ms: DurationMs(10_000),
        ..strict
    };
    let still_valid = Some(DurationMs(4_699));
    assert_eq!(
        slow_changes.freshness(still_valid, Completeness::Complete),
        Freshness::Current
    );
    assert_eq!(
        slow_changes.freshness(Some(lifetime), Completeness::Complete),
        Freshness::TooOld
    );
    assert_eq!(
        strict.freshness(Some(lifetime), Completeness::Complete),
        Freshness::TooOld
    );
    let lenient = FreshnessPolicy {
        max_stale_age_ms: DurationMs(60_000),
        ..strict
    };
    assert_eq!(
        lenient.freshness(None, Completeness::Complete),
        Freshness::TooOld
    );
    assert_eq!(
        lenient.freshness(young, Completeness::Complete),
        Freshness::Current
    );
    assert_eq!(
        lenient.freshness(Some(lifetime), Completeness::Complete),
        Freshness::Stale
    );
    let oldest = Some(DurationMs(60_000));
    assert_eq!(
        lenient.freshness(oldest, Completeness::Complete),
        Freshness::TooOld
    );
    assert!(Freshness::Stale.may_serve() && !Freshness::Stale.may_deny());
    let aging = Freshness::Aging;
    assert!(aging.may_serve() && !aging.may_deny() && aging.may_order());
    assert!(Freshness::Current.may_serve() && Freshness::Current.may_deny());
    assert!(!Freshness::TooOld.may_serve() && !Freshness::TooOld.may_deny());
    let wait = |timeout: Option<u64>| freshness::startup_wait(timeout.map(DurationMs));
    assert_eq!(wait(None), Duration::from_millis(500));
    assert_eq!(wait(Some(400)), Duration::from_millis(100));
    assert_eq!(wait(Some(60_000)), Duration::from_millis(500));
}

/// Guards against an endpoint that left while no proof came, and is used for the whole grace from the
/// moment at which its record is seen to be gone: the record may be gone since the proof before.
#[test]
fn a_record_that_is_gone_is_used_for_the_grace_after_the_newest_proof() {
    let grace = DurationMs(2_700);
    let mut outage = SourceOutage::default();
    let removal = |outage: &mut SourceOutage, now, proved_at| {
        outage.removal(TimeMs(now), Some(TimeMs(proved_at)), grace)
    };
    assert_eq!(removal(&mut outage, 10_000, 7_501), Removal::AtOnce);
    let Removal::MayBeLost(lost) = removal(&mut outage, 20_000, 17_500) else {
        panic!("an outage");
    };
    assert_eq!(lost.expires_at(None), TimeMs(20_200));
    assert_eq!(
        lost.expires_at(Some(TimeMs(17_000))),
        TimeMs(20_200),
        "older than the proof"
    );
    assert_eq!(
        lost.expires_at(Some(TimeMs(18_000))),
        TimeMs(20_700),
        "it answered, and didn't leave"
    );
    assert_eq!(
        lost.expires_at(Some(TimeMs(20_400))),
        TimeMs(22_500),
        "a record that has not returned by then isn't lost"
    );
    let alone = lost.of_last_endpoint(TimeMs(20_000));
    assert_eq!(alone.expires_at(None), TimeMs(22_500));
    assert!(matches!(
        removal(&mut outage, 22_499, 22_400),
        Removal::MayBeLost(_)
    ));
    assert_eq!(
        removal(&mut outage, 22_500, 22_400),
        Removal::AtOnce,
        "the outage is over"
    );
}

/// Guards against shares of traffic that differ from the configured weights.
#[test]
fn a_routes_traffic_is_split_by_weight() {
    let split = |weights: &[u32]| -> Vec<usize> {
        let total = traffic_split::total(weights.iter().copied());
        let position = |point| traffic_split::position(weights.iter().copied(), point);
        (0..total.max(1)).map(position).collect()
    };
    assert_eq!(split(&[2, 0, 3]), [0, 0, 2, 2, 2]);
    assert_eq!(split(&[0, 0]), [0], "without weights the first gets all");
}

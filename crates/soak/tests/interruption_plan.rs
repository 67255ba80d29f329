//! Interruptions depend on their seed alone, and strike daemons of the fleet.

use bridgevane_soak::daemon_group::DaemonGroup;
use bridgevane_soak::interruption_plan::{Interruption, InterruptionKind, draw_interruptions};
use std::collections::BTreeSet;
use std::time::Duration;

const DURATION: Duration = Duration::from_secs(40);

/// Guards against a failed run that can't be repeated from its seed.
#[test]
fn the_interruptions_of_a_seed_are_reproducible_and_differ_between_seeds() {
    let draw = |seed| draw_interruptions(seed, DURATION, 8);
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
}

/// Guards against kinds that are never drawn, interruptions that never overlap, and runs that end within one.
#[test]
fn every_kind_is_drawn_and_interruptions_overlap() {
    let drawn: Vec<Vec<Interruption>> = (0..20)
        .map(|seed| draw_interruptions(seed, DURATION, 8))
        .collect();
    let all = || drawn.iter().flatten();
    let kinds: BTreeSet<InterruptionKind> = all().map(|event| event.kind).collect();
    assert_eq!(kinds.len(), 4, "{kinds:?}");
    let ends = |event: &Interruption| event.at + event.lasts;
    let overlaps = |events: &Vec<Interruption>| {
        let mut pairs = events.windows(2);
        pairs.any(|pair| ends(&pair[0]) > pair[1].at)
    };
    assert!(drawn.iter().all(overlaps));
    assert!(all().all(|event| ends(event) <= DURATION));
}

/// Guards against positions beyond the fleet, and seeds that are never struck as a group.
#[test]
fn interruptions_strike_daemons_of_the_fleet() {
    let half = Interruption {
        at: Duration::ZERO,
        lasts: Duration::ZERO,
        kind: InterruptionKind::Frozen,
        group: DaemonGroup::Half,
        first: 5,
    };
    assert_eq!(half.daemons(6, 3), [5, 1, 3]);
    let seeds = Interruption {
        group: DaemonGroup::Seeds,
        ..half
    };
    assert_eq!(seeds.daemons(6, 3), [0, 1, 2]);
}

//! Source path: through which daemons a daemon follows the control source.
//!
//! Every answer carries the path of the daemon that gives it (a path vector, as in routing between
//! networks). A daemon that finds itself in the path of its upstream would follow itself: it leaves
//! at once, so that no circle outlasts one question. The path also names whom to ask when the
//! upstream is lost, and says how deep in the tree a daemon is.
//!
//! Weighed instead (docs/design/15): a distance to the source without names, which counts to its limit
//! before a circle is seen; a tree that each daemon computes from a list of all, which needs the list
//! and its agreement.
//!
//! Tests: `upstream.rs`, `follow_tree.rs`.

use std::net::SocketAddr;

/// Followers of one daemon in its data centre, at most. Not measured, chosen because eight at each of
/// three levels reach over 500 daemons; a seed with eight sends some 10 KB/s (docs/CAPACITY.md).
pub(super) const MAX_LOCAL_FOLLOWERS: usize = 8;
/// The longest path that is taken. Chosen because it is three times the depth that any fleet needs;
/// it bounds a message, not a tree.
const MAX_PATH_LEN: usize = 16;

/// The daemons between one daemon and the control source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourcePath {
    daemons: Vec<SocketAddr>,
    reaches_source: bool,
}

impl SourcePath {
    /// The path of a daemon that follows the source itself.
    pub fn direct() -> Self {
        Self {
            daemons: Vec::new(),
            reaches_source: true,
        }
    }

    /// The path of a daemon that follows nobody at present.
    pub fn detached() -> Self {
        Self::default()
    }

    /// The path as a message has it, the upstream first; none when it is longer than any is.
    pub fn new(daemons: Vec<SocketAddr>, reaches_source: bool) -> Option<Self> {
        (daemons.len() <= MAX_PATH_LEN).then_some(Self {
            daemons,
            reaches_source,
        })
    }

    /// The path of a daemon whose upstream has this path; none when it gets too long.
    pub fn through(&self, upstream: SocketAddr) -> Option<Self> {
        let mut daemons = vec![upstream];
        daemons.extend_from_slice(&self.daemons);
        Self::new(daemons, self.reaches_source)
    }

    /// Whether the last daemon of the path follows the source, as far as the first one knows.
    pub fn reaches_source(&self) -> bool {
        self.reaches_source
    }

    /// Whether the path leads through this daemon.
    pub fn contains(&self, daemon: SocketAddr) -> bool {
        self.daemons.contains(&daemon)
    }

    /// The daemons, the upstream first.
    pub fn daemons(&self) -> &[SocketAddr] {
        &self.daemons
    }

    /// Levels of the tree down to the daemon that has this path: 1 for one that follows the source.
    pub fn depth(&self) -> usize {
        self.daemons.len() + 1
    }
}

/// The depth that a fleet of this size needs: daemons that are deeper look for a better place.
///
/// Seeds are the first level, and each daemon answers eight: 4 levels at 295 daemons, 5 at 1,000.
pub fn needed_depth(fleet_size: u32) -> usize {
    let mut depth = 1;
    let mut reached = 1;
    while reached < fleet_size as usize {
        reached *= MAX_LOCAL_FOLLOWERS;
        depth += 1;
    }
    depth
}

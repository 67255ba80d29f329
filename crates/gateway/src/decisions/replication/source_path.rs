//! Source path: the daemons through which a daemon follows the control source.
//!
//! Every response carries the path of the daemon that gives it (a path vector, as in routing
//! between networks). A daemon that finds itself in the path of its upstream would follow itself:
//! it leaves at once, so that no cycle outlasts one poll. The path also names the daemons to poll
//! when the upstream is lost, and gives the depth of a daemon in the tree.
//!
//! Alternatives (docs/design/15): a distance to the source without names, which counts up to its
//! limit before a cycle is detected; a tree that each daemon computes from a list of all daemons,
//! which needs the list and agreement on it.
//!
//! Tests: `upstream.rs`, `follow_tree.rs`.

use std::net::SocketAddr;

/// The maximum number of followers of one daemon in its data centre. Eight at each of three levels
/// reach over 500 daemons; a seed with eight sends some 10 KB/s (docs/CAPACITY.md).
pub(super) const MAX_LOCAL_FOLLOWERS: usize = 8;
/// The longest path that is accepted: three times the depth that any fleet needs. It bounds a
/// message, not a tree.
const MAX_PATH_LEN: usize = 16;

/// The daemons between one daemon and the control source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourcePath {
    daemons: Vec<SocketAddr>,
    reaches_source: bool,
}

impl SourcePath {
    /// Returns the path of a daemon that follows the source itself.
    pub fn direct() -> Self {
        Self {
            daemons: Vec::new(),
            reaches_source: true,
        }
    }

    /// Returns the path of a daemon that follows no upstream at present.
    pub fn detached() -> Self {
        Self::default()
    }

    /// Returns the path of a message, the upstream first; `None` if it is longer than accepted.
    pub fn new(daemons: Vec<SocketAddr>, reaches_source: bool) -> Option<Self> {
        (daemons.len() <= MAX_PATH_LEN).then_some(Self {
            daemons,
            reaches_source,
        })
    }

    /// Returns the path of a daemon whose upstream has this path; `None` if it gets too long.
    pub fn with_upstream(&self, upstream: SocketAddr) -> Option<Self> {
        let mut daemons = vec![upstream];
        daemons.extend_from_slice(&self.daemons);
        Self::new(daemons, self.reaches_source)
    }

    /// Returns whether the last daemon of the path follows the source, as far as the first one
    /// knows.
    pub fn reaches_source(&self) -> bool {
        self.reaches_source
    }

    /// Returns whether the path leads through this daemon.
    pub fn contains(&self, daemon: SocketAddr) -> bool {
        self.daemons.contains(&daemon)
    }

    /// Returns the daemons, the upstream first.
    pub fn daemons(&self) -> &[SocketAddr] {
        &self.daemons
    }

    /// Returns the level of the daemon that has this path: 1 for one that follows the source.
    pub fn depth(&self) -> usize {
        self.daemons.len() + 1
    }
}

/// Returns the depth that a fleet of this size needs: deeper daemons search for a better place.
///
/// Seeds are the first level, and each daemon serves eight: 4 levels at 295 daemons, 5 at 1,000.
pub fn needed_depth(fleet_size: u32) -> usize {
    let mut depth = 1;
    let mut reached = 1;
    while reached < fleet_size as usize {
        reached *= MAX_LOCAL_FOLLOWERS;
        depth += 1;
    }
    depth
}

//! Parent: the daemon that this one follows, and the way to it.

use super::source_path::SourcePath;
use std::net::SocketAddr;

/// The daemon that this one follows.
#[derive(Clone, Debug)]
pub(super) struct Parent {
    pub(super) address: SocketAddr,
    /// The daemon that was asked before any redirect.
    pub(super) asked_first: SocketAddr,
    /// Redirects that led to it and were not answered yet.
    pub(super) redirects: u32,
    pub(super) has_answered: bool,
    /// Its own source path, as it last said.
    pub(super) path: SourcePath,
}

impl Parent {
    /// A daemon that wasn't asked yet.
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            asked_first: address,
            redirects: 0,
            has_answered: false,
            path: SourcePath::detached(),
        }
    }

    /// The daemon that this one redirects to.
    pub(super) fn redirected(&self, address: SocketAddr) -> Self {
        Self {
            asked_first: self.asked_first,
            redirects: self.redirects + 1,
            ..Self::new(address)
        }
    }

    /// It answered with records.
    pub(super) fn on_records(&mut self, path: SourcePath) {
        self.redirects = 0;
        self.has_answered = true;
        self.path = path;
    }
}

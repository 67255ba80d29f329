//! Parent: the daemon that this one follows, and the redirects that led to it.

use super::source_path::SourcePath;
use std::net::SocketAddr;

/// The daemon that this one follows.
#[derive(Clone, Debug)]
pub(super) struct Parent {
    pub(super) address: SocketAddr,
    /// The daemon that was polled before any redirect.
    pub(super) first_polled: SocketAddr,
    /// The number of redirects that led to it since the last response with records.
    pub(super) redirects: u32,
    pub(super) has_answered: bool,
    /// Its own source path, as last reported.
    pub(super) path: SourcePath,
}

impl Parent {
    /// Creates a parent that wasn't polled yet.
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            first_polled: address,
            redirects: 0,
            has_answered: false,
            path: SourcePath::detached(),
        }
    }

    /// Returns the daemon that this one redirects to as the new parent.
    pub(super) fn redirected(&self, address: SocketAddr) -> Self {
        Self {
            first_polled: self.first_polled,
            redirects: self.redirects + 1,
            ..Self::new(address)
        }
    }

    /// Records a response with records.
    pub(super) fn on_records(&mut self, path: SourcePath) {
        self.redirects = 0;
        self.has_answered = true;
        self.path = path;
    }
}

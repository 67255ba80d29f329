//! Polls between daemons, as `replication::{client, server, seed_exchange}` send and answer them.

use super::*;

impl Fleet {
    pub(super) fn poll_peer(
        &mut self,
        from: usize,
        incarnation: u32,
        peer: SocketAddr,
        poll: u64,
        is_probe: bool,
    ) {
        let asked_at = self.now;
        let to = self.by_address[&peer];
        let failed = |delay: u64| {
            (
                delay,
                Event::Answered {
                    daemon: from,
                    incarnation,
                    poll,
                    peer,
                    answer: Answer::Failed,
                    is_probe,
                },
            )
        };
        let is_cut = self.partition[from] != self.partition[to];
        let (delay, event) = if is_cut {
            failed(CONNECT_TIMEOUT_MS)
        } else if !self.daemons[to].is_alive {
            failed(1)
        } else {
            // The response may never come.
            let is_first = !self.daemons[to].sent_proofs.contains_key(&from);
            let limit_ms = match (is_probe, is_first) {
                (true, _) => PROBE_TIMEOUT_MS,
                (false, true) => FIRST_ANSWER_TIMEOUT_MS,
                (false, false) => ANSWER_TIMEOUT_MS,
            };
            let (delay, event) = failed(limit_ms);
            self.schedule(delay, event);
            (
                self.latency(),
                Event::Poll {
                    from,
                    incarnation,
                    to,
                    poll,
                    is_probe,
                    asked_at,
                },
            )
        };
        self.schedule(delay, event);
    }

    pub(super) fn on_poll(
        &mut self,
        from: usize,
        incarnation: u32,
        to: usize,
        poll: u64,
        is_probe: bool,
        asked_at: u64,
    ) {
        if !self.daemons[to].is_alive || self.partition[from] != self.partition[to] {
            return;
        }
        if self.is_frozen(to) {
            return self.postpone(
                to,
                Event::Poll {
                    from,
                    incarnation,
                    to,
                    poll,
                    is_probe,
                    asked_at,
                },
            );
        }
        let now = TimeMs(self.now);
        let poller_proof = self.daemons[from].proved_at;
        let asking = self.daemons[from].address;
        self.record_peer_proof(to, asking, poller_proof);
        let knowledge = self.daemons[from].knowledge;
        self.hear_report(to, &knowledge);
        if is_probe {
            let answer = Answer::Position(self.report(to, None));
            return self.send(to, from, incarnation, poll, answer, true);
        }
        let subtree = self.daemons[from]
            .followers
            .subtree(now, Default::default(), |_| true);
        let follower = Follower {
            vm: self.daemons[from].vm.clone(),
            data_centre: self.daemons[from].data_centre.clone(),
            address: asking,
            subtree: Subtree {
                size: subtree.size,
                depth: subtree.depth,
                work: Default::default(),
            },
        };
        let answering = &mut self.daemons[to];
        let path = answering.selector.path();
        match answering.followers.place(now, follower, &path) {
            FollowerPlacement::Cycle => {
                let answer = Answer::Position(self.report(to, None));
                self.send(to, from, incarnation, poll, answer, false);
            }
            FollowerPlacement::Redirect(address) => {
                let answer = Answer::Redirect(self.report(to, Some(address)));
                self.send(to, from, incarnation, poll, answer, false);
            }
            FollowerPlacement::Here => {
                let sent_proof = answering.sent_proofs.get(&from).copied().flatten();
                let has_newer_proof = answering.proved_at > sent_proof;
                answering.held.push(HeldPoll {
                    from,
                    from_incarnation: incarnation,
                    poll,
                    asked_at: self.now,
                    sent_proof,
                });
                if has_newer_proof {
                    self.answer_held(to, |held| held.from == from && held.poll == poll);
                } else {
                    let incarnation = answering.incarnation;
                    let proof_age = answering.proved_at.map(|proved_at| now.since(proved_at));
                    let max_hold = max_hold(false, proof_age, self.limits);
                    let event = Event::HoldEnds {
                        daemon: to,
                        incarnation,
                        from,
                        poll,
                    };
                    self.schedule(max_hold.0, event);
                }
            }
        }
    }

    pub(super) fn exchange_between_seeds(&mut self) {
        let seeds = 0..self.seeds.len();
        for from in seeds.clone() {
            let asking = &self.daemons[from];
            let (address, proved_at) = (asking.address, asking.proved_at);
            if !asking.is_alive || self.is_frozen(from) {
                continue;
            }
            for to in seeds.clone().filter(|to| *to != from) {
                let is_reached =
                    self.partition[from] == self.partition[to] && self.daemons[to].is_alive;
                if !is_reached || self.is_frozen(to) {
                    continue;
                }
                self.record_peer_proof(to, address, proved_at);
                let (own, other) = (self.daemons[from].knowledge, self.daemons[to].knowledge);
                self.hear_report(to, &own);
                self.hear_report(from, &other);
                // The proof of the response applies to a daemon that has the same state.
                let (revision, proved_at) = (self.daemons[to].revision, self.daemons[to].proved_at);
                if let Some(proved_at) =
                    proved_at.filter(|_| self.daemons[from].revision >= revision)
                {
                    self.prove(from, proved_at);
                }
            }
        }
    }

    /// Cancels the daemon's current poll if the polling daemon has a fresher proof, like
    /// `server::note_proof`.
    pub(super) fn record_peer_proof(
        &mut self,
        at: usize,
        asking: SocketAddr,
        proved_at: Option<TimeMs>,
    ) {
        let limits = self.limits;
        let now = TimeMs(self.now);
        let daemon = &mut self.daemons[at];
        let needed_from = limits.adopt_below;
        let is_fresh = |own: TimeMs| now.since(own) < needed_from;
        if daemon.proved_at.is_some_and(is_fresh) || proved_at <= daemon.proved_at {
            return;
        }
        daemon.fresher = proved_at.map(|proved_at| (asking, proved_at));
        if !daemon.is_polling {
            return;
        }
        if daemon.is_polling_source {
            daemon.selector.on_source_failed(now);
        }
        self.cancel_poll(at);
    }

    /// Cancels the current poll, like `follow::poll_peer` and `poll_source` when a better upstream
    /// appears.
    pub(super) fn cancel_poll(&mut self, at: usize) {
        let daemon = &mut self.daemons[at];
        daemon.poll += 1;
        let incarnation = daemon.incarnation;
        if let Some(parent) = daemon.parent {
            // The connection is closed with the poll.
            self.daemons[parent].sent_proofs.remove(&at);
        }
        self.end_step(at, incarnation);
    }

    pub(super) fn report(&self, daemon: usize, redirect: Option<SocketAddr>) -> PeerReport {
        let daemon = &self.daemons[daemon];
        PeerReport {
            data_centre: daemon.data_centre.clone(),
            // A redirect carries no proof.
            proof_age: daemon
                .proved_at
                .filter(|_| redirect.is_none())
                .map(|proved_at| DurationMs(TimeMs(self.now).since(proved_at).0 + 1)),
            path: match redirect {
                Some(_) => SourcePath::detached(),
                None => daemon.selector.path(),
            },
            redirect,
            siblings: Vec::new(),
        }
    }

    pub(super) fn answer_held(
        &mut self,
        responder: usize,
        is_answered: impl Fn(&HeldPoll) -> bool,
    ) {
        let now = TimeMs(self.now);
        let held = std::mem::take(&mut self.daemons[responder].held);
        let (answered, kept): (Vec<HeldPoll>, Vec<HeldPoll>) =
            held.into_iter().partition(is_answered);
        self.daemons[responder].held = kept;
        for held in answered {
            let vm = self.daemons[held.from].vm.clone();
            let mut report = self.report(responder, None);
            report.siblings = self.daemons[responder].followers.siblings(now, &vm);
            self.daemons[responder].followers.on_answered(now, &vm);
            let sent_proof = self.daemons[responder].proved_at;
            self.daemons[responder]
                .sent_proofs
                .insert(held.from, sent_proof);
            let held_ms = self.now - held.asked_at;
            let revision = self.daemons[responder].revision;
            let answer = Answer::Records {
                report,
                revision,
                held_ms,
                knowledge: self.daemons[responder].knowledge,
            };
            self.send(
                responder,
                held.from,
                held.from_incarnation,
                held.poll,
                answer,
                false,
            );
        }
    }

    pub(super) fn send(
        &mut self,
        from: usize,
        to: usize,
        incarnation: u32,
        poll: u64,
        answer: Answer,
        is_probe: bool,
    ) {
        if self.partition[from] != self.partition[to] {
            return;
        }
        let peer = self.daemons[from].address;
        let delay = self.latency();
        let event = Event::Answered {
            daemon: to,
            incarnation,
            poll,
            peer,
            answer,
            is_probe,
        };
        self.schedule(delay, event);
    }

    pub(super) fn on_answer(
        &mut self,
        at: usize,
        incarnation: u32,
        poll: u64,
        peer: SocketAddr,
        answer: Answer,
        is_probe: bool,
    ) {
        // Drops a second response, and one to an earlier process or poll.
        if self.daemons[at].incarnation != incarnation || self.daemons[at].poll != poll {
            return;
        }
        if self.is_frozen(at) {
            let event = Event::Answered {
                daemon: at,
                incarnation,
                poll,
                peer,
                answer,
                is_probe,
            };
            return self.postpone(at, event);
        }
        self.daemons[at].poll += 1;
        let now = TimeMs(self.now);
        let answer = self.with_local_age(at, answer);
        let size = self.estimated_size(at);
        let daemon = &mut self.daemons[at];
        match answer {
            Answer::Failed => {
                daemon.selector.on_peer_failed(now, peer);
                if !is_probe {
                    daemon.parent = None;
                }
            }
            Answer::Position(report) if is_probe => daemon.selector.on_probed(now, peer, &report),
            Answer::Position(report) | Answer::Records { report, .. }
                if daemon.selector.is_in_path(&report.path) =>
            {
                daemon.selector.on_cycle(now, peer);
                daemon.parent = None;
                self.cycles_left += 1;
            }
            Answer::Position(report) | Answer::Redirect(report) => {
                daemon.selector.on_peer_answered(now, peer, &report);
            }
            Answer::Records {
                report,
                revision,
                knowledge,
                ..
            } => {
                daemon.revision = daemon.revision.max(revision);
                daemon.selector.on_fleet_size(size);
                daemon.selector.on_peer_answered(now, peer, &report);
                self.learn_from_daemon(at, &knowledge);
                if let Some(age) = report.proof_age {
                    self.prove(at, TimeMs(self.now.saturating_sub(age.0)));
                }
            }
        }
        self.end_step(at, incarnation);
    }

    /// Computes the age of a received proof by the polling daemon's clock, from its poll on, like
    /// `client::proved_at`.
    pub(super) fn with_local_age(&self, at: usize, answer: Answer) -> Answer {
        let asked_at = self.daemons[at].asked_at;
        let age = |report: PeerReport, held_ms: u64| {
            let proved_at = report
                .proof_age
                .and_then(|age| (asked_at + held_ms).checked_sub(age.0));
            PeerReport {
                proof_age: proved_at.map(|proved_at| TimeMs(self.now).since(TimeMs(proved_at))),
                ..report
            }
        };
        match answer {
            Answer::Position(report) => Answer::Position(age(report, 0)),
            Answer::Records {
                report,
                revision,
                held_ms,
                knowledge,
            } => Answer::Records {
                report: age(report, held_ms),
                revision,
                held_ms,
                knowledge,
            },
            other => other,
        }
    }
}

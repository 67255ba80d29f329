//! Questions between daemons, as `replication::{client, server, seed_exchange}` ask and answer them.

use super::*;

impl Fleet {
    pub(super) fn ask(
        &mut self,
        from: usize,
        life: u32,
        peer: SocketAddr,
        question: u64,
        is_probe: bool,
    ) {
        let asked_at = self.now;
        let to = self.by_address[&peer];
        let failed = |delay: u64| {
            (
                delay,
                Event::Answered {
                    daemon: from,
                    life,
                    question,
                    peer,
                    answer: Answer::Failed,
                    is_probe,
                },
            )
        };
        let is_cut = self.group[from] != self.group[to];
        let (delay, event) = if is_cut {
            failed(CONNECT_TIMEOUT_MS)
        } else if !self.daemons[to].is_alive {
            failed(1)
        } else {
            // The answer may never come.
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
                Event::Ask {
                    from,
                    life,
                    to,
                    question,
                    is_probe,
                    asked_at,
                },
            )
        };
        self.schedule(delay, event);
    }

    pub(super) fn on_question(
        &mut self,
        from: usize,
        life: u32,
        to: usize,
        question: u64,
        is_probe: bool,
        asked_at: u64,
    ) {
        if !self.daemons[to].is_alive || self.group[from] != self.group[to] {
            return;
        }
        if self.is_frozen(to) {
            return self.put_off(
                to,
                Event::Ask {
                    from,
                    life,
                    to,
                    question,
                    is_probe,
                    asked_at,
                },
            );
        }
        let now = TimeMs(self.now);
        let asking_proof = self.daemons[from].proved_at;
        let asking = self.daemons[from].address;
        self.note_proof(to, asking, asking_proof);
        if is_probe {
            let answer = Answer::Place(self.report(to, None));
            return self.send(to, from, life, question, answer, true);
        }
        let tree = self.daemons[from]
            .followers
            .tree(now, Default::default(), |_| true);
        let follower = Follower {
            vm: self.daemons[from].vm.clone(),
            data_centre: self.daemons[from].data_centre.clone(),
            address: asking,
            tree: Tree {
                size: tree.size,
                depth: tree.depth,
                work: Default::default(),
            },
        };
        let answering = &mut self.daemons[to];
        let path = answering.selector.path();
        match answering.followers.place(now, follower, &path) {
            FollowerPlacement::Circle => {
                let answer = Answer::Place(self.report(to, None));
                self.send(to, from, life, question, answer, false);
            }
            FollowerPlacement::Redirect(address) => {
                let answer = Answer::Redirect(self.report(to, Some(address)));
                self.send(to, from, life, question, answer, false);
            }
            FollowerPlacement::Here => {
                let sent_proof = answering.sent_proofs.get(&from).copied().flatten();
                let is_news = answering.proved_at > sent_proof;
                answering.held.push(Held {
                    from,
                    from_life: life,
                    question,
                    asked_at: self.now,
                    sent_proof,
                });
                if is_news {
                    self.answer_held(to, |held| held.from == from && held.question == question);
                } else {
                    let life = answering.life;
                    let proof_age = answering.proved_at.map(|proved_at| now.since(proved_at));
                    let hold = hold(false, proof_age, self.limits);
                    let event = Event::HoldEnds {
                        daemon: to,
                        life,
                        from,
                        question,
                    };
                    self.schedule(hold.0, event);
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
                let is_reached = self.group[from] == self.group[to] && self.daemons[to].is_alive;
                if !is_reached || self.is_frozen(to) {
                    continue;
                }
                self.note_proof(to, address, proved_at);
                // The answer's proof serves who has the state.
                let (at, proved_at) = (self.daemons[to].at, self.daemons[to].proved_at);
                if let Some(proved_at) = proved_at.filter(|_| self.daemons[from].at >= at) {
                    self.prove(from, proved_at);
                }
            }
        }
    }

    /// As `server::note_proof`: whatever the daemon waits for is given up for a fresher one.
    pub(super) fn note_proof(&mut self, at: usize, asking: SocketAddr, proved_at: Option<TimeMs>) {
        let limits = self.limits;
        let now = TimeMs(self.now);
        let daemon = &mut self.daemons[at];
        let needed_from = limits.adopt_below;
        let is_fresh = |own: TimeMs| now.since(own) < needed_from;
        if daemon.proved_at.is_some_and(is_fresh) || proved_at <= daemon.proved_at {
            return;
        }
        daemon.fresher = proved_at.map(|proved_at| (asking, proved_at));
        if !daemon.is_waiting {
            return;
        }
        if daemon.is_at_source {
            daemon.selector.on_source_failed(now);
        }
        self.give_up_question(at);
    }

    /// As `follow::ask_peer` and `ask_source` when something better comes.
    pub(super) fn give_up_question(&mut self, at: usize) {
        let daemon = &mut self.daemons[at];
        daemon.question += 1;
        let life = daemon.life;
        if let Some(parent) = daemon.parent {
            // The connection is closed with the question.
            self.daemons[parent].sent_proofs.remove(&at);
        }
        self.end_step(at, life);
    }

    pub(super) fn report(&self, of: usize, redirect: Option<SocketAddr>) -> PeerReport {
        let daemon = &self.daemons[of];
        PeerReport {
            data_centre: daemon.data_centre.clone(),
            // A redirect proves nothing.
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

    pub(super) fn answer_held(&mut self, of: usize, is_answered: impl Fn(&Held) -> bool) {
        let now = TimeMs(self.now);
        let held = std::mem::take(&mut self.daemons[of].held);
        let (answered, kept): (Vec<Held>, Vec<Held>) = held.into_iter().partition(is_answered);
        self.daemons[of].held = kept;
        for held in answered {
            let vm = self.daemons[held.from].vm.clone();
            let mut report = self.report(of, None);
            report.siblings = self.daemons[of].followers.siblings(now, &vm);
            self.daemons[of].followers.on_answered(now, &vm);
            let sent_proof = self.daemons[of].proved_at;
            self.daemons[of].sent_proofs.insert(held.from, sent_proof);
            let held_ms = self.now - held.asked_at;
            let at = self.daemons[of].at;
            let answer = Answer::Records {
                report,
                at,
                held_ms,
            };
            self.send(of, held.from, held.from_life, held.question, answer, false);
        }
    }

    pub(super) fn send(
        &mut self,
        from: usize,
        to: usize,
        life: u32,
        question: u64,
        answer: Answer,
        is_probe: bool,
    ) {
        if self.group[from] != self.group[to] {
            return;
        }
        let peer = self.daemons[from].address;
        let delay = self.latency();
        let event = Event::Answered {
            daemon: to,
            life,
            question,
            peer,
            answer,
            is_probe,
        };
        self.schedule(delay, event);
    }

    pub(super) fn on_answer(
        &mut self,
        at: usize,
        life: u32,
        question: u64,
        peer: SocketAddr,
        answer: Answer,
        is_probe: bool,
    ) {
        // A second answer, or one to a process or a question that is over.
        if self.daemons[at].life != life || self.daemons[at].question != question {
            return;
        }
        if self.is_frozen(at) {
            let event = Event::Answered {
                daemon: at,
                life,
                question,
                peer,
                answer,
                is_probe,
            };
            return self.put_off(at, event);
        }
        self.daemons[at].question += 1;
        let now = TimeMs(self.now);
        let answer = self.aged(at, answer);
        let size = self.estimated_size(at);
        let daemon = &mut self.daemons[at];
        match answer {
            Answer::Failed => {
                daemon.selector.on_peer_failed(now, peer);
                if !is_probe {
                    daemon.parent = None;
                }
            }
            Answer::Place(report) if is_probe => daemon.selector.on_probed(now, peer, &report),
            Answer::Place(report) | Answer::Records { report, .. }
                if daemon.selector.leads_back(&report.path) =>
            {
                daemon.selector.on_circle(now, peer);
                daemon.parent = None;
                self.circles_left += 1;
            }
            Answer::Place(report) | Answer::Redirect(report) => {
                daemon.selector.on_peer_answered(now, peer, &report);
            }
            Answer::Records {
                report,
                at: revision,
                ..
            } => {
                daemon.at = daemon.at.max(revision);
                daemon.selector.on_fleet_size(size);
                daemon.selector.on_peer_answered(now, peer, &report);
                if let Some(age) = report.proof_age {
                    self.prove(at, TimeMs(self.now.saturating_sub(age.0)));
                }
            }
        }
        self.end_step(at, life);
    }

    /// Works out the age of the proof that came, as `client::proved_at` does: by the asking daemon's
    /// clock, from its question on.
    pub(super) fn aged(&self, at: usize, answer: Answer) -> Answer {
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
            Answer::Place(report) => Answer::Place(age(report, 0)),
            Answer::Records {
                report,
                at,
                held_ms,
            } => Answer::Records {
                report: age(report, held_ms),
                at,
                held_ms,
            },
            other => other,
        }
    }
}

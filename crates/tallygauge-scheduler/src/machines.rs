//! Machines: which there are, how long their sessions last, and what must leave
//! them.

use crate::{cluster_state::Cluster, model::*};
use std::collections::{BTreeSet, HashMap};
use tallygauge_health::{Hearing, Order};
use tallygauge_protocol::{
    cloud::{Machine, MachineState},
    users::Shape,
    workers::TaskState,
};

/// Leases after which a machine that nothing is heard of is given up.
const SILENT_LEASES: f64 = 4.0;

impl Cluster {
    /// Makes sure that a machine is in the picture.
    pub fn know(
        &mut self,
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        endpoint: &str,
        now: f64,
    ) {
        let free = self
            .types
            .get(machine_type)
            .map(Room::of_type)
            .unwrap_or_default();
        let known = self.workers.contains_key(name);
        let mut images = Images::default();
        if !known {
            images.cached = self.atlas.take(name);
        }
        let worker = self
            .workers
            .entry(name.to_string())
            .or_insert_with(|| Worker {
                name: name.to_string(),
                endpoint: String::new(),
                machine_type: machine_type.to_string(),
                zone: zone.to_string(),
                spot,
                rented_at: now,
                known_at: now,
                session: 0,
                order: Order::default(),
                token: 0,
                hearing: Hearing::default(),
                steady_since: f64::INFINITY,
                owes: false,
                session_at: now,
                booted_at: None,
                dead_session: 0,
                fenced_at: None,
                answered_at: f64::NEG_INFINITY,
                heard_at: f64::NEG_INFINITY,
                notice_until: None,
                held: Vec::new(),
                strays: Vec::new(),
                free,
                images,
                leaving: None,
                surplus: false,
                return_sent: false,
                direct_busy: false,
                direct_failures: 0,
                direct_after: f64::NEG_INFINITY,
                idle_since: now,
                error_jobs: BTreeSet::new(),
                pace: (0.0, 0),
            });
        if worker.endpoint.is_empty() {
            worker.endpoint = endpoint.to_string();
        }
    }

    /// Takes up a whole machine list that was asked for at `asked_at`. A
    /// machine known well before that, counting the list's lag, and not in it,
    /// is gone: once listed it would stay listed until then. Returns the names
    /// of those that went.
    pub fn on_list(&mut self, machines: &[Machine], asked_at: f64, now: f64) -> Vec<String> {
        // The list shows all that was known by then, and nothing gone by then.
        let sure = asked_at - 2.0 * self.cfg.list_lag_s - self.cfg.margin_s();
        self.departed.forget(now);
        let mut listed = BTreeSet::new();
        for m in machines {
            listed.insert(m.name.as_str());
            if self.departed.outdates(&m.name, sure) {
                continue;
            }
            self.know(&m.name, &m.machine_type, &m.zone, m.spot, &m.endpoint, now);
            let Some(worker) = self.workers.get_mut(&m.name) else {
                continue;
            };
            worker.rented_at = worker.rented_at.min(now - m.age_s);
            if m.state == MachineState::Running {
                worker.booted_at.get_or_insert(now);
            }
            if m.state == MachineState::Failed && worker.leaving.is_none() {
                worker.leaving = Some((LeaveReason::Failed, now));
                worker.dead_session = worker.dead_session.max(worker.session);
                self.end_session(&m.name, u64::MAX, now);
            }
        }
        let gone: Vec<String> = self
            .workers
            .values()
            .filter(|w| w.known_at < sure && !listed.contains(w.name.as_str()))
            .map(|w| w.name.clone())
            .collect();
        for name in &gone {
            self.gone(name, now);
        }
        gone
    }

    /// A machine is surely gone, and everything on it.
    pub fn gone(&mut self, name: &str, now: f64) {
        self.end_session(name, u64::MAX, now);
        self.departed.went(name, now);
        self.workers.remove(name);
    }

    /// When the worker's present session is over at the latest, if it is not
    /// answered again.
    #[must_use]
    pub fn session_end(&self, worker: &Worker) -> f64 {
        let lease = self.cfg.stretched(self.cfg.lease_s);
        match worker.fenced_at {
            Some(at) => worker.answered_at.max(at).max(worker.session_at) + lease,
            // An earlier leader may have gone on answering until it had to
            // stop for want of a confirmed term.
            None => {
                (self.term_at + self.cfg.stretched(self.cfg.fence_s))
                    .max(worker.answered_at)
                    .max(worker.session_at)
                    + lease
            }
        }
    }

    /// Lets time pass: sessions end, notices run out, machines are given up.
    pub fn tick(&mut self, now: f64) {
        let over = |w: &&Worker| !w.held.is_empty() && now > self.session_end(w);
        let over: Vec<String> = self
            .workers
            .values()
            .filter(over)
            .map(|w| w.name.clone())
            .collect();
        for name in over {
            let Some(worker) = self.workers.get(&name) else {
                continue;
            };
            let sessions = worker.held.iter().map(|h| h.session);
            let last = sessions.max().unwrap_or(0).max(worker.session);
            let (session_end, lease) = (
                self.session_end(worker),
                self.cfg.stretched(self.cfg.lease_s),
            );
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.dead_session = worker.dead_session.max(last);
            }
            self.end_attempts(&name, now, |h| now > h.surely_over(session_end, lease));
        }
        let wanting: Vec<String> = self
            .workers
            .values()
            .filter(|w| {
                w.leaving.is_some() || w.notice_until.is_some() || self.give_up(w, now).is_some()
            })
            .map(|w| w.name.clone())
            .collect();
        for name in wanting {
            self.drain(&name, now);
        }
    }

    /// Why a machine should be returned, if it should.
    fn give_up(&self, worker: &Worker, now: f64) -> Option<LeaveReason> {
        let cfg = &self.cfg;
        // A leader new in office has not heard of any worker yet: that alone
        // does not make an old machine one that never came up.
        if !worker.up() && worker.booted_at.is_none() {
            let boot_s = self
                .types
                .get(&worker.machine_type)
                .map_or(60.0, |t| t.boot_s);
            let late = now - worker.rented_at > boot_s * 4.0 && now - self.term_at > cfg.lease_s;
            return late.then_some(LeaveReason::NoBoot);
        }
        // Whole zones are cut off for several leases and come back: until then
        // others are rented where work needs them, but none is thrown away.
        let since = worker.booted_at.unwrap_or(f64::NEG_INFINITY);
        let heard = worker.heard_at.max(since).max(self.term_at);
        if worker.held.is_empty() && now - heard > cfg.lease_s * SILENT_LEASES {
            return Some(LeaveReason::Silent);
        }
        // So do those that hear nothing: a zone may be cut in one direction.
        let deaf = worker.hearing.deaf_for(now);
        if deaf.is_some_and(|s| s > cfg.lease_s * SILENT_LEASES) {
            return Some(LeaveReason::Deaf);
        }
        if worker.pace.1 >= 3 && worker.pace.0 / f64::from(worker.pace.1) > 1.8 {
            return Some(LeaveReason::Slow);
        }
        // Who was not heard of since the stop was not answered since either: by
        // the fence its session ends in time. Most such machines are in a zone
        // that is cut off, at work on other jobs.
        let overdue = |s: Stop| {
            s.reason == StopReason::Cancelled
                && worker.heard_at >= s.at
                && now - s.at > cfg.cancel_s * 0.7
        };
        let unconfirmed = |h: &Held| h.stop.is_some_and(overdue) && h.occupies();
        worker
            .held
            .iter()
            .any(unconfirmed)
            .then_some(LeaveReason::Unconfirmed)
    }

    /// Stops what should not stay on a machine.
    pub(crate) fn drain(&mut self, name: &str, now: f64) {
        // Few machines are about to go: only for those is more looked at.
        let ratios: HashMap<String, f64> = match &self.workers[name].notice_until {
            Some(_) => self.workers[name]
                .held
                .iter()
                .map(|h| (h.spec.class.clone(), self.class_ratio(&h.spec.class)))
                .collect(),
            None => HashMap::new(),
        };
        let reason = self.give_up(&self.workers[name], now);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.leaving.is_none()
            && let Some(reason) = reason
        {
            worker.leaving = Some((reason, now));
            self.events
                .push((true, format!("{name} is given up: {reason:?}")));
        }
        let until = worker.notice_until;
        let leaving = worker.leaving;
        self.attention.insert(name.to_string());
        for held in &mut worker.held {
            if held.stop.is_some() || !held.occupies() || held.phase == Phase::Planned {
                continue;
            }
            if let Some(until) = until {
                let left = until - now;
                let ratio = ratios.get(&held.spec.class).copied().unwrap_or(1.0);
                let to_go =
                    (held.spec.expected_s * ratio - held.saved_s - held.ran_s(now)).max(0.0);
                // Tasks that can save are stopped while there is time to save
                // twice over, unless they will have ended by then. The notice
                // may be half as long as said, so it is acted on early.
                let saves = held.spec.checkpoint_every_s > 0.0;
                let starting = held.running_since.is_none();
                if (saves && to_go > left * 0.5) || starting {
                    held.stop = Some(Stop {
                        reason: StopReason::Notice,
                        at: now,
                    });
                }
            } else if let Some((reason, _)) = leaving {
                let saves = held.spec.checkpoint_every_s > 0.0;
                let at_once = matches!(reason, LeaveReason::Unconfirmed | LeaveReason::Faulty);
                if saves
                    || at_once
                    || held.running_since.is_none()
                    || held.spec.shape == Shape::Service
                {
                    held.stop = Some(Stop {
                        reason: StopReason::Drained,
                        at: now,
                    });
                }
            }
        }
    }

    /// CPUs of machines that are up: starting or stopping a task, fetching an
    /// image, running, free.
    #[must_use]
    pub fn use_of_cpus(&self) -> [f64; 4] {
        let mut sums = [0.0; 4];
        for worker in self.workers.values().filter(|w| w.up()) {
            sums[3] += worker.free.cpus;
            for held in worker.held.iter().filter(|h| h.occupies()) {
                let at = match held.phase {
                    Phase::On(TaskState::Fetching) => 1,
                    Phase::On(TaskState::Running) => 2,
                    _ => 0,
                };
                sums[at] += held.spec.cpus;
            }
        }
        sums
    }
}

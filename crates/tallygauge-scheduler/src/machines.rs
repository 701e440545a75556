//! Machines: which there are, how long their sessions last, and what must leave
//! them.

use crate::{cluster_state::ClusterState, model::*};
use std::collections::{BTreeSet, HashMap};
use tallygauge_health::{MessageOrder, Reachability};
use tallygauge_protocol::{
    cloud::{Machine, MachineState},
    users::Shape,
    workers::TaskState,
};

/// Leases after which a machine that nothing is heard of is given up.
const SILENT_LEASES: f64 = 4.0;

impl ClusterState {
    /// Makes sure that a machine is in the picture.
    pub fn register_machine(
        &mut self,
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        endpoint: &str,
        now: f64,
    ) {
        let free = self
            .machine_types
            .get(machine_type)
            .map(Resources::of_type)
            .unwrap_or_default();
        let known = self.workers.contains_key(name);
        let mut images = ImageCache::default();
        if !known {
            images.cached = self.image_index.take_images_of(name);
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
                incarnation: 0,
                message_order: MessageOrder::default(),
                fencing_token: 0,
                reachability: Reachability::default(),
                heartbeats_steady_since: f64::INFINITY,
                acknowledgement_due: false,
                incarnation_seen_at: now,
                booted_at: None,
                last_dead_incarnation: 0,
                fencing_token_seen_at: None,
                lease_renewed_at: f64::NEG_INFINITY,
                last_heartbeat_at: f64::NEG_INFINITY,
                spot_notice_until: None,
                attempts: Vec::new(),
                orphaned_attempts: Vec::new(),
                free_resources: free,
                images,
                leaving: None,
                surplus: false,
                return_sent: false,
                direct_message_in_flight: false,
                direct_failures: 0,
                next_direct_message_at: f64::NEG_INFINITY,
                idle_since: now,
                failed_jobs: BTreeSet::new(),
                runtime_ratio: SampleSum::default(),
            });
        if worker.endpoint.is_empty() {
            worker.endpoint = endpoint.to_string();
        }
    }

    /// Takes up a whole machine list that was asked for at `asked_at`. A
    /// machine known well before that, counting the list's lag, and not in it,
    /// is gone: once listed it would stay listed until then. Returns the names
    /// of those that went.
    pub fn apply_machine_list(
        &mut self,
        machines: &[Machine],
        asked_at: f64,
        now: f64,
    ) -> Vec<String> {
        // The list shows all that was known by then, and nothing gone by then.
        let sure = asked_at - 2.0 * self.config.list_lag_s - self.config.timing_margin_s();
        self.tombstones.expire(now);
        let mut listed = BTreeSet::new();
        for m in machines {
            listed.insert(m.name.as_str());
            if self.tombstones.overrules_listing(&m.name, sure) {
                continue;
            }
            self.register_machine(&m.name, &m.machine_type, &m.zone, m.spot, &m.endpoint, now);
            let Some(worker) = self.workers.get_mut(&m.name) else {
                continue;
            };
            worker.rented_at = worker.rented_at.min(now - m.age_s);
            if m.state == MachineState::Running {
                worker.booted_at.get_or_insert(now);
            }
            if m.state == MachineState::Failed && worker.leave(LeaveReason::Failed, now) {
                worker.last_dead_incarnation = worker.last_dead_incarnation.max(worker.incarnation);
                self.end_incarnation(&m.name, u64::MAX, now);
            }
        }
        let gone: Vec<String> = self
            .workers
            .values()
            .filter(|w| w.known_at < sure && !listed.contains(w.name.as_str()))
            .map(|w| w.name.clone())
            .collect();
        for name in &gone {
            self.deregister_machine(name, now);
        }
        gone
    }

    /// A machine is surely gone, and everything on it.
    pub fn deregister_machine(&mut self, name: &str, now: f64) {
        self.end_incarnation(name, u64::MAX, now);
        self.tombstones.record_departure(name, now);
        self.workers.remove(name);
    }

    /// When the worker's present session is over at the latest, if it is not
    /// answered again.
    #[must_use]
    pub fn lease_expiry(&self, worker: &Worker) -> f64 {
        let lease = self.config.with_clock_drift(self.config.lease_s);
        match worker.fencing_token_seen_at {
            Some(at) => {
                worker
                    .lease_renewed_at
                    .max(at)
                    .max(worker.incarnation_seen_at)
                    + lease
            }
            // An earlier leader may have gone on answering until it had to
            // stop for want of a confirmed term.
            None => {
                (self.term_started_at + self.config.with_clock_drift(self.config.fence_s))
                    .max(worker.lease_renewed_at)
                    .max(worker.incarnation_seen_at)
                    + lease
            }
        }
    }

    /// Lets time pass: sessions end, notices run out, machines are given up.
    pub fn advance_time(&mut self, now: f64) {
        let over = |w: &&Worker| !w.attempts.is_empty() && now > self.lease_expiry(w);
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
            let sessions = worker.attempts.iter().map(|h| h.incarnation);
            let last = sessions.max().unwrap_or(0).max(worker.incarnation);
            let (session_end, lease) = (
                self.lease_expiry(worker),
                self.config.with_clock_drift(self.config.lease_s),
            );
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.last_dead_incarnation = worker.last_dead_incarnation.max(last);
            }
            self.end_attempts(&name, now, |h| now > h.certain_end(session_end, lease));
        }
        let wanting: Vec<String> = self
            .workers
            .values()
            .filter(|w| {
                w.leaving.is_some()
                    || w.spot_notice_until.is_some()
                    || self.decommission_reason(w, now).is_some()
            })
            .map(|w| w.name.clone())
            .collect();
        for name in wanting {
            self.stop_unwanted_attempts(&name, now);
        }
    }

    /// Why a machine should be returned, if it should.
    fn decommission_reason(&self, worker: &Worker, now: f64) -> Option<LeaveReason> {
        let cfg = &self.config;
        // A leader new in office has not heard of any worker yet: that alone
        // does not make an old machine one that never came up.
        if !worker.is_up() && worker.booted_at.is_none() {
            let boot_s = self
                .machine_types
                .get(&worker.machine_type)
                .map_or(60.0, |t| t.boot_s);
            let late =
                now - worker.rented_at > boot_s * 4.0 && now - self.term_started_at > cfg.lease_s;
            return late.then_some(LeaveReason::BootTimeout);
        }
        // Whole zones are cut off for several leases and come back: until then
        // others are rented where work needs them, but none is thrown away.
        let since = worker.booted_at.unwrap_or(f64::NEG_INFINITY);
        let heard = worker
            .last_heartbeat_at
            .max(since)
            .max(self.term_started_at);
        if worker.attempts.is_empty() && now - heard > cfg.lease_s * SILENT_LEASES {
            return Some(LeaveReason::Silent);
        }
        // So do those that hear nothing: a zone may be cut in one direction.
        let deaf = worker.reachability.unreachable_for(now);
        if deaf.is_some_and(|s| s > cfg.lease_s * SILENT_LEASES) {
            return Some(LeaveReason::Unreachable);
        }
        if worker.runtime_ratio.count >= 3 && worker.runtime_ratio.mean() > 1.8 {
            return Some(LeaveReason::Slow);
        }
        // Who was not heard of since the stop was not answered since either: by
        // the fence its session ends in time. Most such machines are in a zone
        // that is cut off, at work on other jobs.
        let overdue = |s: StopDecision| {
            s.reason == StopReason::Cancelled
                && worker.last_heartbeat_at >= s.at
                && now - s.at > cfg.cancel_timeout_s * 0.7
        };
        let unconfirmed = |h: &Attempt| h.stop.is_some_and(overdue) && h.occupies_capacity();
        worker
            .attempts
            .iter()
            .any(unconfirmed)
            .then_some(LeaveReason::Unconfirmed)
    }

    /// Stops what should not stay on a machine.
    pub(crate) fn stop_unwanted_attempts(&mut self, name: &str, now: f64) {
        // Few machines are about to go: only for those is more looked at.
        let ratios: HashMap<String, f64> = match &self.workers[name].spot_notice_until {
            Some(_) => self.workers[name]
                .attempts
                .iter()
                .map(|h| (h.spec.class.clone(), self.runtime_ratio(&h.spec.class)))
                .collect(),
            None => HashMap::new(),
        };
        let reason = self.decommission_reason(&self.workers[name], now);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some(reason) = reason
            && worker.leave(reason, now)
        {
            self.events
                .push((true, format!("{name} is given up: {reason:?}")));
        }
        let until = worker.spot_notice_until;
        let leaving = worker.leaving;
        self.needs_direct_message.insert(name.to_string());
        for held in &mut worker.attempts {
            if held.stop.is_some()
                || !held.occupies_capacity()
                || held.phase == AttemptPhase::Planned
            {
                continue;
            }
            if let Some(until) = until {
                let left = until - now;
                let ratio = ratios.get(&held.spec.class).copied().unwrap_or(1.0);
                let to_go =
                    (held.spec.expected_s * ratio - held.checkpointed_s - held.run_time_s(now))
                        .max(0.0);
                // Tasks that can save are stopped while there is time to save
                // twice over, unless they will have ended by then. The notice
                // may be half as long as said, so it is acted on early.
                let saves = held.spec.checkpoint_every_s > 0.0;
                let starting = held.running_since.is_none();
                if (saves && to_go > left * 0.5) || starting {
                    held.stop = Some(StopDecision {
                        reason: StopReason::SpotNotice,
                        at: now,
                    });
                }
            } else if let Some(LeaveDecision { reason, .. }) = leaving {
                let saves = held.spec.checkpoint_every_s > 0.0;
                let at_once = matches!(reason, LeaveReason::Unconfirmed | LeaveReason::Faulty);
                if saves
                    || at_once
                    || held.running_since.is_none()
                    || held.spec.shape == Shape::Service
                {
                    held.stop = Some(StopDecision {
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
    pub fn cpu_usage(&self) -> [f64; 4] {
        let mut sums = [0.0; 4];
        for worker in self.workers.values().filter(|w| w.is_up()) {
            sums[3] += worker.free_resources.cpus;
            for held in worker.attempts.iter().filter(|h| h.occupies_capacity()) {
                let at = match held.phase {
                    AttemptPhase::Observed(TaskState::Fetching) => 1,
                    AttemptPhase::Observed(TaskState::Running) => 2,
                    _ => 0,
                };
                sums[at] += held.spec.cpus;
            }
        }
        sums
    }
}

//! How many machines are wanted, and which are not.

use crate::{cluster_state::ClusterState, mapping::TaskGroup, model::*};
use std::collections::BTreeMap;
use tallygauge_protocol::{
    cloud::{MAX_MACHINES_PER_RENTAL, MachineType},
    users::JobSpec,
};

/// Machines to ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rental {
    /// What kind.
    pub kind: MachineKind,
    /// How many.
    pub count: u32,
}

/// Part of a spot machine's price that its sudden end is reckoned to cost.
const SPOT_RISK: f64 = 0.15;

/// Part of its slack that waiting work may spend on waiting for room.
const SLACK_USED: f64 = 0.4;

struct HypotheticalMachine<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
    room: Resources,
}

impl HypotheticalMachine<'_> {
    /// Lays up to `most` tasks into the room. Returns how many fit.
    fn take(&mut self, spec: &JobSpec, most: u32) -> u32 {
        let n = count_fitting(self.room.cpus, spec.cpus)
            .min(count_fitting(self.room.gpus, spec.gpus))
            .min(count_fitting(self.room.memory_gb, spec.memory_gb))
            .min(most);
        self.room.add_scaled(spec, -f64::from(n));
        n
    }
}

/// What a look at demand works with.
struct CloudMarket<'a> {
    /// Rooms that waiting tasks are laid into.
    rooms: Vec<HypotheticalMachine<'a>>,
    /// Machines in each zone.
    by_zone: BTreeMap<&'a str, usize>,
    /// Machines that are wanted.
    new: BTreeMap<(&'a str, &'a str, bool), u32>,
    /// CPUs and GPUs that each team's limit leaves.
    headroom: Vec<(f64, f64)>,
    /// Tasks that no machine can be had for, by job.
    stuck: Vec<(&'a Job, u32)>,
}

impl ClusterState {
    /// The cloud had fewer machines of a kind than were asked for: it is not
    /// asked again for a while, growing with each refusal.
    pub fn record_no_capacity(&mut self, kind: &MachineKind, now: f64) {
        let boot = self
            .machine_types
            .get(&kind.machine_type)
            .map_or(30.0, |t| t.boot_s);
        let backoff = self.capacity_backoff.entry(kind.clone()).or_default();
        backoff.refusals = (backoff.refusals + 1).min(3);
        backoff.until = now + boot * 0.1 * f64::from(1u32 << backoff.refusals);
    }

    /// The cloud had all that was asked for.
    pub fn record_rented(&mut self, kind: &MachineKind) {
        self.capacity_backoff.remove(kind);
    }

    /// Machines to ask for now, for waiting tasks that neither free room nor
    /// machines on their way will take; of one kind as many as one request may
    /// ask for, and the kind that is wanted most first.
    #[must_use]
    pub fn rentals(&self, now: f64) -> Vec<Rental> {
        let mut groups = self.pending_groups(now).groups;
        if groups.is_empty() {
            return Vec::new();
        }
        let within = self.jobs_within_guarantee();
        let smallest = groups
            .iter()
            .map(|g| g.job.spec.cpus)
            .fold(f64::MAX, f64::min);
        let mut market = CloudMarket {
            rooms: Vec::new(),
            by_zone: BTreeMap::new(),
            new: BTreeMap::new(),
            headroom: self
                .config
                .teams
                .iter()
                .zip(&self.quota_usage)
                .map(|(t, l)| (t.max_cpus - l.cpus, t.max_gpus - l.gpus))
                .collect(),
            stuck: Vec::new(),
        };
        for w in self.workers.values() {
            *market.by_zone.entry(&w.zone).or_default() += 1;
            let Some(t) = self.machine_types.get(&w.machine_type) else {
                continue;
            };
            // One that takes much longer than usual to boot is not counted on;
            // one that is up but busy has no room.
            let coming = !w.is_up() && now - w.rented_at < t.boot_s * 1.7;
            let quiet = w.is_up() && now - w.last_heartbeat_at < self.config.lease_s;
            let stays = w.leaving.is_none() && w.spot_notice_until.is_none();
            let stays = stays
                && w.reachability
                    .accepts_work(now, &self.config.reachability_thresholds());
            if stays && (coming || quiet) && w.free_resources.cpus + EPSILON >= smallest {
                market.rooms.push(HypotheticalMachine {
                    machine_type: &w.machine_type,
                    zone: &w.zone,
                    spot: w.spot,
                    room: w.free_resources,
                });
            }
        }
        groups.sort_by(|a, b| {
            within
                .contains(b.job.spec.id.as_str())
                .cmp(&within.contains(a.job.spec.id.as_str()))
                .then(b.job.spec.priority.cmp(&a.job.spec.priority))
                .then(a.job.accepted_at.total_cmp(&b.job.accepted_at))
        });
        for group in groups {
            self.pack(&group, now, &mut market);
            market.rooms.retain(|v| v.room.cpus + EPSILON >= smallest);
            if market.new.values().any(|n| *n >= MAX_MACHINES_PER_RENTAL) {
                break;
            }
        }
        self.relocate_to_smaller(now, &mut market);
        let mut out: Vec<Rental> = market
            .new
            .into_iter()
            .map(|((machine_type, zone, spot), count)| Rental {
                kind: MachineKind {
                    machine_type: machine_type.to_string(),
                    zone: zone.to_string(),
                    spot,
                },
                count: count.min(MAX_MACHINES_PER_RENTAL),
            })
            .collect();
        out.sort_by_key(|r| std::cmp::Reverse(r.count));
        out
    }

    /// Lays the tasks of a group into rooms, and asks for machines for those
    /// that are left.
    fn pack<'a>(&'a self, group: &TaskGroup<'a>, now: f64, market: &mut CloudMarket<'a>) {
        let job = group.job;
        let spec = &job.spec;
        let count = group.task_count();
        let run = self.remaining_s(job, group.checkpointed_s());
        let room = &mut market.headroom[job.team];
        let allowed = count_fitting(room.0, spec.cpus).min(count_fitting(room.1, spec.gpus));
        let mut left = count.min(allowed);
        room.0 -= spec.cpus * f64::from(left);
        room.1 -= spec.gpus * f64::from(left);
        let mut any_allowed = false;
        for v in &mut market.rooms {
            if left == 0 {
                return;
            }
            if !job.allows(v.machine_type, v.zone, v.spot, &job.attempts_by_zone) {
                continue;
            }
            any_allowed = true;
            left -= v.take(spec, left);
        }
        let mut new_for: f64 = 0.0;
        while left > 0 {
            let kind = self.cheapest_kind(job, count, now, &market.by_zone, None);
            let Some((t, zone, spot)) = kind else {
                market.stuck.push((job, left));
                return;
            };
            // Tasks that are short against a boot, or that can wait, follow one
            // another on the same room.
            let horizon =
                (t.boot_s * self.config.horizon_boots).max(SLACK_USED * self.slack(job, run, now));
            let each = (run / horizon).min(1.0);
            if any_allowed {
                let wait = ((1.0 - new_for) / each).ceil().max(1.0);
                if wait > f64::from(left) {
                    return;
                }
                new_for = (new_for + wait * each - 1.0).max(0.0);
                left -= wait as u32;
            } else {
                new_for = (new_for + each - 1.0).max(0.0);
                left -= 1;
            }
            any_allowed = true;
            let mut v = HypotheticalMachine {
                machine_type: &t.name,
                zone,
                spot,
                room: Resources::of_type(t),
            };
            v.room.add_scaled(spec, -1.0);
            left -= v.take(spec, left);
            market.rooms.push(v);
            *market.by_zone.entry(zone).or_default() += 1;
            let new = market.new.entry((&t.name, zone, spot)).or_default();
            *new += 1;
            if *new >= MAX_MACHINES_PER_RENTAL {
                return;
            }
        }
    }

    /// Where no machine can be had that is large enough for what waits, asks for
    /// smaller ones that will take the place of large ones for what runs there
    /// and does not need them.
    fn relocate_to_smaller<'a>(&'a self, now: f64, market: &mut CloudMarket<'a>) {
        let Some(&(first, _)) = market.stuck.first() else {
            return;
        };
        let large = |t: &MachineType| Resources::of_type(t).can_fit(&first.spec);
        let lacking = |s: &(&Job, u32)| s.0.spec.cpus * f64::from(s.1);
        let lacking: f64 = market.stuck.iter().map(lacking).sum();
        let mut misplaced: BTreeMap<&str, f64> = BTreeMap::new();
        let mut small = 0.0;
        for w in self.workers.values() {
            match self.machine_types.get(&w.machine_type) {
                Some(t) if large(t) => {
                    for held in w.attempts.iter().filter(|h| h.occupies_capacity()) {
                        *misplaced.entry(held.spec.id.as_str()).or_default() += held.spec.cpus;
                    }
                }
                _ if w.leaving.is_none() && w.spot_notice_until.is_none() => {
                    small += w.free_resources.cpus;
                }
                _ => {}
            }
        }
        let mut lacking = lacking - small;
        for (id, cpus) in misplaced {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let mut cpus = cpus.min(lacking);
            lacking -= cpus.max(0.0);
            while cpus > EPSILON {
                let below = Some(first.spec.as_ref());
                let kind = self.cheapest_kind(job, u32::MAX, now, &market.by_zone, below);
                let Some((t, zone, spot)) = kind else {
                    break;
                };
                cpus -= t.cpus;
                *market.by_zone.entry(zone).or_default() += 1;
                let n = market.new.entry((&t.name, zone, spot)).or_default();
                *n += 1;
                if *n >= MAX_MACHINES_PER_RENTAL {
                    return;
                }
            }
        }
    }

    /// Time that a task of the job could still wait and end in time.
    fn slack(&self, job: &Job, run: f64, now: f64) -> f64 {
        self.deadline_at(job).map_or(0.0, |due| due - now - run)
    }

    /// The kind of machine that serves the job's tasks at the least price; of
    /// those too small for a task of `below`, if given.
    fn cheapest_kind(
        &self,
        job: &Job,
        count: u32,
        now: f64,
        by_zone: &BTreeMap<&str, usize>,
        below: Option<&JobSpec>,
    ) -> Option<(&MachineType, &String, bool)> {
        let spec = &job.spec;
        let mut best: Option<(f64, (&MachineType, &String, bool))> = None;
        let mut types: Vec<&MachineType> = self.machine_types.values().collect();
        types.sort_by(|a, b| a.name.cmp(&b.name));
        for t in types {
            let room = Resources::of_type(t);
            if !room.can_fit(spec) || below.is_some_and(|b| room.can_fit(b)) {
                continue;
            }
            let slots = f64::from(
                count_fitting(t.cpus, spec.cpus)
                    .min(count_fitting(t.gpus, spec.gpus))
                    .min(count_fitting(t.memory_gb, spec.memory_gb))
                    .min(count),
            )
            .max(1.0);
            for zone in &t.zones {
                for spot in [true, false] {
                    if !job.allows(&t.name, zone, spot, &job.attempts_by_zone) {
                        continue;
                    }
                    let kind = MachineKind {
                        machine_type: t.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if self
                        .capacity_backoff
                        .get(&kind)
                        .is_some_and(|b| b.until > now)
                    {
                        continue;
                    }
                    let price = if spot {
                        t.spot_price * (1.0 + SPOT_RISK)
                    } else {
                        t.price
                    };
                    // Time that is paid for before the first task runs.
                    let fetch = spec.image_gb / t.fetch_gb_per_s.max(1e-3);
                    let run = spec.expected_s.max(self.config.min_remaining_s);
                    let cost = price * (t.boot_s + fetch + run) / slots;
                    // Where several zones cost the same, they take turns.
                    let there = by_zone.get(zone.as_str()).copied().unwrap_or(0);
                    let cost = cost * (1.0 + there as f64 * 1e-4);
                    if best.as_ref().is_none_or(|b| cost < b.0) {
                        best = Some((cost, (t, zone, spot)));
                    }
                }
            }
        }
        best.map(|b| b.1)
    }

    /// Marks machines that have had nothing to do for long, and returns the
    /// names of all that can go now: empty, or given up on purpose.
    pub fn returns(&mut self, now: f64) -> Vec<(String, LeaveReason)> {
        let mut out = Vec::new();
        let patience = self.config.idle_boots;
        let settle = 2.0 * self.config.list_lag_s;
        for worker in self.workers.values_mut() {
            let boot_s = self
                .machine_types
                .get(&worker.machine_type)
                .map_or(60.0, |t| t.boot_s);
            let empty = !worker.attempts.iter().any(Attempt::occupies_capacity);
            let usable_for = now
                - worker
                    .idle_since
                    .max(self.term_started_at)
                    .max(worker.incarnation_seen_at);
            if worker.leaving.is_none()
                && empty
                && worker.fencing_token_seen_at.is_some()
                && (usable_for > boot_s * patience || worker.surplus)
            {
                worker.leave(LeaveReason::Idle, now);
            }
            // Done tasks whose end is not durable yet would run again.
            let unsaved = worker
                .attempts
                .iter()
                .any(|h| !h.occupies_capacity() && !h.end_durable);
            let Some(LeaveDecision { reason, at: since }) = worker.leaving else {
                continue;
            };
            let forced = match reason {
                LeaveReason::Unconfirmed => true,
                LeaveReason::BootTimeout | LeaveReason::Failed => {
                    now - self.term_started_at > settle
                }
                LeaveReason::Silent | LeaveReason::Unreachable => now - since > settle,
                LeaveReason::Faulty | LeaveReason::Slow | LeaveReason::Idle => false,
            };
            if forced || (empty && !unsaved) {
                out.push((worker.name.clone(), reason));
            }
        }
        out
    }

    /// Returns are being sent: the machines may go at any time from now on.
    pub fn return_sent(&mut self, names: &[String]) {
        for name in names {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.return_sent = true;
            }
        }
    }
}

//! How many machines are wanted, and which are not.

use crate::{cluster::Cluster, mapping::Group, model::*};
use std::collections::BTreeMap;
use tallygauge_wire::cloud::{MAX_RENT, MachineType};

/// Type, zone, and whether spot.
pub type SpotKind = (String, String, bool);

/// Machines to ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rental {
    /// What kind.
    pub kind: SpotKind,
    /// How many.
    pub count: u32,
}

/// Part of a spot machine's price that its sudden end is reckoned to cost.
const SPOT_RISK: f64 = 0.15;

/// Part of its slack that waiting work may spend on waiting for room.
const SLACK_USED: f64 = 0.4;

struct Virtual {
    machine_type: String,
    zone: String,
    spot: bool,
    room: Room,
    new: bool,
}

impl Cluster {
    /// The cloud had fewer machines of a kind than were asked for: it is not
    /// asked again for a while, growing with each refusal.
    pub fn refused(&mut self, kind: &SpotKind, now: f64) {
        let boot = self.types.get(&kind.0).map_or(30.0, |t| t.boot_s);
        let entry = self.blocked.entry(kind.clone()).or_insert((0.0, 0));
        entry.1 = (entry.1 + 1).min(3);
        entry.0 = now + boot * 0.1 * f64::from(1u32 << entry.1);
    }

    /// The cloud had all that was asked for.
    pub fn granted(&mut self, kind: &SpotKind) {
        self.blocked.remove(kind);
    }

    /// Machines to ask for now, for waiting tasks that neither free room nor
    /// machines on their way will take.
    #[must_use]
    pub fn rentals(&self, now: f64) -> Vec<Rental> {
        let mut groups = self.groups(now);
        if groups.is_empty() {
            return Vec::new();
        }
        let within = self.within_guarantee();
        let mut virtuals: Vec<Virtual> = self
            .workers
            .values()
            .filter(|w| w.leaving.is_none() && w.notice_until.is_none())
            .filter_map(|w| {
                let t = self.types.get(&w.machine_type)?;
                // One that takes much longer than usual to boot is not
                // counted on; one that is up but busy has no room.
                let coming = !w.up() && now - w.rented_at < t.boot_s * 1.7;
                let quiet = w.up() && now - w.heard_at < self.cfg.lease_s;
                (coming || quiet).then(|| Virtual {
                    machine_type: w.machine_type.clone(),
                    zone: w.zone.clone(),
                    spot: w.spot,
                    room: w.free,
                    new: false,
                })
            })
            .collect();
        let mut headroom: Vec<(f64, f64)> = self
            .cfg
            .teams
            .iter()
            .zip(&self.ledgers)
            .map(|(t, l)| (t.cpus_max - l.cpus, t.gpus_max - l.gpus))
            .collect();
        groups.sort_by(|a, b| {
            let (x, y) = (&self.jobs[&a.job], &self.jobs[&b.job]);
            within
                .contains(&b.job)
                .cmp(&within.contains(&a.job))
                .then(y.spec.priority.cmp(&x.spec.priority))
                .then(x.accepted_at.total_cmp(&y.accepted_at))
        });
        for group in groups {
            self.fill(&group, now, &mut virtuals, &mut headroom);
        }
        let mut counts: BTreeMap<SpotKind, u32> = BTreeMap::new();
        for v in virtuals.into_iter().filter(|v| v.new) {
            *counts.entry((v.machine_type, v.zone, v.spot)).or_default() += 1;
        }
        counts
            .into_iter()
            .map(|(kind, count)| Rental {
                kind,
                count: count.min(MAX_RENT),
            })
            .collect()
    }

    fn fill(
        &self,
        group: &Group,
        now: f64,
        virtuals: &mut Vec<Virtual>,
        headroom: &mut [(f64, f64)],
    ) {
        let job = &self.jobs[&group.job];
        let spec = &job.spec;
        let count = if group.resume.is_some() {
            1
        } else {
            job.waiting.len()
        };
        let saved = group.resume.as_ref().map_or(0.0, |r| r.saved_s);
        let run = self.remaining(job, saved);
        let mut new_for = 0.0;
        for _ in 0..count {
            let room = &mut headroom[job.team];
            if spec.cpus > room.0 + EPS || spec.gpus > room.1 + EPS {
                return;
            }
            room.0 -= spec.cpus;
            room.1 -= spec.gpus;
            let fitting = virtuals.iter_mut().find(|v| {
                v.room.holds(spec) && self.kind_allowed(job, &v.machine_type, &v.zone, v.spot)
            });
            if let Some(v) = fitting {
                v.room.add(spec, -1.0);
                continue;
            }
            let Some((t, zone, spot)) = self.best_kind(job, count, now) else {
                return;
            };
            // Tasks that are short against a boot, or that can wait, follow one
            // another on the same room.
            let horizon =
                (t.boot_s * self.cfg.horizon_boots).max(SLACK_USED * self.slack(job, run, now));
            new_for += (run / horizon).min(1.0);
            if new_for < 1.0
                && virtuals
                    .iter()
                    .any(|v| self.kind_allowed(job, &v.machine_type, &v.zone, v.spot))
            {
                continue;
            }
            new_for = (new_for - 1.0).max(0.0);
            let mut room = Room::of_type(t);
            room.add(spec, -1.0);
            virtuals.push(Virtual {
                machine_type: t.name.clone(),
                zone: zone.clone(),
                spot,
                room,
                new: true,
            });
        }
    }

    /// Time that a task of the job could still wait and end in time.
    fn slack(&self, job: &Job, run: f64, now: f64) -> f64 {
        self.due(job).map_or(0.0, |due| due - now - run)
    }

    fn kind_allowed(&self, job: &Job, machine_type: &str, zone: &str, spot: bool) -> bool {
        (job.spec.spot || !spot)
            && job
                .spec
                .types
                .as_ref()
                .is_none_or(|t| t.iter().any(|n| n == machine_type))
            && job.zone_allowed(zone)
    }

    /// The kind of machine that serves the job's tasks at the least price.
    fn best_kind(&self, job: &Job, count: u32, now: f64) -> Option<(&MachineType, &String, bool)> {
        let spec = &job.spec;
        let mut best: Option<(f64, (&MachineType, &String, bool))> = None;
        let mut types: Vec<&MachineType> = self.types.values().collect();
        types.sort_by(|a, b| a.name.cmp(&b.name));
        for t in types {
            if !Room::of_type(t).holds(spec) {
                continue;
            }
            let per = |have: f64, need: f64| {
                if need > 0.0 {
                    (have / need).floor()
                } else {
                    f64::MAX
                }
            };
            let slots = per(t.cpus + EPS, spec.cpus)
                .min(per(t.gpus + EPS, spec.gpus))
                .min(per(t.memory_gb + EPS, spec.memory_gb))
                .min(f64::from(count))
                .max(1.0);
            for zone in &t.zones {
                for spot in [true, false] {
                    if !self.kind_allowed(job, &t.name, zone, spot) {
                        continue;
                    }
                    let kind = (t.name.clone(), zone.clone(), spot);
                    if self.blocked.get(&kind).is_some_and(|b| b.0 > now) {
                        continue;
                    }
                    let price = if spot {
                        t.spot_price * (1.0 + SPOT_RISK)
                    } else {
                        t.price
                    };
                    // Time that is paid for before the first task runs.
                    let fetch = spec.image_gb / t.fetch_gb_per_s.max(1e-3);
                    let run = spec.expected_s.max(self.cfg.floor_s);
                    let cost = price * (t.boot_s + fetch + run) / slots;
                    // Where several zones cost the same, they take turns.
                    let there = self.workers.values().filter(|w| &w.zone == zone).count();
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
        let patience = self.cfg.idle_boots;
        let settle = 2.0 * self.cfg.list_lag_s;
        for worker in self.workers.values_mut() {
            let boot_s = self
                .types
                .get(&worker.machine_type)
                .map_or(60.0, |t| t.boot_s);
            let empty = !worker.held.iter().any(Held::occupies);
            let usable_for = now - worker.idle_since.max(self.term_at).max(worker.session_at);
            if worker.leaving.is_none()
                && empty
                && worker.fenced_at.is_some()
                && usable_for > boot_s * patience
            {
                worker.leaving = Some((LeaveReason::Idle, now));
            }
            // Done tasks whose end is not durable yet would run again.
            let unsaved = worker.held.iter().any(|h| !h.occupies() && !h.end_durable);
            let Some((reason, since)) = worker.leaving else {
                continue;
            };
            let forced = match reason {
                LeaveReason::Unconfirmed => true,
                LeaveReason::NoBoot | LeaveReason::Failed => now - self.term_at > settle,
                LeaveReason::Silent => now - since > settle,
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

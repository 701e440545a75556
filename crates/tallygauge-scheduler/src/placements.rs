//! Durable placements. Those of a round go into few records, each written once
//! and removed when its attempts are over: a hundred starts cost one write.

use crate::{cluster_state::Cluster, model::*};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};
use tallygauge_protocol::users::{JobSpec, Priority, Shape};

/// A batch to be written under a name that was never used before.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Name: term and number.
    pub name: Arc<str>,
    /// Content.
    pub record: BatchRecord,
    /// Jobs whose records must be unchanged, with their versions.
    pub jobs: Vec<(String, u64)>,
}

/// Bytes around the values of a record's entries, at most: keys, quotes,
/// brackets and numbers.
const TASK_BYTES: usize = 32;
const WORKER_BYTES: usize = 64;
const JOB_BYTES: usize = 96;

/// A job that is over, as far as its tasks must still be counted.
fn ghost(job: &JobRecord) -> JobSpec {
    JobSpec {
        id: job.id.clone(),
        class: String::new(),
        team: job.team.clone(),
        shape: Shape::Array,
        priority: Priority::Low,
        tasks: 0,
        cpus: job.room.0,
        gpus: job.room.1,
        memory_gb: job.room.2,
        image: String::new(),
        image_gb: 0.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        expected_s: 0.0,
        checkpoint_every_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

impl Cluster {
    /// Takes up a batch of placements that an earlier leader left.
    pub fn inherit(&mut self, name: &str, record: &BatchRecord, now: f64, time_of_day: f64) {
        let batch: Arc<str> = name.into();
        let ago = (time_of_day - record.placed as f64).max(0.0);
        let mut specs: HashMap<usize, (Arc<JobSpec>, bool)> = HashMap::new();
        for (at, job) in record.jobs.iter().enumerate() {
            let open = self.jobs.get(&job.id).map(|j| j.spec.clone());
            let over = open.is_none();
            specs.insert(at, (open.unwrap_or_else(|| Arc::new(ghost(job))), over));
        }
        for w in &record.workers {
            self.know(&w.name, &w.machine_type, &w.zone, w.spot, &w.endpoint, now);
            self.attention.insert(w.name.clone());
            let cache = self.types.get(&w.machine_type).map_or(0.0, |t| t.cache_gb);
            for &(job, index, above, saved_s) in &w.tasks {
                let Some((spec, over)) = specs.get(&job) else {
                    continue;
                };
                let mut held = Held::new(spec.clone(), index, record.base + above, w.session, now);
                held.phase = Phase::Recorded;
                held.placed_at = now - ago;
                held.saved_s = f64::from(saved_s);
                held.stop = over.then_some(Stop {
                    reason: StopReason::Cancelled,
                    at: now,
                });
                (held.inherited, held.sent) = (true, true);
                held.batch = Some(batch.clone());
                if !over && let Some(worker) = self.workers.get_mut(&w.name) {
                    worker.images.touch(&spec.image, spec.image_gb, cache);
                }
                self.occupy(&w.name, held);
            }
        }
        if !self.batches.contains_key(&batch) {
            self.garbage.insert(batch);
        }
    }

    /// Attempt numbers never repeat: the term is part of them.
    pub(crate) fn attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        self.next_attempt
    }

    /// Whether the attempts of this term are used up: the leader must give up
    /// its term.
    #[must_use]
    pub fn out_of_attempts(&self) -> bool {
        self.next_attempt >> ATTEMPT_BITS > self.cfg.term
    }

    /// What was planned, or found on a machine, and is not durable yet, as batches of at most `bytes`
    /// each that name at most `most_jobs` jobs.
    pub fn batches(&mut self, bytes: usize, most_jobs: usize, time_of_day: f64) -> Vec<Batch> {
        let mut planned: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
        for (worker, attempt) in std::mem::take(&mut self.planned) {
            planned.entry(worker).or_default().insert(attempt);
        }
        let mut out: Vec<Batch> = Vec::new();
        let mut used = usize::MAX;
        let mut places: HashMap<String, usize> = HashMap::new();
        for (name, attempts) in planned {
            let Some(worker) = self.workers.get(&name) else {
                continue;
            };
            let held: Vec<&Held> = worker
                .held
                .iter()
                .filter(|h| h.unrecorded() && attempts.contains(&h.attempt))
                .collect();
            let mut open = false;
            for h in held {
                let Some(job) = self.jobs.get(&h.spec.id) else {
                    continue;
                };
                let known = places.contains_key(&h.spec.id);
                let mut need = TASK_BYTES;
                if !open {
                    need += WORKER_BYTES
                        + name.len()
                        + worker.endpoint.len()
                        + worker.machine_type.len()
                        + worker.zone.len();
                }
                if !known {
                    need += JOB_BYTES + h.spec.id.len() + h.spec.team.len();
                }
                if used.saturating_add(need) > bytes || (!known && places.len() >= most_jobs) {
                    self.batch_seq += 1;
                    out.push(Batch {
                        name: format!("{}-{}", self.cfg.term, self.batch_seq).into(),
                        record: BatchRecord {
                            placed: time_of_day.max(0.0) as u64,
                            base: h.attempt,
                            ..BatchRecord::default()
                        },
                        jobs: Vec::new(),
                    });
                    places.clear();
                    (used, open) = (JOB_BYTES, false);
                }
                used = used.saturating_add(need);
                let Some(batch) = out.last_mut() else {
                    continue;
                };
                let record = &mut batch.record;
                let at = *places.entry(h.spec.id.clone()).or_insert_with(|| {
                    batch.jobs.push((h.spec.id.clone(), job.version));
                    record.jobs.push(JobRecord {
                        id: h.spec.id.clone(),
                        team: h.spec.team.clone(),
                        room: (h.spec.cpus, h.spec.gpus, h.spec.memory_gb),
                    });
                    record.jobs.len() - 1
                });
                if !open {
                    open = true;
                    record.workers.push(WorkerRecord {
                        name: name.clone(),
                        endpoint: worker.endpoint.clone(),
                        machine_type: worker.machine_type.clone(),
                        zone: worker.zone.clone(),
                        spot: worker.spot,
                        session: worker.session,
                        tasks: Vec::new(),
                    });
                }
                if h.attempt < record.base {
                    let lower = record.base - h.attempt;
                    for task in record.workers.iter_mut().flat_map(|w| &mut w.tasks) {
                        task.2 += lower;
                    }
                    record.base = h.attempt;
                }
                if let Some(entry) = record.workers.last_mut() {
                    entry
                        .tasks
                        .push((at, h.index, h.attempt - record.base, h.saved_s as u32));
                }
            }
        }
        out
    }

    /// A batch is durable: its starts may go out.
    pub fn written(&mut self, batch: &Batch, now: f64) {
        for w in &batch.record.workers {
            let Some(worker) = self.workers.get_mut(&w.name) else {
                continue;
            };
            for held in &mut worker.held {
                if held.unrecorded() && batch.has(w, held) {
                    if held.phase == Phase::Planned {
                        held.phase = Phase::Recorded;
                    }
                    held.batch = Some(batch.name.clone());
                    *self.batches.entry(batch.name.clone()).or_default() += 1;
                }
            }
            self.attention.insert(w.name.clone());
        }
        // What was stopped while it was being written never went out. All are
        // counted before any is dropped: the batch must not be taken for over
        // while attempts in it are still to be counted.
        for w in &batch.record.workers {
            self.drop_unsent(&w.name, now);
        }
        if !self.batches.contains_key(&batch.name) {
            self.garbage.insert(batch.name.clone());
        }
    }

    /// Drops attempts that are to stop and whose start was never sent.
    fn drop_unsent(&mut self, name: &str, now: f64) {
        let unsent = |h: &mut Held| h.phase == Phase::Recorded && h.stop.is_some() && !h.sent;
        for held in self.take_off(name, unsent) {
            self.vacate(name, &held, now);
            self.requeue(&held, held.saved_s, name, 0.0);
        }
    }

    /// A batch was surely not written, and never will be: nothing planned in
    /// it starts.
    pub fn unwritten(&mut self, batch: &Batch, now: f64) {
        for w in &batch.record.workers {
            let dropped = self.take_off(&w.name, |h| h.phase == Phase::Planned && batch.has(w, h));
            for held in dropped {
                self.vacate(&w.name, &held, now);
                self.requeue(&held, held.saved_s, &w.name, 0.0);
            }
            // What runs there all the same must come on record later.
            let Some(worker) = self.workers.get(&w.name) else {
                continue;
            };
            for held in worker.held.iter().filter(|h| h.unrecorded()) {
                if batch.has(w, held) {
                    self.planned.push((w.name.clone(), held.attempt));
                }
            }
        }
    }
}

impl Batch {
    fn has(&self, worker: &WorkerRecord, held: &Held) -> bool {
        let base = self.record.base;
        worker.tasks.iter().any(|t| base + t.2 == held.attempt)
    }
}

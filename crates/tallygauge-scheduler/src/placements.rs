//! Durable placements. Those of a round go into few records, each written once
//! and removed when its attempts are over: a hundred starts cost one write.

use crate::{cluster_state::ClusterState, model::*};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};
use tallygauge_protocol::users::{JobSpec, Priority, Shape};

/// A batch to be written under a name that was never used before.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementBatch {
    /// Name: term and number.
    pub name: Arc<str>,
    /// Content.
    pub record: PlacementBatchRecord,
    /// Jobs whose records must be unchanged, with their versions.
    pub jobs: Vec<(String, u64)>,
}

/// Bytes around the values of a record's entries, at most: keys, quotes,
/// brackets and numbers.
const TASK_BYTES: usize = 32;
const WORKER_BYTES: usize = 64;
const JOB_BYTES: usize = 96;

/// A job that is over, as far as its tasks must still be counted.
fn placeholder_spec(job: &PlacedJobRecord) -> JobSpec {
    JobSpec {
        id: job.id.clone(),
        class: String::new(),
        team: job.team.clone(),
        shape: Shape::Array,
        priority: Priority::Low,
        tasks: 0,
        cpus: job.resources.0,
        gpus: job.resources.1,
        memory_gb: job.resources.2,
        image: String::new(),
        image_gb: 0.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        expected_s: 0.0,
        checkpoint_every_s: 0.0,
        checkpoint_s: 0.0,
        deadline_s: None,
    }
}

impl ClusterState {
    /// Takes up a batch of placements that an earlier leader left.
    pub fn restore_placements(
        &mut self,
        name: &str,
        record: &PlacementBatchRecord,
        now: f64,
        time_of_day: f64,
    ) {
        let batch: Arc<str> = name.into();
        let ago = (time_of_day - record.placed_at as f64).max(0.0);
        let mut specs: HashMap<usize, (Arc<JobSpec>, bool)> = HashMap::new();
        for (at, job) in record.jobs.iter().enumerate() {
            let open = self.jobs.get(&job.id).map(|j| j.spec.clone());
            let over = open.is_none();
            specs.insert(
                at,
                (
                    open.unwrap_or_else(|| Arc::new(placeholder_spec(job))),
                    over,
                ),
            );
        }
        for w in &record.workers {
            self.register_machine(&w.name, &w.machine_type, &w.zone, w.spot, &w.endpoint, now);
            self.needs_direct_message.insert(w.name.clone());
            let cache = self
                .machine_types
                .get(&w.machine_type)
                .map_or(0.0, |t| t.cache_gb);
            for &(job, index, above, saved_s) in &w.tasks {
                let Some((spec, over)) = specs.get(&job) else {
                    continue;
                };
                let mut held = Attempt::new(
                    spec.clone(),
                    index,
                    record.first_attempt + above,
                    w.incarnation,
                    now,
                );
                held.phase = AttemptPhase::Recorded;
                held.placed_at = now - ago;
                held.checkpointed_s = f64::from(saved_s);
                held.stop = over.then_some(StopDecision {
                    reason: StopReason::Cancelled,
                    at: now,
                });
                (held.restored, held.start_sent) = (true, true);
                held.batch = Some(batch.clone());
                if !over && let Some(worker) = self.workers.get_mut(&w.name) {
                    worker.images.mark_used(&spec.image, spec.image_gb, cache);
                }
                self.add_attempt(&w.name, held);
            }
        }
        if !self.live_attempts_by_batch.contains_key(&batch) {
            self.obsolete_batches.insert(batch);
        }
    }

    /// Attempt numbers never repeat: the term is part of them.
    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        self.last_attempt
    }

    /// Whether the attempts of this term are used up: the leader must give up
    /// its term.
    #[must_use]
    pub fn attempts_exhausted(&self) -> bool {
        self.last_attempt >> ATTEMPT_BITS > self.config.term
    }

    /// What was planned, or found on a machine, and is not durable yet, as batches of at most `bytes`
    /// each that name at most `most_jobs` jobs.
    pub fn take_placement_batches(
        &mut self,
        bytes: usize,
        most_jobs: usize,
        time_of_day: f64,
    ) -> Vec<PlacementBatch> {
        let mut planned: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
        for unbatched in std::mem::take(&mut self.unbatched_attempts) {
            planned
                .entry(unbatched.worker)
                .or_default()
                .insert(unbatched.attempt);
        }
        let mut out: Vec<PlacementBatch> = Vec::new();
        let mut used = usize::MAX;
        let mut places: HashMap<String, usize> = HashMap::new();
        for (name, attempts) in planned {
            let Some(worker) = self.workers.get(&name) else {
                continue;
            };
            let held: Vec<&Attempt> = worker
                .attempts
                .iter()
                .filter(|h| h.is_unrecorded() && attempts.contains(&h.number))
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
                    self.last_batch_number += 1;
                    out.push(PlacementBatch {
                        name: format!("{}-{}", self.config.term, self.last_batch_number).into(),
                        record: PlacementBatchRecord {
                            placed_at: time_of_day.max(0.0) as u64,
                            first_attempt: h.number,
                            ..PlacementBatchRecord::default()
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
                    record.jobs.push(PlacedJobRecord {
                        id: h.spec.id.clone(),
                        team: h.spec.team.clone(),
                        resources: (h.spec.cpus, h.spec.gpus, h.spec.memory_gb),
                    });
                    record.jobs.len() - 1
                });
                if !open {
                    open = true;
                    record.workers.push(PlacedWorkerRecord {
                        name: name.clone(),
                        endpoint: worker.endpoint.clone(),
                        machine_type: worker.machine_type.clone(),
                        zone: worker.zone.clone(),
                        spot: worker.spot,
                        incarnation: worker.incarnation,
                        tasks: Vec::new(),
                    });
                }
                if h.number < record.first_attempt {
                    let lower = record.first_attempt - h.number;
                    for task in record.workers.iter_mut().flat_map(|w| &mut w.tasks) {
                        task.2 += lower;
                    }
                    record.first_attempt = h.number;
                }
                if let Some(entry) = record.workers.last_mut() {
                    entry.tasks.push((
                        at,
                        h.index,
                        h.number - record.first_attempt,
                        h.checkpointed_s as u32,
                    ));
                }
            }
        }
        out
    }

    /// A batch is durable: its starts may go out.
    pub fn record_batch_committed(&mut self, batch: &PlacementBatch, now: f64) {
        for w in &batch.record.workers {
            let Some(worker) = self.workers.get_mut(&w.name) else {
                continue;
            };
            for held in &mut worker.attempts {
                if held.is_unrecorded() && batch.contains(w, held) {
                    if held.phase == AttemptPhase::Planned {
                        held.phase = AttemptPhase::Recorded;
                    }
                    held.batch = Some(batch.name.clone());
                    *self
                        .live_attempts_by_batch
                        .entry(batch.name.clone())
                        .or_default() += 1;
                }
            }
            self.needs_direct_message.insert(w.name.clone());
        }
        // What was stopped while it was being written never went out. All are
        // counted before any is dropped: the batch must not be taken for over
        // while attempts in it are still to be counted.
        for w in &batch.record.workers {
            self.drop_unsent_stops(&w.name, now);
        }
        if !self.live_attempts_by_batch.contains_key(&batch.name) {
            self.obsolete_batches.insert(batch.name.clone());
        }
    }

    /// Drops attempts that are to stop and whose start was never sent.
    fn drop_unsent_stops(&mut self, name: &str, now: f64) {
        let unsent = |h: &mut Attempt| {
            h.phase == AttemptPhase::Recorded && h.stop.is_some() && !h.start_sent
        };
        for held in self.remove_attempts(name, unsent) {
            self.release_attempt(name, &held, now);
            self.requeue(&held, held.checkpointed_s, name, 0.0);
        }
    }

    /// A batch was surely not written, and never will be: nothing planned in
    /// it starts.
    pub fn record_batch_rejected(&mut self, batch: &PlacementBatch, now: f64) {
        for w in &batch.record.workers {
            let dropped = self.remove_attempts(&w.name, |h| {
                h.phase == AttemptPhase::Planned && batch.contains(w, h)
            });
            for held in dropped {
                self.release_attempt(&w.name, &held, now);
                self.requeue(&held, held.checkpointed_s, &w.name, 0.0);
            }
            // What runs there all the same must come on record later.
            let Some(worker) = self.workers.get(&w.name) else {
                continue;
            };
            for held in worker.attempts.iter().filter(|h| h.is_unrecorded()) {
                if batch.contains(w, held) {
                    self.unbatched_attempts.push(UnbatchedAttempt {
                        worker: w.name.clone(),
                        attempt: held.number,
                    });
                }
            }
        }
    }
}

impl PlacementBatch {
    fn contains(&self, worker: &PlacedWorkerRecord, held: &Attempt) -> bool {
        let base = self.record.first_attempt;
        worker.tasks.iter().any(|t| base + t.2 == held.number)
    }
}

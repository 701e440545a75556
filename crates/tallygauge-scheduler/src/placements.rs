//! Durable placements. The placements of a scheduling round are stored in few records, the
//! placement batches. Each is written once, and removed when all attempts in it have ended:
//! a hundred starts take one write.

mod batch_builder;

use crate::{cluster_state::ClusterState, model::*};
use batch_builder::{BatchBuilder, BatchLimits};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use tallygauge_protocol::users::{JobSpec, Priority, Shape};

/// A placement batch to be stored under a name that has never been used before.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementBatch {
    /// Name: `TERM-NUMBER`.
    pub name: Arc<str>,
    /// The value to be stored.
    pub record: PlacementBatchRecord,
    /// The jobs in the batch. It is written only if their records are unchanged.
    pub jobs: Vec<JobVersion>,
}

/// Version that a job's record must have when a batch is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobVersion {
    /// Id of the job.
    pub job: String,
    /// Version of its record.
    pub version: u64,
}

/// A job of a restored batch.
struct RestoredJob {
    spec: Arc<JobSpec>,
    /// Whether the job is active. Otherwise its attempts are cancelled, and count against
    /// its team's quota until they have ended.
    is_active: bool,
}

/// Stands in for the specification of a job that has ended: only the id, the team and the
/// resources are set, by which its remaining attempts are still counted.
fn placeholder_spec(job: &PlacedJobRecord) -> JobSpec {
    JobSpec {
        id: job.id.clone(),
        class: String::new(),
        team: job.team.clone(),
        shape: Shape::Array,
        priority: Priority::Low,
        tasks: 0,
        cpus: job.resources.cpus,
        gpus: job.resources.gpus,
        memory_gb: job.resources.memory_gb,
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
    /// Restores a placement batch of an earlier leader, at the start of a term.
    pub fn restore_placements(
        &mut self,
        name: &str,
        record: &PlacementBatchRecord,
        now: f64,
        unix_time_s: f64,
    ) {
        let batch: Arc<str> = name.into();
        let age_s = (unix_time_s - record.placed_at as f64).max(0.0);
        let jobs = self.restored_jobs(record);
        for placed in &record.workers {
            self.register_machine(
                &placed.name,
                &placed.machine_type,
                &placed.zone,
                placed.spot,
                &placed.endpoint,
                now,
            );
            self.needs_direct_message.insert(placed.name.clone());
            for task in &placed.tasks {
                let Some(job) = jobs.get(task.job_position) else {
                    continue;
                };
                let mut attempt = Attempt::restored(
                    job.spec.clone(),
                    task.index,
                    record.first_attempt + task.attempt_offset,
                    placed.incarnation,
                    now - age_s,
                );
                attempt.checkpointed_s = f64::from(task.checkpointed_s);
                attempt.batch = Some(batch.clone());
                if job.is_active {
                    self.mark_image_used(&placed.name, &job.spec);
                } else {
                    attempt.request_stop(StopReason::Cancelled, now);
                }
                self.add_attempt(&placed.name, attempt);
            }
        }
        if !self.live_attempts_by_batch.contains_key(&batch) {
            self.obsolete_batches.insert(batch);
        }
    }

    /// The jobs of a batch, in the order of its record.
    fn restored_jobs(&self, record: &PlacementBatchRecord) -> Vec<RestoredJob> {
        let restored = |placed: &PlacedJobRecord| match self.jobs.get(&placed.id) {
            Some(job) => RestoredJob {
                spec: job.spec.clone(),
                is_active: true,
            },
            None => RestoredJob {
                spec: Arc::new(placeholder_spec(placed)),
                is_active: false,
            },
        };
        record.jobs.iter().map(restored).collect()
    }

    /// Records that a machine uses the image of a job that was placed on it: the machine
    /// has the image or is fetching it.
    fn mark_image_used(&mut self, machine: &str, spec: &JobSpec) {
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let machine_type = self.machine_types.get(&worker.machine_type);
        let cache_gb = machine_type.map_or(0.0, |t| t.cache_gb);
        worker
            .images
            .mark_used(&spec.image, spec.image_gb, cache_gb);
    }

    /// Allocates an attempt number. Numbers never repeat, as the term is part of them.
    pub(crate) fn next_attempt_number(&mut self) -> u64 {
        self.last_attempt_number += 1;
        self.last_attempt_number
    }

    /// Whether this leader has allocated the attempt number.
    pub(crate) fn is_number_of_this_term(&self, number: u64) -> bool {
        number > number_before_first_attempt(self.config.term) && number <= self.last_attempt_number
    }

    /// Whether the attempt numbers of this term are used up, so that the leader must step
    /// down.
    #[must_use]
    pub fn attempt_numbers_exhausted(&self) -> bool {
        self.last_attempt_number >> ATTEMPT_SEQUENCE_BITS > self.config.term
    }

    /// Takes the attempts that were placed or adopted and are in no batch yet. Returns
    /// them as batches with records of at most `max_bytes` and at most `max_jobs` jobs
    /// each.
    pub fn take_placement_batches(
        &mut self,
        max_bytes: usize,
        max_jobs: usize,
        unix_time_s: f64,
    ) -> Vec<PlacementBatch> {
        let mut attempts_by_worker: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
        for unbatched in std::mem::take(&mut self.unbatched_attempts) {
            attempts_by_worker
                .entry(unbatched.worker)
                .or_default()
                .insert(unbatched.attempt);
        }
        let mut builder = BatchBuilder::new(
            self.config.term,
            self.last_batch_number,
            BatchLimits {
                max_bytes,
                max_jobs,
            },
            unix_time_s.max(0.0) as u64,
        );
        for (machine, numbers) in attempts_by_worker {
            let Some(worker) = self.workers.get(&machine) else {
                continue;
            };
            builder.start_worker();
            for attempt in &worker.attempts {
                if !attempt.is_unrecorded() || !numbers.contains(&attempt.number) {
                    continue;
                }
                if let Some(job) = self.jobs.get(&attempt.spec.id) {
                    builder.add(worker, attempt, job.version);
                }
            }
        }
        let (batches, last_batch_number) = builder.finish();
        self.last_batch_number = last_batch_number;
        batches
    }

    /// Records that a batch is durable: its attempts may be started.
    pub fn record_batch_committed(&mut self, batch: &PlacementBatch, now: f64) {
        for placed in &batch.record.workers {
            let Some(worker) = self.workers.get_mut(&placed.name) else {
                continue;
            };
            for attempt in &mut worker.attempts {
                if attempt.is_unrecorded() && batch.contains(placed, attempt) {
                    attempt.record_committed(&batch.name, now);
                    *self
                        .live_attempts_by_batch
                        .entry(batch.name.clone())
                        .or_default() += 1;
                }
            }
            self.needs_direct_message.insert(placed.name.clone());
        }
        // Attempts that were stopped while the batch was being written are dropped without
        // ever being started. All attempts of the batch have to be counted before any is
        // dropped: otherwise the batch could become obsolete while some are uncounted.
        for placed in &batch.record.workers {
            self.drop_unsent_stopped_attempts(&placed.name, now);
        }
        if !self.live_attempts_by_batch.contains_key(&batch.name) {
            self.obsolete_batches.insert(batch.name.clone());
        }
    }

    /// Drops the attempts on a machine that are to be stopped and whose start was never
    /// sent.
    fn drop_unsent_stopped_attempts(&mut self, machine: &str, now: f64) {
        let is_unsent = |attempt: &mut Attempt| {
            attempt.phase == AttemptPhase::Recorded && attempt.stop.is_some() && !attempt.start_sent
        };
        for attempt in self.remove_attempts(machine, is_unsent) {
            self.release_attempt(machine, &attempt, now);
            self.requeue(&attempt, attempt.checkpointed_s, machine, None);
        }
    }

    /// Records that a batch was not written and never will be: the planned attempts in it
    /// are dropped, and their tasks become pending again.
    pub fn record_batch_rejected(&mut self, batch: &PlacementBatch, now: f64) {
        for placed in &batch.record.workers {
            let machine = &placed.name;
            let dropped = self.remove_attempts(machine, |attempt| {
                attempt.phase == AttemptPhase::Planned && batch.contains(placed, attempt)
            });
            for attempt in dropped {
                self.release_attempt(machine, &attempt, now);
                self.requeue(&attempt, attempt.checkpointed_s, machine, None);
            }
            // The batch may also contain attempts that were found running. They go on, and
            // are recorded in a later batch.
            let Some(worker) = self.workers.get(machine) else {
                continue;
            };
            for attempt in worker.attempts.iter().filter(|a| a.is_unrecorded()) {
                if batch.contains(placed, attempt) {
                    self.unbatched_attempts.push(UnbatchedAttempt {
                        worker: machine.clone(),
                        attempt: attempt.number,
                    });
                }
            }
        }
    }
}

impl PlacementBatch {
    /// Whether this batch lists an attempt under the given worker.
    fn contains(&self, worker: &PlacedWorkerRecord, attempt: &Attempt) -> bool {
        let first_attempt = self.record.first_attempt;
        worker
            .tasks
            .iter()
            .any(|task| first_attempt + task.attempt_offset == attempt.number)
    }
}

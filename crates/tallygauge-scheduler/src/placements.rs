//! Durable placements. The placements of a scheduling round go into few records,
//! each written once and removed when all its attempts are over: a hundred starts
//! take one write.

use crate::{cluster_state::ClusterState, model::*};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};
use tallygauge_protocol::users::{JobSpec, Priority, Shape};

/// A placement batch to be written under a name that was never used before.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementBatch {
    /// Name: `TERM-NUMBER`.
    pub name: Arc<str>,
    /// Content.
    pub record: PlacementBatchRecord,
    /// The jobs in it, whose records must be unchanged when it is written.
    pub jobs: Vec<JobVersion>,
}

/// A job's record that must be unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobVersion {
    /// Id of the job.
    pub job: String,
    /// Version of its record.
    pub version: u64,
}

/// Upper bounds of the bytes around the values of a record's entries: keys, quotes,
/// brackets and numbers.
const TASK_BYTES: usize = 32;
const WORKER_BYTES: usize = 64;
const JOB_BYTES: usize = 96;

/// A job of a restored batch.
struct RestoredJob {
    spec: Arc<JobSpec>,
    /// Whether it is open; else its attempts are only counted until they are over.
    is_open: bool,
}

/// The specification of a job that is over, as far as its attempts must still be
/// counted.
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
    /// Restores a batch of placements of an earlier leader, at the start of a term.
    pub fn restore_placements(
        &mut self,
        name: &str,
        record: &PlacementBatchRecord,
        now: f64,
        time_of_day: f64,
    ) {
        let batch: Arc<str> = name.into();
        let age_s = (time_of_day - record.placed_at as f64).max(0.0);
        let jobs: Vec<RestoredJob> = record
            .jobs
            .iter()
            .map(|placed| match self.jobs.get(&placed.id) {
                Some(job) => RestoredJob {
                    spec: job.spec.clone(),
                    is_open: true,
                },
                None => RestoredJob {
                    spec: Arc::new(placeholder_spec(placed)),
                    is_open: false,
                },
            })
            .collect();
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
                if job.is_open {
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

    /// A machine has, or fetches, the image of a job that is placed on it.
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

    /// A new attempt's number. Numbers never repeat, as the term is part of them.
    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        self.last_attempt
    }

    /// Whether the attempt numbers of this term are used up: the leader must step
    /// down.
    #[must_use]
    pub fn attempts_exhausted(&self) -> bool {
        self.last_attempt >> ATTEMPT_BITS > self.config.term
    }

    /// Takes the attempts that were placed or adopted and are not durable yet, as
    /// batches of at most `max_bytes` each that name at most `max_jobs` jobs.
    pub fn take_placement_batches(
        &mut self,
        max_bytes: usize,
        max_jobs: usize,
        time_of_day: f64,
    ) -> Vec<PlacementBatch> {
        let mut attempts_by_worker: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
        for unbatched in std::mem::take(&mut self.unbatched_attempts) {
            attempts_by_worker
                .entry(unbatched.worker)
                .or_default()
                .insert(unbatched.attempt);
        }
        let mut builder = BatchBuilder {
            term: self.config.term,
            placed_at: time_of_day.max(0.0) as u64,
            max_bytes,
            max_jobs,
            last_batch_number: self.last_batch_number,
            batches: Vec::new(),
            bytes: usize::MAX,
            job_positions: HashMap::new(),
            has_worker_entry: false,
        };
        for (machine, numbers) in attempts_by_worker {
            let Some(worker) = self.workers.get(&machine) else {
                continue;
            };
            builder.has_worker_entry = false;
            for attempt in &worker.attempts {
                if !attempt.is_unrecorded() || !numbers.contains(&attempt.number) {
                    continue;
                }
                if let Some(job) = self.jobs.get(&attempt.spec.id) {
                    builder.add(worker, attempt, job.version);
                }
            }
        }
        self.last_batch_number = builder.last_batch_number;
        builder.batches
    }

    /// A batch is durable: its starts may be sent.
    pub fn record_batch_committed(&mut self, batch: &PlacementBatch, now: f64) {
        for placed in &batch.record.workers {
            let Some(worker) = self.workers.get_mut(&placed.name) else {
                continue;
            };
            for attempt in &mut worker.attempts {
                if attempt.is_unrecorded() && batch.contains(placed, attempt) {
                    attempt.record_committed(&batch.name);
                    *self
                        .live_attempts_by_batch
                        .entry(batch.name.clone())
                        .or_default() += 1;
                }
            }
            self.needs_direct_message.insert(placed.name.clone());
        }
        // Starts of attempts that were stopped while the batch was being written are
        // never sent. All are counted before any is dropped: the batch must not become
        // obsolete while attempts in it are still to be counted.
        for placed in &batch.record.workers {
            self.drop_unsent_stops(&placed.name, now);
        }
        if !self.live_attempts_by_batch.contains_key(&batch.name) {
            self.obsolete_batches.insert(batch.name.clone());
        }
    }

    /// Drops attempts that are to be stopped and whose start was never sent.
    fn drop_unsent_stops(&mut self, machine: &str, now: f64) {
        let is_unsent = |attempt: &mut Attempt| {
            attempt.phase == AttemptPhase::Recorded && attempt.stop.is_some() && !attempt.start_sent
        };
        for attempt in self.remove_attempts(machine, is_unsent) {
            self.release_attempt(machine, &attempt, now);
            self.requeue(&attempt, attempt.checkpointed_s, machine, 0.0);
        }
    }

    /// A batch was certainly not written, and never will be: nothing planned in it
    /// starts.
    pub fn record_batch_rejected(&mut self, batch: &PlacementBatch, now: f64) {
        for placed in &batch.record.workers {
            let machine = &placed.name;
            let dropped = self.remove_attempts(machine, |attempt| {
                attempt.phase == AttemptPhase::Planned && batch.contains(placed, attempt)
            });
            for attempt in dropped {
                self.release_attempt(machine, &attempt, now);
                self.requeue(&attempt, attempt.checkpointed_s, machine, 0.0);
            }
            // Attempts that run all the same must be recorded in a later batch.
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
    /// Whether an attempt is among a worker's in this batch.
    fn contains(&self, worker: &PlacedWorkerRecord, attempt: &Attempt) -> bool {
        let first = self.record.first_attempt;
        worker
            .tasks
            .iter()
            .any(|task| first + task.attempt_offset == attempt.number)
    }
}

/// Builds placement batches, attempt by attempt. A worker's attempts are added one
/// after the other.
struct BatchBuilder {
    term: u64,
    /// Time of day of the placements, seconds.
    placed_at: u64,
    max_bytes: usize,
    max_jobs: usize,
    last_batch_number: u64,
    /// Finished batches, and the one being filled.
    batches: Vec<PlacementBatch>,
    /// Upper bound of the encoded length of the last batch; too much for any limit
    /// while there is none.
    bytes: usize,
    /// Positions of the jobs in the last batch, by id.
    job_positions: HashMap<String, usize>,
    /// Whether the last batch has an entry for the present worker.
    has_worker_entry: bool,
}

impl BatchBuilder {
    /// Adds an attempt, to a new batch if the last one has no space for it.
    fn add(&mut self, worker: &Worker, attempt: &Attempt, job_version: u64) {
        let bytes = self.bytes_needed(worker, attempt);
        let is_job_known = self.job_positions.contains_key(&attempt.spec.id);
        let has_too_many_jobs = !is_job_known && self.job_positions.len() >= self.max_jobs;
        if self.bytes.saturating_add(bytes) > self.max_bytes || has_too_many_jobs {
            self.start_batch(attempt.number);
        }
        self.bytes = self.bytes.saturating_add(bytes);
        let Some(batch) = self.batches.last_mut() else {
            return;
        };
        let job_positions = &mut self.job_positions;
        let job_position = *job_positions
            .entry(attempt.spec.id.clone())
            .or_insert_with(|| batch.add_job(&attempt.spec, job_version));
        if !self.has_worker_entry {
            self.has_worker_entry = true;
            batch.record.workers.push(placed_worker(worker));
        }
        batch.record.lower_first_attempt(attempt.number);
        let task = PlacedTaskRecord {
            job_position,
            index: attempt.index,
            attempt_offset: attempt.number - batch.record.first_attempt,
            checkpointed_s: attempt.checkpointed_s as u32,
        };
        if let Some(entry) = batch.record.workers.last_mut() {
            entry.tasks.push(task);
        }
    }

    /// Upper bound of the bytes that an attempt takes in the last batch.
    fn bytes_needed(&self, worker: &Worker, attempt: &Attempt) -> usize {
        let mut bytes = TASK_BYTES;
        if !self.has_worker_entry {
            bytes += WORKER_BYTES
                + worker.name.len()
                + worker.endpoint.len()
                + worker.machine_type.len()
                + worker.zone.len();
        }
        if !self.job_positions.contains_key(&attempt.spec.id) {
            bytes += JOB_BYTES + attempt.spec.id.len() + attempt.spec.team.len();
        }
        bytes
    }

    fn start_batch(&mut self, first_attempt: u64) {
        self.last_batch_number += 1;
        self.batches.push(PlacementBatch {
            name: format!("{}-{}", self.term, self.last_batch_number).into(),
            record: PlacementBatchRecord {
                placed_at: self.placed_at,
                first_attempt,
                ..PlacementBatchRecord::default()
            },
            jobs: Vec::new(),
        });
        self.job_positions.clear();
        self.bytes = JOB_BYTES;
        self.has_worker_entry = false;
    }
}

impl PlacementBatch {
    /// Adds a job with the version that its record must have. Returns its position.
    fn add_job(&mut self, spec: &JobSpec, version: u64) -> usize {
        self.jobs.push(JobVersion {
            job: spec.id.clone(),
            version,
        });
        self.record.jobs.push(PlacedJobRecord {
            id: spec.id.clone(),
            team: spec.team.clone(),
            resources: Resources::of_task(spec),
        });
        self.record.jobs.len() - 1
    }
}

impl PlacementBatchRecord {
    /// Makes sure that the first attempt is not above `number`; the others stay what
    /// they are.
    fn lower_first_attempt(&mut self, number: u64) {
        let Some(lowered_by) = self.first_attempt.checked_sub(number) else {
            return;
        };
        for task in self.workers.iter_mut().flat_map(|worker| &mut worker.tasks) {
            task.attempt_offset += lowered_by;
        }
        self.first_attempt = number;
    }
}

fn placed_worker(worker: &Worker) -> PlacedWorkerRecord {
    PlacedWorkerRecord {
        name: worker.name.clone(),
        endpoint: worker.endpoint.clone(),
        machine_type: worker.machine_type.clone(),
        zone: worker.zone.clone(),
        spot: worker.spot,
        incarnation: worker.incarnation,
        tasks: Vec::new(),
    }
}

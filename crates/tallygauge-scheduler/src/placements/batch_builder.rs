//! Builds placement batches that stay within the limits of a record.

use super::{JobVersion, PlacementBatch};
use crate::model::*;
use std::collections::HashMap;
use tallygauge_protocol::users::JobSpec;

/// Upper bound of the encoded length of a task's entry in a record.
const TASK_BYTES: usize = 32;

/// Upper bound of the encoded length of a worker's entry without its strings and tasks:
/// keys, quotes, brackets and numbers.
const WORKER_BYTES: usize = 64;

/// Upper bound of the encoded length of a job's entry without its strings: keys, quotes,
/// brackets and numbers. Also covers the record itself without its entries.
const JOB_BYTES: usize = 96;

/// Upper limits of a batch.
pub(super) struct BatchLimits {
    /// Encoded length of the record.
    pub(super) max_bytes: usize,
    /// Number of jobs in the record.
    pub(super) max_jobs: usize,
}

/// Builds placement batches attempt by attempt. All attempts of a worker must be added
/// before those of the next one.
pub(super) struct BatchBuilder {
    term: u64,
    /// Unix time of the placements, in seconds.
    placed_at: u64,
    limits: BatchLimits,
    last_batch_number: u64,
    /// Finished batches, and the one being filled.
    batches: Vec<PlacementBatch>,
    /// Upper bound of the encoded length of the last batch; `usize::MAX`, which is above
    /// any limit, while there is no batch.
    encoded_bytes: usize,
    /// Positions of the jobs in the record of the last batch, by id.
    job_positions: HashMap<String, usize>,
    /// Whether the last batch has an entry for the current worker.
    has_worker_entry: bool,
}

impl BatchBuilder {
    /// A builder of batches of a term. Their numbers follow `last_batch_number`.
    pub(super) fn new(
        term: u64,
        last_batch_number: u64,
        limits: BatchLimits,
        placed_at: u64,
    ) -> Self {
        Self {
            term,
            placed_at,
            limits,
            last_batch_number,
            batches: Vec::new(),
            encoded_bytes: usize::MAX,
            job_positions: HashMap::new(),
            has_worker_entry: false,
        }
    }

    /// Begins the attempts of the next worker.
    pub(super) fn start_worker(&mut self) {
        self.has_worker_entry = false;
    }

    /// Returns the batches, and the number of the last one.
    pub(super) fn finish(self) -> (Vec<PlacementBatch>, u64) {
        (self.batches, self.last_batch_number)
    }

    /// Adds an attempt to the last batch, or to a new one if it does not fit there.
    pub(super) fn add(&mut self, worker: &Worker, attempt: &Attempt, job_version: u64) {
        let added_bytes = self.added_bytes(worker, attempt);
        let is_job_in_batch = self.job_positions.contains_key(&attempt.spec.id);
        let has_too_many_jobs =
            !is_job_in_batch && self.job_positions.len() >= self.limits.max_jobs;
        if self.encoded_bytes.saturating_add(added_bytes) > self.limits.max_bytes
            || has_too_many_jobs
        {
            self.start_batch(attempt.number);
        }
        self.encoded_bytes = self.encoded_bytes.saturating_add(added_bytes);
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

    /// Upper bound of the bytes by which an attempt lengthens the last batch.
    fn added_bytes(&self, worker: &Worker, attempt: &Attempt) -> usize {
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
        self.encoded_bytes = JOB_BYTES;
        self.has_worker_entry = false;
    }
}

impl PlacementBatch {
    /// Adds a job, with the version that its record must have when the batch is written.
    /// Returns the job's position.
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
    /// Lowers `first_attempt` to `number` if it is higher. The offsets of all tasks grow
    /// by the difference, so that their attempt numbers stay the same.
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

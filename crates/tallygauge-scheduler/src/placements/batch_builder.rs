//! Builds placement batches within the limits of a record.

use super::{JobVersion, PlacementBatch};
use crate::model::*;
use std::collections::HashMap;
use tallygauge_protocol::users::JobSpec;

/// Upper bounds of the bytes around the values of a record's entries: keys, quotes,
/// brackets and numbers.
const TASK_BYTES: usize = 32;
const WORKER_BYTES: usize = 64;
const JOB_BYTES: usize = 96;

/// Limits of a batch.
pub(super) struct BatchLimits {
    /// Encoded length of its record.
    pub(super) max_bytes: usize,
    /// Jobs that it names.
    pub(super) max_jobs: usize,
}

/// Builds placement batches, attempt by attempt. A worker's attempts are added one
/// after the other.
pub(super) struct BatchBuilder {
    term: u64,
    /// Time of day of the placements, seconds.
    placed_at: u64,
    limits: BatchLimits,
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
    /// Builds batches of a term, numbered from after `last_batch_number`.
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
            bytes: usize::MAX,
            job_positions: HashMap::new(),
            has_worker_entry: false,
        }
    }

    /// The attempts that follow are another worker's.
    pub(super) fn start_worker(&mut self) {
        self.has_worker_entry = false;
    }

    /// The batches, and the number of the last one.
    pub(super) fn finish(self) -> (Vec<PlacementBatch>, u64) {
        (self.batches, self.last_batch_number)
    }

    /// Adds an attempt, to a new batch if the last one has no space for it.
    pub(super) fn add(&mut self, worker: &Worker, attempt: &Attempt, job_version: u64) {
        let bytes = self.bytes_needed(worker, attempt);
        let is_job_known = self.job_positions.contains_key(&attempt.spec.id);
        let has_too_many_jobs = !is_job_known && self.job_positions.len() >= self.limits.max_jobs;
        if self.bytes.saturating_add(bytes) > self.limits.max_bytes || has_too_many_jobs {
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

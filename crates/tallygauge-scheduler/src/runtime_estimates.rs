//! Run times of completed tasks against what was expected: by class of jobs, and by
//! machine.

use crate::{cluster_state::ClusterState, model::*};

/// Bounds of a single task's ratio of measured over expected run time.
const TASK_RATIO_BOUNDS: (f64, f64) = (0.1, 10.0);

/// Bounds of a class's ratio.
const CLASS_RATIO_BOUNDS: (f64, f64) = (0.4, 2.5);

/// Weight that all earlier tasks of a class keep with each new one: the last fifty
/// or so count.
const DECAY: f64 = 0.98;

/// Tasks with a ratio of 1 that a class's mean is started with.
const PRIOR_TASKS: f64 = 5.0;

/// Tasks of a job on other machines that a machine is compared with, at least.
const MIN_COMPARED_TASKS: u32 = 2;

/// Decaying sum of the ratios of measured over expected run time of a class.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RuntimeRatio {
    ratio_sum: f64,
    count: f64,
}

impl RuntimeRatio {
    fn add(&mut self, ratio: f64) {
        self.ratio_sum = self.ratio_sum * DECAY + ratio;
        self.count = self.count * DECAY + 1.0;
    }

    /// The mean ratio, close to 1 while little is known.
    fn estimate(&self) -> f64 {
        ((self.ratio_sum + PRIOR_TASKS) / (self.count + PRIOR_TASKS))
            .clamp(CLASS_RATIO_BOUNDS.0, CLASS_RATIO_BOUNDS.1)
    }
}

impl ClusterState {
    /// Records the run time of an attempt that completed its task.
    pub(crate) fn record_run_time(&mut self, attempt: &Attempt, machine: &str, now: f64) {
        let run_time_s = attempt.checkpointed_s + attempt.run_time_s(now);
        let expected_s = attempt.spec.expected_s;
        if expected_s <= 0.0 || attempt.restored || attempt.running_since.is_none() {
            return;
        }
        let ratio = (run_time_s / expected_s).clamp(TASK_RATIO_BOUNDS.0, TASK_RATIO_BOUNDS.1);
        self.runtime_ratios
            .entry(attempt.spec.class.clone())
            .or_default()
            .add(ratio);
        self.compare_machine(attempt, machine, run_time_s);
    }

    /// Compares a machine with others by tasks of the same job: owners' estimates
    /// are wrong for whole jobs, for which no machine is to blame.
    fn compare_machine(&mut self, attempt: &Attempt, machine: &str, run_time_s: f64) {
        let Some(job) = self.jobs.get_mut(&attempt.spec.id) else {
            return;
        };
        job.run_times_by_machine
            .entry(machine.to_string())
            .or_default()
            .add(run_time_s);
        let mut others = SampleSum::default();
        for (other, samples) in &job.run_times_by_machine {
            if other != machine {
                others.sum += samples.sum;
                others.count += samples.count;
            }
        }
        if others.count >= MIN_COMPARED_TASKS
            && others.sum > 0.0
            && let Some(worker) = self.workers.get_mut(machine)
        {
            worker.runtime_ratio.add(run_time_s / others.mean());
        }
    }

    /// Measured over expected run time of a class, close to 1 while little is known.
    #[must_use]
    pub fn runtime_ratio(&self, class: &str) -> f64 {
        self.runtime_ratios
            .get(class)
            .copied()
            .unwrap_or_default()
            .estimate()
    }
}

//! Compares the measured run times of completed tasks: for each class of jobs with the
//! expected run times, and for each machine with those on other machines.

use crate::{cluster_state::ClusterState, model::*};

/// Lower and upper bound of a single task's ratio of measured to expected run time.
const TASK_RATIO_BOUNDS: (f64, f64) = (0.1, 10.0);

/// Lower and upper bound of a class's ratio of measured to expected run time.
const CLASS_RATIO_BOUNDS: (f64, f64) = (0.4, 2.5);

/// Factor by which the weight of a class's earlier samples is multiplied with each new
/// sample. The estimate is in effect over about the last 50 tasks.
const SAMPLE_DECAY: f64 = 0.98;

/// Weight of the prior in a class's mean ratio, as a number of tasks with a ratio of 1.
const PRIOR_TASKS: f64 = 5.0;

/// Minimum number of completed tasks of a job on other machines for a machine to be
/// compared with them.
const MIN_TASKS_ON_OTHER_MACHINES: u32 = 2;

/// Exponentially decaying mean of the ratio of measured to expected run time in a class.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RuntimeRatio {
    /// Decaying sum of the tasks' ratios.
    ratio_sum: f64,
    /// Decaying number of the tasks.
    weight_sum: f64,
}

impl RuntimeRatio {
    fn add(&mut self, ratio: f64) {
        self.ratio_sum = self.ratio_sum * SAMPLE_DECAY + ratio;
        self.weight_sum = self.weight_sum * SAMPLE_DECAY + 1.0;
    }

    /// The mean ratio, within [`CLASS_RATIO_BOUNDS`]; close to 1 as long as there are few
    /// samples.
    fn estimate(&self) -> f64 {
        ((self.ratio_sum + PRIOR_TASKS) / (self.weight_sum + PRIOR_TASKS))
            .clamp(CLASS_RATIO_BOUNDS.0, CLASS_RATIO_BOUNDS.1)
    }
}

impl ClusterState {
    /// Records the run time of an attempt that completed its task. Attempts without a
    /// reliable run time or expectation are ignored: those placed by an earlier leader,
    /// never seen running, or of a job without an expected run time.
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
        self.compare_with_other_machines(attempt, machine, run_time_s);
    }

    /// Compares the run time of a task with tasks of the same job on other machines. The
    /// owner's estimate is not used here, since a wrong estimate applies to all tasks of
    /// a job and says nothing about the machine.
    fn compare_with_other_machines(&mut self, attempt: &Attempt, machine: &str, run_time_s: f64) {
        let Some(job) = self.jobs.get_mut(&attempt.spec.id) else {
            return;
        };
        job.run_times_by_machine
            .entry(machine.to_string())
            .or_default()
            .add(run_time_s);
        let mut other_samples = SampleSum::default();
        for (other, samples) in &job.run_times_by_machine {
            if other != machine {
                other_samples.sum += samples.sum;
                other_samples.count += samples.count;
            }
        }
        if other_samples.count >= MIN_TASKS_ON_OTHER_MACHINES
            && other_samples.sum > 0.0
            && let Some(worker) = self.workers.get_mut(machine)
        {
            worker.runtime_ratio.add(run_time_s / other_samples.mean());
        }
    }

    /// Mean ratio of measured to expected run time in a class; close to 1 as long as there
    /// are few samples.
    #[must_use]
    pub fn runtime_ratio(&self, class: &str) -> f64 {
        self.runtime_ratios
            .get(class)
            .copied()
            .unwrap_or_default()
            .estimate()
    }
}

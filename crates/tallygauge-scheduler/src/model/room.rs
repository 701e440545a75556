//! Room for further tasks on a machine: free resources, and attempts that its worker can
//! still report. The mapping and the rental plan measure it alike.

use super::*;
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Room for further tasks on a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Room {
    /// Resources that no attempt occupies.
    pub(crate) resources: Resources,
    /// Number of further attempts that the worker can report.
    pub(crate) attempts: u32,
}

impl Room {
    /// The room on an empty machine of this type.
    pub(crate) fn of_type(machine_type: &MachineType, config: &Config) -> Self {
        Self {
            resources: Resources::of_type(machine_type),
            attempts: saturating_u32(config.max_attempts_per_worker),
        }
    }

    /// Whether there is room for a task of the job.
    pub(crate) fn can_take(&self, spec: &JobSpec) -> bool {
        self.attempts > 0 && self.resources.can_fit(spec)
    }

    /// Number of tasks of the job that there is room for.
    pub(crate) fn count_takeable_tasks(&self, spec: &JobSpec) -> u32 {
        self.resources.count_fitting_tasks(spec).min(self.attempts)
    }

    /// Takes the room of `task_count` tasks of the job.
    pub(crate) fn take(&mut self, spec: &JobSpec, task_count: u32) {
        self.resources.add_scaled(spec, -f64::from(task_count));
        self.attempts = self.attempts.saturating_sub(task_count);
    }

    /// Adds what an attempt that occupies capacity will release with its end. It is reported
    /// until it is cleared, which can't be done while its start may still arrive.
    pub(crate) fn add_released_by(&mut self, attempt: &Attempt) {
        self.resources.add_scaled(&attempt.spec, 1.0);
        self.attempts += u32::from(!attempt.start_undelivered);
    }
}

impl Worker {
    /// The room on the machine now.
    pub(crate) fn room(&self, config: &Config) -> Room {
        self.room_beside(self.reportable_attempts().count(), config)
    }

    /// The room on the machine once its ended attempts are cleared, as far as they can be.
    pub(crate) fn room_after_clears(&self, config: &Config) -> Room {
        let attempts = self.reportable_attempts();
        let remaining = attempts.filter(|a| a.occupies_capacity() || a.start_undelivered);
        self.room_beside(remaining.count(), config)
    }

    /// The room on the machine if its worker reports this number of attempts.
    fn room_beside(&self, reported: usize, config: &Config) -> Room {
        let further = config.max_attempts_per_worker.saturating_sub(reported);
        Room {
            resources: self.free_resources,
            attempts: saturating_u32(further),
        }
    }

    /// The room on the machine once its attempts that are being stopped have ended, and the
    /// ended ones are cleared.
    pub(crate) fn room_after_stops(&self, config: &Config) -> Room {
        let mut room = self.room_after_clears(config);
        for attempt in self.attempts.iter().filter(|a| a.is_stopping()) {
            room.add_released_by(attempt);
        }
        room
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

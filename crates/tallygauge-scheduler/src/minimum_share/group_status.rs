//! Status of each class and team under the minimum share, for operators.

use crate::cluster_state::ClusterState;
use tallygauge_fairness::{Counts, GroupKey, Shortfall};

/// How the jobs of a class, of a team, or the largest jobs of a class are served.
#[derive(Debug, Clone)]
pub struct GroupStatus<'a> {
    /// The class, the team, or the largest jobs of a class.
    pub key: &'a GroupKey,
    /// Numbers of its jobs that are done or cancelled.
    pub counts: &'a Counts,
    /// Number of open jobs.
    pub open: u32,
    /// Number of open jobs of which at least one task has run.
    pub started: u32,
    /// How many jobs it is short of its shares, as of the last selection.
    pub shortfall: Shortfall,
}

/// Numbers of open jobs of a group.
#[derive(Clone, Copy, Default)]
struct OpenCounts {
    open: u32,
    started: u32,
}

impl ClusterState {
    /// Number of machines reserved for jobs with priority.
    #[must_use]
    pub fn reserved_machines(&self) -> usize {
        self.minimum_share.reserved.len()
    }

    /// Status of each class, of each team, and of the largest jobs of each class, in the
    /// order of their keys.
    #[must_use]
    pub fn group_statuses(&self) -> Vec<GroupStatus<'_>> {
        let service_counts = &self.minimum_share.service_counts;
        let shortfalls = &self.minimum_share.shortfalls;
        let open_counts = self.open_counts_by_group();
        let mut statuses: Vec<GroupStatus> = service_counts
            .keys()
            .iter()
            .enumerate()
            .map(|(group, key)| GroupStatus {
                key,
                counts: service_counts.counts(group),
                open: open_counts[group].open,
                started: open_counts[group].started,
                shortfall: shortfalls.get(group).copied().unwrap_or_default(),
            })
            .collect();
        statuses.sort_by(|a, b| a.key.cmp(b.key));
        statuses
    }

    /// Numbers of open jobs by group id.
    fn open_counts_by_group(&self) -> Vec<OpenCounts> {
        let group_count = self.minimum_share.service_counts.keys().len();
        let mut counts = vec![OpenCounts::default(); group_count];
        for job in self.jobs.values() {
            let largest = self.minimum_share.largest_group_by_job.get(&job.spec.id);
            for group in job.group_ids.iter().chain(largest).copied() {
                counts[group].open += 1;
                counts[group].started += u32::from(job.started);
            }
        }
        counts
    }
}

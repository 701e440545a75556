//! Logs the scheduler's cluster events, each as one line with its values as fields.

use tallygauge_protocol::workers::EndCause;
use tallygauge_scheduler::{AttemptEvent, ClusterEvent, CutoffAlert, JobEvent, UnderservedGroup};

/// Logs at `info` if the first argument is true, otherwise at `debug`.
macro_rules! log_info_if {
    ($is_info:expr, $($line:tt)+) => {
        if $is_info {
            tracing::info!($($line)+);
        } else {
            tracing::debug!($($line)+);
        }
    };
}

pub(crate) use log_info_if;

/// Rounds a value to one decimal place for the log.
fn round_to_one_decimal(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

/// Formats each group as `NAME:DONE/OVERDUE/MISSING`, separated by blanks. The values are
/// the number of jobs done within a day, of jobs that should have been served by now, and of
/// jobs by which the group falls short of its target share.
fn format_groups(groups: &[UnderservedGroup]) -> String {
    let formatted: Vec<String> = groups
        .iter()
        .map(|group| {
            format!(
                "{}:{}/{}/{}",
                group.name, group.done_within_day, group.overdue, group.to_target_share
            )
        })
        .collect();
    formatted.join(" ")
}

/// Logs a cluster event. Events that an operator should see by default are logged at `info`,
/// those of single jobs and attempts at `debug`.
pub(crate) fn log_cluster_event(event: &ClusterEvent) {
    match event {
        ClusterEvent::SpotNoticeReceived { machine } => {
            tracing::info!(machine, "received spot interruption notice");
        }
        ClusterEvent::MachineUnreachable { machine, evidence } => {
            tracing::info!(machine, ?evidence, "machine unreachable");
        }
        ClusterEvent::AgentRestarted { machine } => {
            tracing::info!(machine, "agent restarted, tasks lost");
        }
        ClusterEvent::MachineReturnDecided { machine, reason } => {
            tracing::info!(machine, ?reason, "decided to return machine");
        }
        ClusterEvent::LeaseRenewalWithheld { machine } => {
            tracing::info!(
                machine,
                "withholding lease renewal, cancelled task may still start"
            );
        }
        ClusterEvent::MinimumShareEnforced { jobs, groups } => {
            tracing::info!(
                jobs,
                groups = format_groups(groups),
                "enforcing minimum share"
            );
        }
        ClusterEvent::MinimumShareReached => {
            tracing::info!("minimum share no longer enforced");
        }
        ClusterEvent::Attempt(event) => log_attempt_event(event),
        ClusterEvent::Job(event) => log_job_event(event),
        ClusterEvent::Cutoff(event) => log_cutoff_event(event),
    }
}

fn log_attempt_event(event: &AttemptEvent) {
    match event {
        AttemptEvent::Lost {
            task,
            machine,
            start_undelivered,
        } => tracing::debug!(
            task,
            machine,
            start_undelivered,
            "attempt lost with agent incarnation"
        ),
        AttemptEvent::FirstObserved { .. } | AttemptEvent::Reappeared { .. } => {
            log_observation(event);
        }
        AttemptEvent::Preempted {
            task,
            machine,
            preempted_by,
        } => tracing::debug!(task, machine, preempted_by, "preempting attempt"),
        AttemptEvent::Ended {
            task,
            machine,
            cause,
            checkpointed,
        } => {
            let is_failure = *cause == EndCause::Error;
            log_info_if!(
                is_failure,
                task,
                machine,
                ?cause,
                checkpointed,
                "attempt ended"
            );
        }
    }
}

/// Logs an event of an attempt that a worker has reported; no effect for other events.
fn log_observation(event: &AttemptEvent) {
    match event {
        AttemptEvent::FirstObserved {
            task,
            machine,
            attempt,
            state,
        } => tracing::debug!(task, machine, attempt, ?state, "attempt first observed"),
        AttemptEvent::Reappeared {
            task,
            machine,
            attempt,
            state,
        } => tracing::warn!(
            task,
            machine,
            attempt,
            ?state,
            "attempt reappeared, a copy of its start was executed"
        ),
        AttemptEvent::Lost { .. } | AttemptEvent::Preempted { .. } | AttemptEvent::Ended { .. } => {
        }
    }
}

fn log_job_event(event: &JobEvent) {
    match event {
        JobEvent::Stopping {
            job,
            attempts,
            undelivered_starts,
        } => tracing::debug!(
            job,
            attempts,
            ?undelivered_starts,
            "stopping attempts of ended job"
        ),
        JobEvent::Started {
            job,
            wait_s,
            class,
            tasks,
        } => tracing::debug!(
            job,
            wait_s = round_to_one_decimal(*wait_s),
            class,
            tasks,
            "job started"
        ),
        JobEvent::Placed {
            job,
            wait_s,
            class,
            tasks,
            is_large,
        } => tracing::debug!(
            job,
            wait_s = round_to_one_decimal(*wait_s),
            class,
            tasks,
            is_large,
            "all tasks of job placed"
        ),
    }
}

fn log_cutoff_event(event: &CutoffAlert) {
    match event {
        CutoffAlert::Opened {
            cutoff,
            is_declared,
        } => log_info_if!(*is_declared, %cutoff, "cutoff opened"),
        CutoffAlert::AtRisk {
            cutoff,
            is_declared,
            open_jobs,
            remaining_cpu_s,
            late_s,
            missing_cpus,
        } => log_info_if!(
            *is_declared,
            %cutoff,
            open_jobs,
            remaining_cpu_s = remaining_cpu_s.round(),
            late_s = late_s.round(),
            missing_cpus = missing_cpus.round(),
            "cutoff at risk"
        ),
        CutoffAlert::Passed { cutoff, open_jobs } => {
            tracing::info!(%cutoff, open_jobs, "cutoff passed with open jobs");
        }
        CutoffAlert::Met { cutoff } => tracing::info!(%cutoff, "cutoff met"),
        CutoffAlert::Missed { cutoff, late_s } => {
            tracing::info!(%cutoff, late_s = late_s.round(), "cutoff missed");
        }
    }
}

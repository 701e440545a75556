//! The slow sweep of the daemon: open jobs on record against the picture, and
//! the picture against itself. What is found is said and mended.

use crate::{controller::Controller, job_watch};
use std::{collections::BTreeSet, time::Duration};
use tallygauge_protocol::state::{KeyValue, WatchEvent};
use tallygauge_store::RequestPriority;

/// Jobs and machines looked at in one step.
const STEP: usize = 16;

/// Steps in a report interval.
const STEPS: f64 = 2.0;

/// Sweeps as long as this node leads: a step of the picture now and then, all
/// records of open jobs once a lease.
pub async fn run(controller: &Controller) {
    let w = &controller.settings.deployment.workers;
    let pause = Duration::from_secs_f64(w.heartbeat_interval_s / STEPS);
    let mut listed = controller.now();
    loop {
        tokio::time::sleep(pause).await;
        let found = controller
            .with_cluster(|c| c.reconcile(STEP))
            .unwrap_or_default();
        for text in &found {
            tracing::warn!(found = text, "the sweep mends");
        }
        if !found.is_empty() {
            controller.wake_scheduler.notify_one();
        }
        let now = controller.now();
        if now - listed > w.lease_s {
            listed = now;
            reconcile_with_store(controller).await;
        }
    }
}

/// Compares the picture with the records of open jobs. Returns how many jobs
/// were missing, and how many were over.
///
/// What the picture had followed up to `followed` it must show: an open job that
/// is older than that and was not in it before the records were listed was
/// lost. One that was in it, and is not on record at a later time, is over.
pub async fn reconcile_with_store(controller: &Controller) -> (usize, usize) {
    let before = {
        let lead = controller.leadership.lock();
        lead.as_ref().and_then(|l| {
            let cluster = l.cluster.as_ref()?;
            Some((l.term, l.watched_revision, cluster.active_job_ids()))
        })
    };
    let Some((term, followed, known)) = before else {
        return (0, 0);
    };
    let Ok((rows, _)) = controller
        .store
        .list(RequestPriority::Maintenance, "o/")
        .await
    else {
        return (0, 0);
    };
    let (missing, over) = differences(&known, rows, followed);
    let (now, time_of_day) = (controller.now(), controller.time_of_day());
    let mut counts = (0, 0);
    {
        let mut lead = controller.leadership.lock();
        let lead = lead.as_mut().filter(|l| l.term == term);
        let Some(cluster) = lead.and_then(|l| l.cluster.as_mut()) else {
            return (0, 0);
        };
        for row in missing {
            let key = row.key.clone();
            let change = WatchEvent::Set {
                key: row.key,
                value: row.value,
                version: row.version,
            };
            let jobs = cluster.jobs.len();
            job_watch::apply_event(cluster, change, now, time_of_day);
            if cluster.jobs.len() > jobs {
                counts.0 += 1;
                tracing::warn!(key, "the sweep mends: an open job was not in the picture");
            }
        }
        for id in over {
            if cluster.remove_job(&id, now) {
                counts.1 += 1;
                tracing::warn!(id, "the sweep mends: a job that is over was in the picture");
            }
        }
    }
    if counts != (0, 0) {
        controller.wake_scheduler.notify_one();
    }
    counts
}

/// Records of jobs that the picture should have, and ids of those that it should
/// not: the picture as it was before the records were listed, having followed
/// all changes up to `followed`.
fn differences(
    known: &BTreeSet<String>,
    rows: Vec<KeyValue>,
    followed: u64,
) -> (Vec<KeyValue>, Vec<String>) {
    let id = |row: &KeyValue| row.key.strip_prefix("o/").map(str::to_string);
    let open: BTreeSet<String> = rows.iter().filter_map(id).collect();
    let lost = |row: &KeyValue| {
        let known = id(row).is_some_and(|id| known.contains(&id));
        row.version <= followed && !known
    };
    let over = known.difference(&open).cloned().collect();
    (rows.into_iter().filter(lost).collect(), over)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(n: u32, version: u64) -> KeyValue {
        KeyValue {
            key: format!("o/req-{n}"),
            value: serde_json::Value::Null,
            version,
        }
    }

    // A job that came after what the picture had followed is not lost: the watch
    // brings it.
    #[test]
    fn only_what_the_picture_must_know_is_taken_for_lost() {
        let known = BTreeSet::from(["req-1".to_string(), "req-4".to_string()]);
        let rows = vec![row(1, 5), row(2, 7), row(3, 11)];
        let (missing, over) = differences(&known, rows, 10);
        let missing: Vec<&str> = missing.iter().map(|r| r.key.as_str()).collect();
        assert_eq!(
            (missing, over),
            (vec!["o/req-2"], vec!["req-4".to_string()])
        );
    }
}

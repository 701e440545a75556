//! Recovery of a whole cluster from stored records, as on a failover to a new version.
//! The records are those of the daemon's golden file.

use super::*;
use serde::de::DeserializeOwned;
use serde_json::Value;

const RECORDS: &str = include_str!("../../../tallygauge/tests/golden/records.txt");

/// Unix time of the failover, in seconds: 10 s after the first job was accepted.
const UNIX_TIME_S: f64 = 1_750_000_010.5;

/// The new leader's monotonic clock at the failover, in seconds.
const NOW: f64 = 100.0;

/// A stored record: its key without the prefix, its version and its value.
type Row = (&'static str, u64, Value);

/// The stored records whose keys begin with a prefix.
fn rows(prefix: &str) -> Vec<Row> {
    let lines = RECORDS.lines().filter_map(|line| line.strip_prefix(prefix));
    lines
        .map(|line| {
            let fields: Vec<&str> = line.splitn(3, ' ').collect();
            let version = fields[1].parse().unwrap();
            (fields[0], version, serde_json::from_str(fields[2]).unwrap())
        })
        .collect()
}

fn value<T: DeserializeOwned>(value: &Value) -> T {
    serde_json::from_value(value.clone()).unwrap()
}

fn stored_value<T: DeserializeOwned>(key: &str) -> T {
    value(&rows(key)[0].2)
}

/// Restores the records in the same order as a new leader.
fn recover() -> ClusterState {
    let mut cluster = cluster(&[], NOW);
    cluster.set_unix_time(NOW, UNIX_TIME_S);
    assert!(cluster.restore_service_counts(stored_value("s/floor")));
    assert_eq!(
        cluster.restore_image_locations(&stored_value("s/images/0")),
        0
    );
    cluster.restore_deadline_tracker(stored_value("s/calendar"));
    cluster.set_priority_rules(stored_value("s/ledger"));
    let mut completed_by_job: HashMap<String, RangeSet> = HashMap::new();
    for (page, version, record) in rows("f/") {
        let page = page.parse().unwrap();
        for (chunk, ranges) in cluster
            .completion_pages
            .restore(page, version, value(&record))
        {
            completed_by_job
                .entry(chunk.job)
                .or_default()
                .insert_all_below(&ranges, u32::MAX);
        }
    }
    for (id, version, record) in rows("o/") {
        let accepted_at = record["at"].as_f64().unwrap();
        let completed = completed_by_job.get(id).cloned().unwrap_or_default();
        let age_s = UNIX_TIME_S - accepted_at;
        cluster.add_job(value(&record["spec"]), version, NOW - age_s, &completed);
        cluster.set_accepted_unix_time(id, accepted_at);
    }
    let jobs = &cluster.jobs;
    cluster
        .completion_pages
        .retain_jobs(|id| jobs.contains_key(id));
    for (name, _, record) in rows("p/") {
        cluster.restore_placements(name, &value(&record), NOW, UNIX_TIME_S);
    }
    cluster
}

#[test]
fn recovery_from_stored_records_restores_jobs_progress_attempts_and_quota_usage() {
    let cluster = recover();

    let jobs: Vec<(&str, u64, f64)> = cluster
        .jobs
        .iter()
        .map(|(id, job)| (id.as_str(), job.version, job.accepted_at))
        .collect();
    assert_eq!(jobs, [("req-1", 21, 90.0), ("req-2", 22, 91.0)]);
    assert_eq!(
        cluster.task_count("req-1"),
        Some(TaskCount {
            done: 2,
            running: 3
        })
    );
    assert_eq!(
        cluster.task_count("req-2"),
        Some(TaskCount {
            done: 0,
            running: 1
        })
    );
    let pending = |id: &str| cluster.jobs[id].pending.iter().collect::<Vec<u32>>();
    assert_eq!((pending("req-1"), pending("req-2")), (vec![5], vec![1]));

    let mut attempts: Vec<(String, &str, u64, u64, f64, bool)> = Vec::new();
    for worker in cluster.workers.values() {
        attempts.extend(worker.attempts.iter().map(|attempt| {
            let is_stopping = attempt.stop.is_some();
            (
                attempt.task_name(),
                &*worker.name,
                attempt.number,
                attempt.incarnation,
                attempt.checkpointed_s,
                is_stopping,
            )
        }));
    }
    attempts.sort_by_key(|attempt| attempt.2);
    assert_eq!(
        attempts,
        [
            ("req-1/2".into(), "sa", 536_870_914, 1, 0.0, false),
            ("req-1/3".into(), "sa", 536_870_915, 1, 12.0, false),
            ("req-1/4".into(), "la", 536_870_916, 2, 0.0, false),
            ("req-9/3".into(), "la", 536_870_917, 2, 7.0, true),
            ("req-2/0".into(), "la", 536_870_920, 2, 0.0, false),
        ]
    );
    assert!(
        cluster.last_attempt_number > attempts[4].2,
        "attempt numbers never repeat"
    );

    let used_cpus: Vec<f64> = cluster.quota_usage.iter().map(|usage| usage.cpus).collect();
    assert_eq!(used_cpus, [4.5, 3.0]);

    assert_eq!(
        cluster
            .priority_rules()
            .current()
            .map(|revision| revision.number),
        Some(1)
    );
    assert_eq!(
        serde_json::to_value(cluster.deadline_tracker()).unwrap()["m"][0],
        "night@1"
    );
    let service_counts = serde_json::to_value(cluster.service_counts_record(4096)).unwrap();
    assert_eq!(service_counts["t"][0][1], serde_json::json!([5, 1, 2, 1]));
}

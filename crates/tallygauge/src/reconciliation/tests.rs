//! Which differences between the stored records and the cluster state are repaired.

use super::*;

fn stored_job(number: u32, version: u64) -> KeyValue {
    KeyValue {
        key: format!("o/req-{number}"),
        value: serde_json::Value::Null,
        version,
    }
}

// A job whose record is newer than the watched revision is not lost: the watch of active jobs
// will add it.
#[test]
fn only_jobs_with_records_up_to_the_watched_revision_are_missing() {
    let cluster_jobs = BTreeSet::from(["req-1".to_string(), "req-4".to_string()]);
    let stored = vec![stored_job(1, 5), stored_job(2, 7), stored_job(3, 11)];
    let differences = compare_jobs(&cluster_jobs, stored, 10);
    let missing: Vec<&str> = differences
        .missing
        .iter()
        .map(|entry| entry.key.as_str())
        .collect();
    assert_eq!(
        (missing, differences.ended),
        (vec!["o/req-2"], vec!["req-4".to_string()])
    );
}

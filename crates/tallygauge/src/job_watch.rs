//! Applies the records of active jobs, and changes of these records, to the cluster state.

use crate::{store_keys::active_job_id, user_api::ActiveJobRecord};
use tallygauge_protocol::state::WatchEvent;
use tallygauge_scheduler::{ClusterState, RangeSet};

/// Adds an active job to the cluster state.
///
/// - `now` and `unix_time_s` are the same instant, in seconds: `now` on the controller's
///   clock, `unix_time_s` since the Unix epoch.
/// - `completed` contains the tasks that are known to be completed.
pub fn add_job(
    cluster: &mut ClusterState,
    record: ActiveJobRecord,
    version: u64,
    (now, unix_time_s): (f64, f64),
    completed: &RangeSet,
) {
    let accepted_at = now - (unix_time_s - record.accepted_at).max(0.0);
    let id = record.spec.id.clone();
    cluster.add_job(record.spec, version, accepted_at, completed);
    cluster.set_accepted_unix_time(&id, record.accepted_at);
}

/// Applies a change of an active job's record to the cluster state. The record was written
/// when the job was submitted or changed, or removed because the job ended. For `now` and
/// `unix_time_s` see [`add_job`].
pub fn apply_event(cluster: &mut ClusterState, event: WatchEvent, now: f64, unix_time_s: f64) {
    match event {
        WatchEvent::Set {
            value,
            version,
            key,
        } => match serde_json::from_value::<ActiveJobRecord>(value) {
            Ok(record) => {
                let completed = RangeSet::default();
                add_job(cluster, record, version, (now, unix_time_s), &completed);
            }
            Err(error) => tracing::error!(%error, key, "malformed record of an active job"),
        },
        WatchEvent::Remove { key, .. } => {
            if let Some(id) = active_job_id(&key) {
                cluster.remove_job(id, now);
            }
        }
    }
}

//! What becomes of open jobs' records, taken up into the picture.

use crate::user_api::ActiveJobRecord;
use tallygauge_protocol::state::WatchEvent;
use tallygauge_scheduler::{ClusterState, RangeSet};

/// Takes an open job up into the picture, with the tasks known to be done.
pub fn add_job(
    cluster: &mut ClusterState,
    record: ActiveJobRecord,
    version: u64,
    (now, time_of_day): (f64, f64),
    finished: &RangeSet,
) {
    let accepted = now - (time_of_day - record.accepted_at).max(0.0);
    let id = record.spec.id.clone();
    cluster.add_job(record.spec, version, accepted, finished);
    cluster.set_accepted_time_of_day(&id, record.accepted_at);
}

/// Takes a change of an open job's record up into the picture.
pub fn apply_event(cluster: &mut ClusterState, change: WatchEvent, now: f64, time_of_day: f64) {
    match change {
        WatchEvent::Set {
            value,
            version,
            key,
        } => match serde_json::from_value::<ActiveJobRecord>(value) {
            Ok(record) => {
                let none = RangeSet::default();
                add_job(cluster, record, version, (now, time_of_day), &none);
            }
            Err(error) => tracing::error!(%error, key, "an open job can't be read"),
        },
        WatchEvent::Remove { key, .. } => {
            if let Some(id) = key.strip_prefix("o/") {
                cluster.remove_job(id, now);
            }
        }
    }
}

//! What becomes of open jobs' records, taken up into the picture.

use crate::user_api::OpenRecord;
use tallygauge_protocol::state::Change;
use tallygauge_scheduler::{Cluster, RangeSet};

/// Takes an open job up into the picture, with the tasks known to be done.
pub fn add(
    cluster: &mut Cluster,
    record: OpenRecord,
    version: u64,
    (now, time_of_day): (f64, f64),
    finished: &RangeSet,
) {
    let accepted = now - (time_of_day - record.at).max(0.0);
    let id = record.spec.id.clone();
    cluster.add_job(record.spec, version, accepted, finished);
    cluster.accepted(&id, record.at);
}

/// Takes a change of an open job's record up into the picture.
pub fn apply(cluster: &mut Cluster, change: Change, now: f64, time_of_day: f64) {
    match change {
        Change::Set {
            value,
            version,
            key,
        } => match serde_json::from_value::<OpenRecord>(value) {
            Ok(record) => {
                let none = RangeSet::default();
                add(cluster, record, version, (now, time_of_day), &none);
            }
            Err(error) => tracing::error!(%error, key, "an open job can't be read"),
        },
        Change::Remove { key, .. } => {
            if let Some(id) = key.strip_prefix("o/") {
                cluster.remove_job(id, now);
            }
        }
    }
}

//! Filling the job cache with all active jobs at once.

use crate::{
    controller::Controller,
    store_keys::{ACTIVE_JOB_PREFIX, active_job_id},
};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tallygauge_store::RequestPriority;
use tokio::sync::Notify;

/// Requests about jobs that are not cached, from which on all active jobs are read.
const UNKNOWN_JOBS_BEFORE_REFRESH: usize = 8;

/// After a failed refresh the next is tried after this part of the usual pause.
const RETRY_PAUSE_DIVISOR: u32 = 16;

/// Counts requests about jobs that are not cached, and requests a refresh of the
/// cache when there are several.
#[derive(Default)]
pub struct JobRefresh {
    /// Requests since the last refresh.
    unknown_job_requests: Mutex<usize>,
    requested: Notify,
}

impl JobRefresh {
    /// Records a request about a job that is not cached.
    pub fn record_unknown_job(&self) {
        let mut unknown = self.lock_count();
        *unknown += 1;
        if *unknown == UNKNOWN_JOBS_BEFORE_REFRESH {
            self.requested.notify_one();
        }
    }

    fn record_refresh(&self) {
        *self.lock_count() = 0;
    }

    fn lock_count(&self) -> std::sync::MutexGuard<'_, usize> {
        self.unknown_job_requests.lock().expect("job refresh lock")
    }
}

/// Reads all active jobs' versions into the cache whenever this controller has been
/// asked about several jobs that it does not know, as after a start: one request for
/// hundreds of jobs, instead of two and a failed version check for each. At most once
/// per worker lease. Runs for the life of the process.
pub async fn refresh_active_jobs(controller: Arc<Controller>) {
    let pause = Duration::from_secs_f64(controller.settings.deployment.workers.lease_s);
    loop {
        controller.job_refresh.requested.notified().await;
        let listed = controller
            .store
            .list(RequestPriority::Maintenance, ACTIVE_JOB_PREFIX)
            .await;
        if let Ok(listing) = listed {
            let versions = listing
                .entries
                .iter()
                .map(|entry| (entry.key.as_str(), entry.version));
            cache_active_jobs(&controller, versions);
            controller.job_refresh.record_refresh();
            tokio::time::sleep(pause).await;
        } else {
            tokio::time::sleep(pause / RETRY_PAUSE_DIVISOR).await;
            controller.job_refresh.requested.notify_one();
        }
    }
}

/// Caches versions of active jobs' records, given as key and version, of the jobs
/// that are not cached yet. Before a user is told, the store is asked whether they
/// still hold.
pub fn cache_active_jobs<'a>(
    controller: &Controller,
    versions: impl Iterator<Item = (&'a str, u64)>,
) {
    controller
        .job_cache
        .insert_missing_active(versions.filter_map(|(key, version)| {
            let id = active_job_id(key)?;
            Some((id, version))
        }));
}

//! Refreshes the job cache with the versions of all active jobs in one request.

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

/// Number of cache misses since the last refresh at which a refresh is requested.
const CACHE_MISSES_BEFORE_REFRESH: usize = 8;

/// The pause after a failed refresh is the pause after a successful one divided by this.
const RETRY_PAUSE_DIVISOR: u32 = 16;

/// Counts the misses of the job cache, and requests a refresh of the cache after several
/// of them.
#[derive(Default)]
pub struct JobRefresh {
    /// Cache misses since the last refresh.
    cache_misses: Mutex<usize>,
    refresh_requested: Notify,
}

impl JobRefresh {
    /// Records a request about a job that is not in the cache.
    pub fn record_cache_miss(&self) {
        let mut cache_misses = self.lock_count();
        *cache_misses += 1;
        if *cache_misses == CACHE_MISSES_BEFORE_REFRESH {
            self.refresh_requested.notify_one();
        }
    }

    fn record_refresh(&self) {
        *self.lock_count() = 0;
    }

    fn lock_count(&self) -> std::sync::MutexGuard<'_, usize> {
        self.cache_misses
            .lock()
            .expect("a task that held the lock of the cache misses panicked")
    }
}

/// Reads the record versions of all active jobs into the cache whenever several cache misses
/// have occurred, for example after the process has started. One such request covers
/// hundreds of jobs, whereas each miss costs two requests and a failed version check. There
/// is at most one refresh per duration of a worker's lease. Never returns.
pub async fn refresh_active_jobs(controller: Arc<Controller>) {
    let pause = Duration::from_secs_f64(controller.settings.deployment.workers.lease_s);
    loop {
        controller.job_refresh.refresh_requested.notified().await;
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
            controller.job_refresh.refresh_requested.notify_one();
        }
    }
}

/// Adds the given keys and versions of active jobs' records to the cache, except for jobs
/// that are cached already. The versions may be out of date: each is checked against the
/// store before a user is told about the job.
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

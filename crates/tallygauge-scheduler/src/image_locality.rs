//! Image locality: records for the next leader which machines have which images cached,
//! and counts a service's replicas for their spread over machines and zones.

use crate::{cluster_state::ClusterState, model::*};
use std::collections::BTreeMap;
use tallygauge_locality::{CachedImage, ImageIndex, ImageLocations, ReplicaCounts};
use tallygauge_protocol::users::Shape;

/// Fetch rate assumed for a machine of an unknown type, in GB/s.
const DEFAULT_FETCH_GB_PER_S: f64 = 1.0;

/// Lower bound of the fetch rate in estimates of fetch times, in GB/s.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

impl ClusterState {
    /// Restores a shard of the image locations that an earlier leader recorded. Must be
    /// called before the machines are registered. Returns the number of images that were
    /// skipped because their entry is corrupt.
    pub fn restore_image_locations(&mut self, shard: &ImageLocations) -> usize {
        self.image_index.restore(shard)
    }

    /// The images that machines are assumed to have cached, to be recorded for the next
    /// leader: at most `max_shards` shards of at most `shard_bytes` bytes each. Left out
    /// are machines that are to be returned, images still being fetched, and images that
    /// a machine fetches in less than `min_fetch_s` seconds.
    #[must_use]
    pub fn image_locations(
        &self,
        min_fetch_s: f64,
        shard_bytes: usize,
        max_shards: usize,
    ) -> Vec<ImageLocations> {
        let mut images = Vec::new();
        for worker in self.workers.values().filter(|w| !w.is_being_returned()) {
            let machine_type = self.machine_types.get(&worker.machine_type);
            let gb_per_s = machine_type
                .map_or(DEFAULT_FETCH_GB_PER_S, |t| t.fetch_gb_per_s)
                .max(MIN_FETCH_GB_PER_S);
            let cached = worker.images.cached.iter();
            let fully_fetched = cached.filter(|i| !worker.images.fetching.contains_key(&i.name));
            images.extend(fully_fetched.map(|image| CachedImage {
                machine: &worker.name,
                image: &image.name,
                gb: image.gb,
                fetch_s: image.gb / gb_per_s,
            }));
        }
        ImageIndex::build_shards(&images, min_fetch_s, shard_bytes, max_shards)
    }
}

/// Whether a job has several replicas, which should not all fail together.
pub(crate) fn is_replicated(job: &Job) -> bool {
    job.spec.shape == Shape::Service && job.spec.tasks > 1
}

/// Counts of a job's replicas that decide the cost of placing another one in `zone`.
/// `zone_count` is the number of zones that the job may use.
pub(crate) fn replica_counts_for_zone(
    replicas_by_zone: &BTreeMap<String, u32>,
    zone: &str,
    zone_count: u32,
) -> ReplicaCounts {
    ReplicaCounts {
        on_machine: 0,
        in_zone: replicas_by_zone.get(zone).copied().unwrap_or(0),
        in_all_zones: replicas_by_zone.values().sum(),
        zones: zone_count,
    }
}

//! Image locality: which machines have which images cached, recorded for the next
//! leader, and the spread of a service's replicas.

use crate::{cluster_state::ClusterState, model::*};
use std::collections::BTreeMap;
use tallygauge_locality::{CachedImage, ImageIndex, ImageLocations, ReplicaCounts};
use tallygauge_protocol::users::Shape;

/// Fetch rate of a machine whose type is not known, GB/s.
const DEFAULT_FETCH_GB_PER_S: f64 = 1.0;

/// Lowest fetch rate that is reckoned with, GB/s.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

impl ClusterState {
    /// Restores a shard of the image locations that an earlier leader recorded. To be
    /// called before machines are registered. Returns how many images could not be
    /// read.
    pub fn restore_image_locations(&mut self, shard: &ImageLocations) -> usize {
        self.image_index.restore(shard)
    }

    /// The expected image locations, to be recorded for the next leader: at most
    /// `max_shards` shards of `shard_bytes`, without images that a machine fetches in
    /// less than `min_fetch_s`.
    #[must_use]
    pub fn image_locations(
        &self,
        min_fetch_s: f64,
        shard_bytes: usize,
        max_shards: usize,
    ) -> Vec<ImageLocations> {
        let mut images = Vec::new();
        for worker in self
            .workers
            .values()
            .filter(|w| w.return_decision.is_none())
        {
            let machine_type = self.machine_types.get(&worker.machine_type);
            let gb_per_s = machine_type
                .map_or(DEFAULT_FETCH_GB_PER_S, |t| t.fetch_gb_per_s)
                .max(MIN_FETCH_GB_PER_S);
            let cached = worker.images.cached.iter();
            let fetched = cached.filter(|i| !worker.images.fetching.contains_key(&i.0));
            images.extend(fetched.map(|(image, gb)| CachedImage {
                machine: &worker.name,
                image,
                gb: *gb,
                fetch_s: gb / gb_per_s,
            }));
        }
        ImageIndex::shards(&images, min_fetch_s, shard_bytes, max_shards)
    }
}

/// Whether a job has replicas that should not fail together.
pub(crate) fn is_replicated(job: &Job) -> bool {
    job.spec.shape == Shape::Service && job.spec.tasks > 1
}

/// Replicas that a further one would share a zone with, given the replicas by zone
/// and the number of zones that it may be in.
pub(crate) fn replica_counts_in(
    replicas_by_zone: &BTreeMap<String, u32>,
    zone: &str,
    zone_count: u32,
) -> ReplicaCounts {
    ReplicaCounts {
        on_machine: 0,
        in_zone: replicas_by_zone.get(zone).copied().unwrap_or(0),
        running: replicas_by_zone.values().sum(),
        zones: zone_count,
    }
}

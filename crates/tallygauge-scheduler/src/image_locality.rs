//! Where images lie, left to the next leader and taken up from the one before,
//! and where replicas of a service go.

use crate::{cluster_state::ClusterState, model::*};
use tallygauge_locality::{CachedImage, ImageIndex, ImageLocations, ReplicaCounts};
use tallygauge_protocol::users::Shape;

impl ClusterState {
    /// Takes up what an earlier leader believed of where images lie. To be called
    /// before machines are known. Returns how many images could not be read.
    pub fn restore_image_locations(&mut self, part: &ImageLocations) -> usize {
        self.image_index.restore(part)
    }

    /// What is believed now, for the next leader: at most so many parts of so
    /// many bytes, without images that a machine fetches in less than `least_s`.
    #[must_use]
    pub fn image_locations(&self, least_s: f64, bytes: usize, most: usize) -> Vec<ImageLocations> {
        let mut holdings = Vec::new();
        for worker in self.workers.values().filter(|w| w.leaving.is_none()) {
            let rate = self.machine_types.get(&worker.machine_type);
            let rate = rate.map_or(1.0, |t| t.fetch_gb_per_s).max(1e-3);
            let there = worker.images.cached.iter();
            let there = there.filter(|i| !worker.images.fetching.contains_key(&i.0));
            holdings.extend(there.map(|(image, gb)| CachedImage {
                machine: &worker.name,
                image,
                gb: *gb,
                fetch_s: gb / rate,
            }));
        }
        ImageIndex::shards(&holdings, least_s, bytes, most)
    }
}

/// Whether replicas of a job are to survive failures together.
pub(crate) fn is_replicated(job: &Job) -> bool {
    job.spec.shape == Shape::Service && job.spec.tasks > 1
}

/// What a further replica of a job would share with others in a zone.
pub(crate) fn replica_counts_in(
    zones: &std::collections::BTreeMap<String, u32>,
    zone: &str,
    count: u32,
) -> ReplicaCounts {
    ReplicaCounts {
        on_machine: 0,
        in_zone: zones.get(zone).copied().unwrap_or(0),
        running: zones.values().sum(),
        zones: count,
    }
}

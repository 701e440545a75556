//! The images that a machine has cached or is fetching.

use super::*;
use std::collections::BTreeMap;
use tallygauge_locality::Image;
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// The scheduler's estimate of which images a machine has cached or is fetching.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ImageCache {
    /// Each image that the cache should hold, least recently used first.
    pub cached: Vec<Image>,
    /// Images that are being fetched, with the time at which each fetch should complete.
    pub fetching: BTreeMap<String, f64>,
}

impl ImageCache {
    /// Marks an image as the most recently used one, and evicts the least recently used
    /// images while the total exceeds `cache_gb`. The image itself is never evicted.
    pub(crate) fn mark_used(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.cached.retain(|cached| cached.name != image);
        self.cached.push(Image {
            name: image.to_string(),
            gb,
        });
        let mut total: f64 = self.cached.iter().map(|cached| cached.gb).sum();
        while total > cache_gb && self.cached.len() > 1 {
            total -= self.cached.remove(0).gb;
        }
    }

    /// Seconds until an image would be available if it were requested now. All fetches
    /// share the transfer rate, so a new fetch completes after those in progress.
    pub(crate) fn fetch_s(&self, image: &str, gb: f64, gb_per_s: f64, now: f64) -> f64 {
        if let Some(fetched_at) = self.fetching.get(image) {
            return (fetched_at - now).max(0.0);
        }
        if self.cached.iter().any(|cached| cached.name == image) {
            return 0.0;
        }
        let queue_s = self
            .fetching
            .values()
            .fold(now, |latest, fetched_at| latest.max(*fetched_at))
            - now;
        queue_s + gb / gb_per_s.max(1e-3)
    }

    /// Records that a task of the job is placed: its image is fetched unless it is cached
    /// or already being fetched.
    pub(crate) fn request_for(&mut self, spec: &JobSpec, machine_type: &MachineType, now: f64) {
        let fetch_s = self.fetch_s(&spec.image, spec.image_gb, machine_type.fetch_gb_per_s, now);
        if fetch_s > 0.0 {
            self.fetching
                .entry(spec.image.clone())
                .or_insert(now + fetch_s);
        }
        self.mark_used(&spec.image, spec.image_gb, machine_type.cache_gb);
    }

    /// Records that a task is fetching an image. If no fetch of it was known, the image
    /// was wrongly assumed to be cached, and is complete at `fetched_at` at the earliest.
    pub(crate) fn record_fetch(&mut self, image: &str, fetched_at: f64) {
        if !self.fetching.contains_key(image) {
            self.fetching.insert(image.to_string(), fetched_at);
        }
    }

    /// Removes the fetch of an image that no attempt on the machine needs any more,
    /// because the agent cancels it.
    pub(crate) fn cancel_unneeded_fetch(&mut self, image: &str, attempts: &[Attempt]) {
        let is_needed = attempts
            .iter()
            .any(|attempt| attempt.occupies_capacity() && attempt.spec.image == image);
        if !is_needed && self.fetching.remove(image).is_some() {
            self.cached.retain(|cached| cached.name != image);
        }
    }
}

//! Index of which machines hold which images, as one leader stores it for the next.

use crate::image_locations::{
    ImageEntry, ImageLocations, MAX_BYTES_PER_NAME_BYTE, MachineNameFormat,
};
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, HashMap};

/// Bytes around the entries and the prefix of a shard.
const SHARD_OVERHEAD_BYTES: usize = 80;

/// An image in the cache of a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CachedImage<'a> {
    /// Name of the machine.
    pub machine: &'a str,
    /// Name of the image.
    pub image: &'a str,
    /// Size of the image, GB.
    pub gb: f64,
    /// Seconds that the machine would take to fetch it.
    pub fetch_s: f64,
}

/// Which machines hold which images, as an earlier leader found. It may be out of date:
/// a wrong entry costs time, and breaks no rule.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ImageIndex {
    /// Names and sizes in GB of images, by machine.
    by_machine: BTreeMap<String, Vec<(String, f64)>>,
}

impl ImageIndex {
    /// Shards to store for `cached` images: at most `max_shards`, each of at most
    /// `max_bytes` bytes as JSON.
    ///
    /// They cover the machines with the most common form of name. Images come first
    /// whose fetches cost most time for each byte that they take in the record; those
    /// that a machine fetches in less than `min_fetch_s` seconds are left out there.
    #[must_use]
    pub fn build_shards(
        cached: &[CachedImage],
        min_fetch_s: f64,
        max_bytes: usize,
        max_shards: usize,
    ) -> Vec<ImageLocations> {
        let Some(names) = most_common_name_format(cached) else {
            return Vec::new();
        };
        let costly = cached.iter().filter(|c| c.fetch_s >= min_fetch_s);
        let machines_by_image = group_by_image(costly, &names);
        let entries = encode_entries(machines_by_image);
        let prefix_bytes = names.prefix.len() * MAX_BYTES_PER_NAME_BYTE;
        let entry_bytes = max_bytes.saturating_sub(SHARD_OVERHEAD_BYTES + prefix_bytes);
        pack_entries(entries, entry_bytes, max_shards)
            .into_iter()
            .map(|images| ImageLocations {
                names: names.clone(),
                images,
            })
            .collect()
    }

    /// Adds a shard that an earlier leader stored. Returns the number of images that
    /// were skipped because their entry is corrupt.
    pub fn restore(&mut self, shard: &ImageLocations) -> usize {
        let mut corrupt = 0;
        for entry in &shard.images {
            let Some(machines) = entry.decode_machines(&shard.names) else {
                corrupt += 1;
                continue;
            };
            for number in &machines {
                let machine = shard.names.name_of(number);
                let images = self.by_machine.entry(machine).or_default();
                if !images.iter().any(|(name, _)| *name == entry.name) {
                    images.push((entry.name.clone(), entry.gb));
                }
            }
        }
        corrupt
    }

    /// Removes and returns the images of a machine, each with its size in GB. Called
    /// when the machine is registered.
    pub fn take_images_of(&mut self, machine: &str) -> Vec<(String, f64)> {
        self.by_machine.remove(machine).unwrap_or_default()
    }

    /// Number of machines with images in the index.
    #[must_use]
    pub fn machine_count(&self) -> usize {
        self.by_machine.len()
    }
}

/// A machine's name taken apart.
struct MachineName<'a> {
    prefix: &'a str,
    /// Digits of the number.
    digits: usize,
    number: u32,
}

impl<'a> MachineName<'a> {
    /// `None` if the name doesn't end in a number.
    fn parse(name: &'a str) -> Option<Self> {
        let digits = name.bytes().rev().take_while(u8::is_ascii_digit).count();
        let (prefix, number) = name.split_at(name.len() - digits);
        Some(Self {
            prefix,
            digits,
            number: number.parse().ok()?,
        })
    }
}

/// The form of name that most cached images' machines have; of equally common ones, the
/// first in alphabetical order.
fn most_common_name_format(cached: &[CachedImage]) -> Option<MachineNameFormat> {
    let mut counts: HashMap<(&str, usize), usize> = HashMap::new();
    for name in cached.iter().filter_map(|c| MachineName::parse(c.machine)) {
        *counts.entry((name.prefix, name.digits)).or_default() += 1;
    }
    let ((prefix, digits), _) =
        counts
            .into_iter()
            .max_by(|(format_a, count_a), (format_b, count_b)| {
                count_a.cmp(count_b).then_with(|| format_b.cmp(format_a))
            })?;
    Some(MachineNameFormat {
        prefix: prefix.to_string(),
        digits,
    })
}

/// The machines that hold an image.
#[derive(Default)]
struct ImageMachines {
    /// Size of the image, GB.
    gb: f64,
    /// Seconds that all the machines would take to fetch it, added up.
    fetch_s: f64,
    /// Numbers of the machines.
    numbers: RoaringBitmap,
}

/// Machines whose names have the form of `names`, by the name of the image.
fn group_by_image<'a>(
    cached: impl Iterator<Item = &'a CachedImage<'a>>,
    names: &MachineNameFormat,
) -> BTreeMap<&'a str, ImageMachines> {
    let mut machines_by_image: BTreeMap<&str, ImageMachines> = BTreeMap::new();
    for image in cached {
        let Some(name) = MachineName::parse(image.machine) else {
            continue;
        };
        if name.prefix == names.prefix && name.digits == names.digits {
            let machines = machines_by_image.entry(image.image).or_default();
            machines.gb = image.gb;
            machines.fetch_s += image.fetch_s;
            machines.numbers.insert(name.number);
        }
    }
    machines_by_image
}

/// Entries of a record, with those first that save most fetch time for each byte.
fn encode_entries(machines_by_image: BTreeMap<&str, ImageMachines>) -> Vec<ImageEntry> {
    let mut entries: Vec<(f64, ImageEntry)> = machines_by_image
        .into_iter()
        .filter_map(|(image, machines)| {
            let entry = ImageEntry::encode(image, machines.gb, machines.numbers)?;
            Some((machines.fetch_s / entry.max_bytes() as f64, entry))
        })
        .collect();
    entries.sort_by(|(saved_a, entry_a), (saved_b, entry_b)| {
        let by_time_saved = saved_b.total_cmp(saved_a);
        by_time_saved.then_with(|| entry_a.name.cmp(&entry_b.name))
    });
    entries.into_iter().map(|(_, entry)| entry).collect()
}

/// Entries of one shard, while it is filled.
#[derive(Default)]
struct Shard {
    used_bytes: usize,
    entries: Vec<ImageEntry>,
}

/// Packs entries into shards, each into the first that it fits in; entries that fit in
/// none are left out. Each shard is ordered by name, so that equal contents are equal
/// records whatever the order in which they were packed.
fn pack_entries(
    entries: Vec<ImageEntry>,
    max_bytes: usize,
    max_shards: usize,
) -> Vec<Vec<ImageEntry>> {
    let mut shards: Vec<Shard> = Vec::new();
    for entry in entries {
        let bytes = entry.max_bytes();
        if bytes > max_bytes {
            continue;
        }
        let first_fit = shards
            .iter()
            .position(|shard| shard.used_bytes + bytes <= max_bytes);
        let index = match first_fit {
            Some(index) => index,
            None if shards.len() < max_shards => {
                shards.push(Shard::default());
                shards.len() - 1
            }
            None => continue,
        };
        shards[index].used_bytes += bytes;
        shards[index].entries.push(entry);
    }
    for shard in &mut shards {
        shard.entries.sort_by(|a, b| a.name.cmp(&b.name));
    }
    shards.into_iter().map(|shard| shard.entries).collect()
}

#[cfg(test)]
mod tests;

//! Index of which machines hold which images, which a leader stores for its successor.

use crate::{
    image::Image,
    image_locations::{ImageEntry, ImageLocations, MAX_BYTES_PER_NAME_BYTE, MachineNameFormat},
};
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, HashMap};

/// Bytes of a shard as JSON besides its entries and the prefix of machine names.
const SHARD_OVERHEAD_BYTES: usize = 80;

/// An image in the image cache of a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CachedImage<'a> {
    /// Name of the machine.
    pub machine: &'a str,
    /// Name of the image.
    pub image: &'a str,
    /// Size of the image, GB.
    pub gb: f64,
    /// Seconds that the machine would take to fetch the image.
    pub fetch_s: f64,
}

/// Which machines hold which images, as inferred by an earlier leader. It may be out of date:
/// a wrong entry costs only fetch time and violates no constraint.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ImageIndex {
    /// The images, by name of the machine.
    by_machine: BTreeMap<String, Vec<Image>>,
}

impl ImageIndex {
    /// Builds the shards to store for the `cached` images: at most `max_shards`, each of at
    /// most `max_bytes` bytes as JSON.
    ///
    /// - Only machines whose names have the most common format are included.
    /// - A machine's images that it fetches in less than `min_fetch_s` seconds are left out.
    /// - Images are added in the order of the fetch time that they save for each byte of their
    ///   entry, the most first. Those that no longer fit are left out.
    #[must_use]
    pub fn build_shards(
        cached: &[CachedImage],
        min_fetch_s: f64,
        max_bytes: usize,
        max_shards: usize,
    ) -> Vec<ImageLocations> {
        let Some(name_format) = most_common_name_format(cached) else {
            return Vec::new();
        };
        let slow_to_fetch = cached.iter().filter(|image| image.fetch_s >= min_fetch_s);
        let machines_by_image = group_by_image(slow_to_fetch, &name_format);
        let entries = encode_entries(machines_by_image);
        let prefix_bytes = name_format.prefix.len() * MAX_BYTES_PER_NAME_BYTE;
        let max_entry_bytes = max_bytes.saturating_sub(SHARD_OVERHEAD_BYTES + prefix_bytes);
        pack_entries(entries, max_entry_bytes, max_shards)
            .into_iter()
            .map(|images| ImageLocations {
                name_format: name_format.clone(),
                images,
            })
            .collect()
    }

    /// Adds a shard that an earlier leader stored. Returns the number of images that were
    /// skipped because their entries are corrupt.
    pub fn restore(&mut self, shard: &ImageLocations) -> usize {
        let mut corrupt_entries = 0;
        for entry in &shard.images {
            let Some(machines) = entry.decode_machines(&shard.name_format) else {
                corrupt_entries += 1;
                continue;
            };
            for number in &machines {
                let machine = shard.name_format.name_of(number);
                let images = self.by_machine.entry(machine).or_default();
                if !images.iter().any(|image| image.name == entry.name) {
                    images.push(Image {
                        name: entry.name.clone(),
                        gb: entry.gb,
                    });
                }
            }
        }
        corrupt_entries
    }

    /// Removes and returns the images of a machine. Called when the machine registers.
    pub fn take_images_of(&mut self, machine: &str) -> Vec<Image> {
        self.by_machine.remove(machine).unwrap_or_default()
    }

    /// Number of machines with images in the index.
    #[must_use]
    pub fn machine_count(&self) -> usize {
        self.by_machine.len()
    }
}

/// The parts of a machine's name.
struct MachineName<'a> {
    prefix: &'a str,
    /// Number of digits, including leading zeros.
    digits: usize,
    number: u32,
}

impl<'a> MachineName<'a> {
    /// Splits a name; `None` if it does not end in a number, or in one that is too large.
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

/// The most common format of the machines' names, where each machine counts once for each
/// cached image. Of equally common formats, the first in the order of prefix and digits is
/// taken. `None` if no name ends in a number.
fn most_common_name_format(cached: &[CachedImage]) -> Option<MachineNameFormat> {
    let mut counts: HashMap<(&str, usize), usize> = HashMap::new();
    for name in cached
        .iter()
        .filter_map(|image| MachineName::parse(image.machine))
    {
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
    /// Sum of the seconds that each of the machines would take to fetch the image.
    fetch_s: f64,
    /// Numbers of the machines.
    numbers: RoaringBitmap,
}

/// Groups the machines whose names have the format `name_format` by the name of the image.
fn group_by_image<'a>(
    cached: impl Iterator<Item = &'a CachedImage<'a>>,
    name_format: &MachineNameFormat,
) -> BTreeMap<&'a str, ImageMachines> {
    let mut machines_by_image: BTreeMap<&str, ImageMachines> = BTreeMap::new();
    for image in cached {
        let Some(name) = MachineName::parse(image.machine) else {
            continue;
        };
        if name.prefix == name_format.prefix && name.digits == name_format.digits {
            let machines = machines_by_image.entry(image.image).or_default();
            machines.gb = image.gb;
            machines.fetch_s += image.fetch_s;
            machines.numbers.insert(name.number);
        }
    }
    machines_by_image
}

/// Encodes entries, sorted by the fetch time that they save for each byte, the most first.
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

/// A shard that is being filled.
#[derive(Default)]
struct Shard {
    /// Upper bound of the size of the entries as JSON, bytes.
    used_bytes: usize,
    entries: Vec<ImageEntry>,
}

/// Packs entries into shards of at most `max_bytes` bytes: each entry into the first shard
/// that it fits in. Entries that fit in no shard are left out. Each shard is sorted by name,
/// so that shards with the same contents are equal records, whatever the order of packing.
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

//! Which machines hold which images, as a leader leaves it to its successor.

use data_encoding::BASE64_NOPAD;
use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use tallygauge_records::{Durability, Record};

/// An image on a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CachedImage<'a> {
    /// The machine.
    pub machine: &'a str,
    /// The image.
    pub image: &'a str,
    /// Its size, GB.
    pub gb: f64,
    /// Seconds that its fetch would take there.
    pub fetch_s: f64,
}

/// One part of an atlas: images with the numbers of the machines that hold them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ImageLocations {
    /// What machines' names begin with, before their numbers, and how many
    /// digits those have.
    #[serde(rename = "n")]
    names: (String, usize),
    /// Name, size in GB, machines: a bitmap in base 64.
    #[serde(rename = "i")]
    images: Vec<(String, f64, String)>,
}

impl Record for ImageLocations {
    const NAME: &'static str = "images";
    const VERSION: u32 = 1;
    const DURABILITY: Durability = Durability::WriteBehind;
}

/// Bytes around an image's entry, at most.
const ENTRY_BYTES: usize = 40;

/// Bytes around a part.
const PART_BYTES: usize = 80;

/// Which machines hold which images: a belief, not a fact.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ImageIndex {
    by_machine: BTreeMap<String, Vec<(String, f64)>>,
}

/// A machine's name as what it begins with and its number.
fn split_machine_name(name: &str) -> Option<(&str, usize, u32)> {
    let digits = name.bytes().rev().take_while(u8::is_ascii_digit).count();
    let (prefix, number) = name.split_at(name.len() - digits);
    Some((prefix, digits, number.parse().ok()?))
}

impl ImageIndex {
    /// Parts of at most so many bytes each, as many as there may be, for what is
    /// held now: of machines with the most usual names, images first whose fetch
    /// costs most for each byte that it takes to remember; none whose fetch takes
    /// less than `least_s`.
    #[must_use]
    pub fn shards(
        holdings: &[CachedImage],
        least_s: f64,
        bytes: usize,
        most: usize,
    ) -> Vec<ImageLocations> {
        let mut shapes: HashMap<(&str, usize), usize> = HashMap::new();
        for holding in holdings {
            if let Some((prefix, digits, _)) = split_machine_name(holding.machine) {
                *shapes.entry((prefix, digits)).or_default() += 1;
            }
        }
        let usual = shapes
            .into_iter()
            .max_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)));
        let Some(((prefix, digits), _)) = usual else {
            return Vec::new();
        };
        let mut images: BTreeMap<&str, (f64, f64, RoaringBitmap)> = BTreeMap::new();
        for holding in holdings.iter().filter(|h| h.fetch_s >= least_s) {
            let Some((p, d, number)) = split_machine_name(holding.machine) else {
                continue;
            };
            if (p, d) == (prefix, digits) {
                let image = images.entry(holding.image).or_default();
                image.0 = holding.gb;
                image.1 += holding.fetch_s;
                image.2.insert(number);
            }
        }
        let mut entries: Vec<(f64, (String, f64, String))> = images
            .into_iter()
            .filter_map(|(name, (gb, worth, mut machines))| {
                machines.optimize();
                let mut raw = Vec::with_capacity(machines.serialized_size());
                machines.serialize_into(&mut raw).ok()?;
                let entry = (name.to_string(), gb, BASE64_NOPAD.encode(&raw));
                Some((worth / entry_bytes(&entry) as f64, entry))
            })
            .collect();
        entries.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.0.cmp(&b.1.0)));
        let names = (prefix.to_string(), digits);
        let room = bytes.saturating_sub(PART_BYTES + prefix.len() * 6);
        let mut parts: Vec<(usize, ImageLocations)> = Vec::new();
        for (_, entry) in entries {
            let need = entry_bytes(&entry);
            if need > room {
                continue;
            }
            let open = parts.iter().position(|(used, _)| used + need <= room);
            let at = match open {
                Some(at) => at,
                None if parts.len() < most => {
                    let names = names.clone();
                    let images = Vec::new();
                    parts.push((0, ImageLocations { names, images }));
                    parts.len() - 1
                }
                None => continue,
            };
            parts[at].0 += need;
            parts[at].1.images.push(entry);
        }
        // Equal beliefs are equal records, whatever they were worth.
        for (_, part) in &mut parts {
            part.images.sort_by(|a, b| a.0.cmp(&b.0));
        }
        parts.into_iter().map(|p| p.1).collect()
    }

    /// Takes up a part that an earlier leader left. What can't be read of it is
    /// left out; returns how many images that were.
    pub fn restore(&mut self, part: &ImageLocations) -> usize {
        let (prefix, digits) = &part.names;
        let mut torn = 0;
        for (image, gb, machines) in &part.images {
            let raw = BASE64_NOPAD.decode(machines.as_bytes()).ok();
            let machines = raw.and_then(|raw| RoaringBitmap::deserialize_from(&raw[..]).ok());
            let Some(machines) = machines.filter(|_| gb.is_finite() && *gb >= 0.0 && *digits < 20)
            else {
                torn += 1;
                continue;
            };
            for number in &machines {
                let name = format!("{prefix}{number:0digits$}", digits = *digits);
                let images = self.by_machine.entry(name).or_default();
                if !images.iter().any(|i| i.0 == *image) {
                    images.push((image.clone(), *gb));
                }
            }
        }
        torn
    }

    /// What a machine is believed to hold; it is not asked for again.
    pub fn take_images_of(&mut self, machine: &str) -> Vec<(String, f64)> {
        self.by_machine.remove(machine).unwrap_or_default()
    }

    /// Machines of which something is believed.
    #[must_use]
    pub fn machine_count(&self) -> usize {
        self.by_machine.len()
    }
}

fn entry_bytes(entry: &(String, f64, String)) -> usize {
    entry.0.len() * 6 + entry.2.len() + ENTRY_BYTES
}

#[cfg(test)]
mod tests;

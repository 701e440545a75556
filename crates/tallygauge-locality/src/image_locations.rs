//! Stored form of image locations: which machines hold which images.
//!
//! The names and the tuples of the JSON are those of records in the key-value store;
//! they are mapped here, once, by serde.

use data_encoding::BASE64_NOPAD;
use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize, Serializer};
use tallygauge_records::{Durability, Record};

/// Bytes that one byte of a name takes in JSON at the most, as an escape.
pub(crate) const MAX_BYTES_PER_NAME_BYTE: usize = 6;

/// Bytes around an image's name and machines at the most.
const ENTRY_OVERHEAD_BYTES: usize = 40;

/// Digits of a machine's number from which on a record is not valid.
const MAX_DIGITS: usize = 20;

/// One shard of the image locations that a leader stores for the next one: images with
/// the numbers of the machines that hold them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ImageLocations {
    /// How the machines' names follow from their numbers.
    #[serde(rename = "n")]
    pub(crate) names: MachineNameFormat,
    /// The images, in the order of their names.
    #[serde(rename = "i")]
    pub(crate) images: Vec<ImageEntry>,
}

impl Record for ImageLocations {
    const NAME: &'static str = "images";
    const VERSION: u32 = 1;
    const DURABILITY: Durability = Durability::WriteBehind;
}

/// Form of machines' names: a prefix, then a number with leading zeros. Stored as the
/// pair (prefix, digits).
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(from = "(String, usize)")]
pub(crate) struct MachineNameFormat {
    pub(crate) prefix: String,
    /// Digits of the number.
    pub(crate) digits: usize,
}

impl MachineNameFormat {
    /// Name of the machine with this number.
    pub(crate) fn name_of(&self, number: u32) -> String {
        format!("{}{number:0digits$}", self.prefix, digits = self.digits)
    }
}

impl From<(String, usize)> for MachineNameFormat {
    fn from((prefix, digits): (String, usize)) -> Self {
        Self { prefix, digits }
    }
}

impl Serialize for MachineNameFormat {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.prefix, self.digits).serialize(serializer)
    }
}

/// An image with the machines that hold it. Stored as the tuple (name, size, machines).
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(from = "(String, f64, String)")]
pub(crate) struct ImageEntry {
    pub(crate) name: String,
    /// Size of the image, GB.
    pub(crate) gb: f64,
    /// Numbers of the machines: a roaring bitmap in base 64.
    pub(crate) machines: String,
}

impl ImageEntry {
    /// An entry with its machines encoded; `None` if that fails.
    pub(crate) fn encode(name: &str, gb: f64, mut machines: RoaringBitmap) -> Option<Self> {
        machines.optimize();
        let mut bytes = Vec::with_capacity(machines.serialized_size());
        machines.serialize_into(&mut bytes).ok()?;
        Some(Self {
            name: name.to_string(),
            gb,
            machines: BASE64_NOPAD.encode(&bytes),
        })
    }

    /// The machines' numbers; `None` if the entry is corrupt.
    pub(crate) fn decode_machines(&self, names: &MachineNameFormat) -> Option<RoaringBitmap> {
        if !self.gb.is_finite() || self.gb < 0.0 || names.digits >= MAX_DIGITS {
            return None;
        }
        let bytes = BASE64_NOPAD.decode(self.machines.as_bytes()).ok()?;
        RoaringBitmap::deserialize_from(&bytes[..]).ok()
    }

    /// Bytes that it takes as JSON at the most.
    pub(crate) fn max_bytes(&self) -> usize {
        self.name.len() * MAX_BYTES_PER_NAME_BYTE + self.machines.len() + ENTRY_OVERHEAD_BYTES
    }
}

impl From<(String, f64, String)> for ImageEntry {
    fn from((name, gb, machines): (String, f64, String)) -> Self {
        Self { name, gb, machines }
    }
}

impl Serialize for ImageEntry {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.name, self.gb, &self.machines).serialize(serializer)
    }
}

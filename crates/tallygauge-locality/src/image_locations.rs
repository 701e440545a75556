//! Stored form of image locations: which machines hold which images.
//!
//! The field names and tuples in JSON are those of the records in the key-value store.
//! Only this module maps them to Rust types, through serde.

use data_encoding::BASE64_NOPAD;
use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize, Serializer};
use tallygauge_records::{Durability, Record};

/// Maximum number of bytes in JSON for one byte of a name, which may be escaped.
pub(crate) const MAX_BYTES_PER_NAME_BYTE: usize = 6;

/// Maximum number of bytes in JSON of an entry besides the image's name and machines.
const ENTRY_OVERHEAD_BYTES: usize = 40;

/// A record counts as corrupt if a machine number in it has at least this many digits.
const MIN_INVALID_DIGITS: usize = 20;

/// One shard of the image locations that a leader stores for its successor: images with the
/// numbers of the machines that hold them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ImageLocations {
    /// Format from which the machines' names are built from their numbers.
    #[serde(rename = "n")]
    pub(crate) name_format: MachineNameFormat,
    /// The images, sorted by name.
    #[serde(rename = "i")]
    pub(crate) images: Vec<ImageEntry>,
}

impl Record for ImageLocations {
    const NAME: &'static str = "images";
    const VERSION: u32 = 1;
    const DURABILITY: Durability = Durability::WriteBehind;
}

/// Format of machine names: a prefix, then a number with leading zeros. Stored as the pair
/// (prefix, digits).
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(from = "(String, usize)")]
pub(crate) struct MachineNameFormat {
    pub(crate) prefix: String,
    /// Number of digits, including leading zeros.
    pub(crate) digits: usize,
}

impl MachineNameFormat {
    /// Name of the machine with a number.
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
    /// Numbers of the machines: a serialized roaring bitmap in Base64.
    pub(crate) machines: String,
}

impl ImageEntry {
    /// Builds an entry, encoding its machines; `None` if encoding fails.
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

    /// Decodes the machines' numbers; `None` if the entry or the name format is corrupt.
    pub(crate) fn decode_machines(&self, name_format: &MachineNameFormat) -> Option<RoaringBitmap> {
        if !self.gb.is_finite() || self.gb < 0.0 || name_format.digits >= MIN_INVALID_DIGITS {
            return None;
        }
        let bytes = BASE64_NOPAD.decode(self.machines.as_bytes()).ok()?;
        RoaringBitmap::deserialize_from(&bytes[..]).ok()
    }

    /// Upper bound of its size as JSON in bytes.
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

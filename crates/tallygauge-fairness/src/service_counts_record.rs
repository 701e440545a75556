//! Stored form of the service counts.
//!
//! The field names and tuples in JSON are those of the records in the key-value store.
//! Only this module maps them to Rust types, through serde.

use crate::{
    size_histogram::SizeHistogram,
    sliding_window::{BUCKETS_PER_WINDOW, SlidingWindow},
};
use serde::{Deserialize, Serialize, Serializer};
use tallygauge_records::{Durability, Record};

/// Version of the record's format.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// Maximum number of bytes in JSON for one byte of a name, which may be escaped.
const MAX_BYTES_PER_NAME_BYTE: usize = 6;

/// Maximum number of bytes of a group's totals in JSON, with the punctuation of the entry.
const MAX_TOTALS_BYTES: usize = 64;

/// Maximum number of bytes of a window in JSON: two numbers with brackets for each bucket.
const MAX_WINDOW_BYTES: usize = BUCKETS_PER_WINDOW * 26 + 2;

/// Maximum number of bytes in JSON of a class's entry besides its name and buckets.
const SIZES_OVERHEAD_BYTES: usize = 24;

/// Maximum number of bytes of a histogram bucket in JSON.
const MAX_SIZE_BUCKET_BYTES: usize = 18;

/// Service counts that a leader stores for its successor, of bounded size. If the record
/// is lost, counting starts from zero.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCountsRecord {
    /// Version of the record's format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Counts of classes.
    #[serde(rename = "c")]
    pub(crate) classes: Vec<GroupRecord>,
    /// Counts of teams.
    #[serde(rename = "t")]
    pub(crate) teams: Vec<GroupRecord>,
    /// Counts of the largest jobs of classes. Releases that do not know this field ignore
    /// it.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) largest: Vec<GroupRecord>,
    /// Sizes of the ended jobs of classes.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) sizes: Vec<ClassSizesRecord>,
}

impl Record for ServiceCountsRecord {
    const NAME: &'static str = "floor";
    const VERSION: u32 = FORMAT_VERSION;
    const DURABILITY: Durability = Durability::WriteBehind;
}

/// Counts of a group. Stored as the tuple (name, totals, done in a day, done recently).
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "(String, GroupTotals, SlidingWindow, SlidingWindow)")]
pub(crate) struct GroupRecord {
    /// Name of the class or team.
    pub(crate) name: String,
    pub(crate) totals: GroupTotals,
    /// Jobs done in the longer window.
    pub(crate) done_in_day: SlidingWindow,
    /// Jobs done in the shorter window.
    pub(crate) done_recently: SlidingWindow,
}

impl GroupRecord {
    /// Upper bound of its size as JSON in bytes, for numbers of up to ten digits.
    pub(crate) fn max_bytes(&self) -> usize {
        self.name.len() * MAX_BYTES_PER_NAME_BYTE + MAX_TOTALS_BYTES + 2 * MAX_WINDOW_BYTES
    }
}

impl From<(String, GroupTotals, SlidingWindow, SlidingWindow)> for GroupRecord {
    fn from(
        (name, totals, done_in_day, done_recently): (
            String,
            GroupTotals,
            SlidingWindow,
            SlidingWindow,
        ),
    ) -> Self {
        Self {
            name,
            totals,
            done_in_day,
            done_recently,
        }
    }
}

impl Serialize for GroupRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let fields = (
            &self.name,
            self.totals,
            &self.done_in_day,
            &self.done_recently,
        );
        fields.serialize(serializer)
    }
}

/// Numbers of the ended jobs of a group. Stored as an array in the order of the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 4]", into = "[u64; 4]")]
pub(crate) struct GroupTotals {
    pub(crate) done: u64,
    pub(crate) late: u64,
    pub(crate) cancelled: u64,
    pub(crate) cancelled_after_start: u64,
}

impl From<[u64; 4]> for GroupTotals {
    fn from([done, late, cancelled, cancelled_after_start]: [u64; 4]) -> Self {
        Self {
            done,
            late,
            cancelled,
            cancelled_after_start,
        }
    }
}

impl From<GroupTotals> for [u64; 4] {
    fn from(totals: GroupTotals) -> Self {
        [
            totals.done,
            totals.late,
            totals.cancelled,
            totals.cancelled_after_start,
        ]
    }
}

/// Sizes of the ended jobs of a class. Stored as the pair (class, sizes).
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "(String, SizeHistogram)")]
pub(crate) struct ClassSizesRecord {
    /// Name of the class.
    pub(crate) class: String,
    pub(crate) sizes: SizeHistogram,
}

impl ClassSizesRecord {
    /// Upper bound of its size as JSON in bytes.
    pub(crate) fn max_bytes(&self) -> usize {
        self.class.len() * MAX_BYTES_PER_NAME_BYTE
            + SIZES_OVERHEAD_BYTES
            + self.sizes.bucket_count() * MAX_SIZE_BUCKET_BYTES
    }
}

impl From<(String, SizeHistogram)> for ClassSizesRecord {
    fn from((class, sizes): (String, SizeHistogram)) -> Self {
        Self { class, sizes }
    }
}

impl Serialize for ClassSizesRecord {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.class, &self.sizes).serialize(serializer)
    }
}

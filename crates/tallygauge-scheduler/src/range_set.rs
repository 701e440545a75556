//! Sets of task numbers as ranges: compact for jobs with many tasks, of which most
//! consecutive ones are in the same state.

use serde::{Deserialize, Serialize};

/// A set of numbers as sorted, disjoint, inclusive ranges.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RangeSet(Vec<(u32, u32)>);

impl RangeSet {
    /// The numbers from 0 up to, not including, `count`.
    #[must_use]
    pub fn first(count: u32) -> Self {
        if count == 0 {
            Self::default()
        } else {
            Self(vec![(0, count - 1)])
        }
    }

    /// Adds a number. Returns `false` if it was there.
    pub fn insert(&mut self, n: u32) -> bool {
        let position = self.0.partition_point(|r| r.1 < n);
        if self.0.get(position).is_some_and(|r| r.0 <= n) {
            return false;
        }
        let joins_left = position > 0 && self.0[position - 1].1 + 1 == n;
        let joins_right = self.0.get(position).is_some_and(|r| r.0 == n + 1);
        match (joins_left, joins_right) {
            (true, true) => {
                self.0[position - 1].1 = self.0[position].1;
                self.0.remove(position);
            }
            (true, false) => self.0[position - 1].1 = n,
            (false, true) => self.0[position].0 = n,
            (false, false) => self.0.insert(position, (n, n)),
        }
        true
    }

    /// Removes a number. Returns `false` if it was not there.
    pub fn remove(&mut self, n: u32) -> bool {
        let position = self.0.partition_point(|r| r.1 < n);
        let Some(&(low, high)) = self.0.get(position).filter(|r| r.0 <= n) else {
            return false;
        };
        match (low == n, high == n) {
            (true, true) => {
                self.0.remove(position);
            }
            (true, false) => self.0[position].0 = n + 1,
            (false, true) => self.0[position].1 = n - 1,
            (false, false) => {
                self.0[position].1 = n - 1;
                self.0.insert(position + 1, (n + 1, high));
            }
        }
        true
    }

    /// Whether a number is in the set.
    #[must_use]
    pub fn contains(&self, n: u32) -> bool {
        let position = self.0.partition_point(|r| r.1 < n);
        self.0.get(position).is_some_and(|r| r.0 <= n)
    }

    /// The number at position `n` in ascending order, from 0.
    #[must_use]
    pub fn nth(&self, mut n: u32) -> Option<u32> {
        for &(low, high) in &self.0 {
            if n <= high - low {
                return Some(low + n);
            }
            n -= high - low + 1;
        }
        None
    }

    /// Number of elements.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.0.iter().map(|r| r.1 - r.0 + 1).sum()
    }

    /// Whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Upper bound of the bytes that the set takes as JSON.
    #[must_use]
    pub fn max_encoded_len(&self) -> usize {
        let digits = |n: u32| n.checked_ilog10().unwrap_or(0) as usize + 1;
        let one = |r: &(u32, u32)| digits(r.0) + digits(r.1) + 4;
        2 + self.0.iter().map(one).sum::<usize>()
    }

    /// All numbers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(low, high)| low..=high)
    }

    /// The numbers from `low` up to, not including, `end`.
    #[must_use]
    pub fn within(&self, low: u32, end: u32) -> Self {
        Self(
            self.0
                .iter()
                .filter(|r| r.1 >= low && r.0 < end)
                .map(|r| (r.0.max(low), r.1.min(end - 1)))
                .collect(),
        )
    }

    /// Adds the numbers of another set that are below `end`.
    pub fn insert_all_below(&mut self, other: &Self, end: u32) {
        for n in other.iter().take_while(|n| *n < end) {
            self.insert(n);
        }
    }
}

#[cfg(test)]
mod tests;

//! Sets of task numbers, kept as ranges.

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

    /// Adds a number; `false` when it was there.
    pub fn insert(&mut self, n: u32) -> bool {
        let at = self.0.partition_point(|r| r.1 < n);
        if self.0.get(at).is_some_and(|r| r.0 <= n) {
            return false;
        }
        let joins_left = at > 0 && self.0[at - 1].1 + 1 == n;
        let joins_right = self.0.get(at).is_some_and(|r| r.0 == n + 1);
        match (joins_left, joins_right) {
            (true, true) => {
                self.0[at - 1].1 = self.0[at].1;
                self.0.remove(at);
            }
            (true, false) => self.0[at - 1].1 = n,
            (false, true) => self.0[at].0 = n,
            (false, false) => self.0.insert(at, (n, n)),
        }
        true
    }

    /// Removes a number; `false` when it was not there.
    pub fn remove(&mut self, n: u32) -> bool {
        let at = self.0.partition_point(|r| r.1 < n);
        let Some(&(low, high)) = self.0.get(at).filter(|r| r.0 <= n) else {
            return false;
        };
        match (low == n, high == n) {
            (true, true) => {
                self.0.remove(at);
            }
            (true, false) => self.0[at].0 = n + 1,
            (false, true) => self.0[at].1 = n - 1,
            (false, false) => {
                self.0[at].1 = n - 1;
                self.0.insert(at + 1, (n + 1, high));
            }
        }
        true
    }

    /// Whether a number is there.
    #[must_use]
    pub fn contains(&self, n: u32) -> bool {
        let at = self.0.partition_point(|r| r.1 < n);
        self.0.get(at).is_some_and(|r| r.0 <= n)
    }

    /// The number that has `n` lesser ones before it.
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

    /// How many numbers there are.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.0.iter().map(|r| r.1 - r.0 + 1).sum()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Bytes that the set takes as text, at most.
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        let digits = |n: u32| n.checked_ilog10().unwrap_or(0) as usize + 1;
        let one = |r: &(u32, u32)| digits(r.0) + digits(r.1) + 4;
        2 + self.0.iter().map(one).sum::<usize>()
    }

    /// All numbers, in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(low, high)| low..=high)
    }

    /// The part that lies from `low` up to, not including, `end`.
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

    /// Adds all numbers of another set, leaving out those not below `end`.
    pub fn extend(&mut self, other: &Self, end: u32) {
        for n in other.iter().take_while(|n| *n < end) {
            self.insert(n);
        }
    }
}

#[cfg(test)]
mod tests;

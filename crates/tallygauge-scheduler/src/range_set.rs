//! Sets of task numbers, stored as ranges. They are compact even for jobs with many tasks,
//! since most tasks with consecutive numbers are in the same state.

use serde::{Deserialize, Serialize};

/// A set of numbers, stored as sorted and disjoint ranges that include both ends.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RangeSet(Vec<(u32, u32)>);

impl RangeSet {
    /// The set of the first `count` numbers: from 0 to `count - 1`.
    #[must_use]
    pub fn first(count: u32) -> Self {
        if count == 0 {
            Self::default()
        } else {
            Self(vec![(0, count - 1)])
        }
    }

    /// Adds a number. Returns `false` if it was in the set already.
    pub fn insert(&mut self, number: u32) -> bool {
        let position = self.0.partition_point(|range| range.1 < number);
        if self.0.get(position).is_some_and(|range| range.0 <= number) {
            return false;
        }
        let extends_left_range = position > 0 && self.0[position - 1].1 + 1 == number;
        let extends_right_range = self
            .0
            .get(position)
            .is_some_and(|range| range.0 == number + 1);
        match (extends_left_range, extends_right_range) {
            (true, true) => {
                self.0[position - 1].1 = self.0[position].1;
                self.0.remove(position);
            }
            (true, false) => self.0[position - 1].1 = number,
            (false, true) => self.0[position].0 = number,
            (false, false) => self.0.insert(position, (number, number)),
        }
        true
    }

    /// Removes a number. Returns `false` if it was not in the set.
    pub fn remove(&mut self, number: u32) -> bool {
        let position = self.0.partition_point(|range| range.1 < number);
        let Some(&(first, last)) = self.0.get(position).filter(|range| range.0 <= number) else {
            return false;
        };
        match (first == number, last == number) {
            (true, true) => {
                self.0.remove(position);
            }
            (true, false) => self.0[position].0 = number + 1,
            (false, true) => self.0[position].1 = number - 1,
            (false, false) => {
                self.0[position].1 = number - 1;
                self.0.insert(position + 1, (number + 1, last));
            }
        }
        true
    }

    /// Whether a number is in the set.
    #[must_use]
    pub fn contains(&self, number: u32) -> bool {
        let position = self.0.partition_point(|range| range.1 < number);
        self.0.get(position).is_some_and(|range| range.0 <= number)
    }

    /// The number at `position` in ascending order, counted from 0; `None` if the set has no
    /// more than `position` numbers.
    #[must_use]
    pub fn nth(&self, mut position: u32) -> Option<u32> {
        for &(first, last) in &self.0 {
            if position <= last - first {
                return Some(first + position);
            }
            position -= last - first + 1;
        }
        None
    }

    /// Number of elements of the set.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.0.iter().map(|range| range.1 - range.0 + 1).sum()
    }

    /// Whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Upper bound of the bytes that the set takes as JSON. Each range is counted as two
    /// numbers in brackets and two commas.
    #[must_use]
    pub fn max_encoded_len(&self) -> usize {
        let digits = |number: u32| number.checked_ilog10().unwrap_or(0) as usize + 1;
        let range_len = |range: &(u32, u32)| digits(range.0) + digits(range.1) + 4;
        2 + self.0.iter().map(range_len).sum::<usize>()
    }

    /// All numbers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(first, last)| first..=last)
    }

    /// The subset of the numbers from `start` up to, not including, `end`.
    #[must_use]
    pub fn within(&self, start: u32, end: u32) -> Self {
        Self(
            self.0
                .iter()
                .filter(|range| range.1 >= start && range.0 < end)
                .map(|range| (range.0.max(start), range.1.min(end - 1)))
                .collect(),
        )
    }

    /// Adds the numbers of another set that are below `end`.
    pub fn insert_all_below(&mut self, other: &Self, end: u32) {
        for number in other.iter().take_while(|number| *number < end) {
            self.insert(number);
        }
    }
}

#[cfg(test)]
mod tests;

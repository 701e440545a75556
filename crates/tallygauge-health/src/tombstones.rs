//! Machines that are gone.

use std::collections::BTreeMap;

/// Names of machines that are gone, and when they went, for as long as late
/// words of them may come. Bounded: the oldest names go first, as names are in
/// the order of creation.
#[derive(Debug, Clone)]
pub struct Tombstones {
    names: BTreeMap<String, f64>,
    most: usize,
    memory_s: f64,
}

impl Tombstones {
    /// Remembers at most so many, for so many seconds.
    #[must_use]
    pub fn new(most: usize, memory_s: f64) -> Self {
        Self {
            names: BTreeMap::new(),
            most,
            memory_s,
        }
    }

    /// A machine is gone.
    pub fn record_departure(&mut self, name: &str, now: f64) {
        self.names.insert(name.to_string(), now);
        while self.names.len() > self.most {
            self.names.pop_first();
        }
    }

    /// Forgets those that went long ago.
    pub fn expire(&mut self, now: f64) {
        let memory_s = self.memory_s;
        self.names.retain(|_, at| now - *at <= memory_s);
    }

    /// Whether a machine is gone, as far as is remembered.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains_key(name)
    }

    /// A list that shows all that there was at `sure`, and nothing gone by then,
    /// shows the machine. Whether that is out of date: it went after that. One
    /// that went before is there after all.
    pub fn is_newer_than(&mut self, name: &str, sure: f64) -> bool {
        match self.names.get(name) {
            Some(at) if *at > sure => true,
            Some(_) => {
                self.names.remove(name);
                false
            }
            None => false,
        }
    }
}

#[cfg(test)]
mod tests;

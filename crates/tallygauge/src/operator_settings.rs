//! The operators' own settings (XML): the open values of the design.

use crate::deadline_settings::{CutoffSettings, RankSettings};
use serde::Deserialize;
use std::path::Path;

/// What operators may set; everything has a default.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Longest time between two rounds, seconds; events bring them earlier.
    pub round_interval: f64,
    /// Least time between two rounds, as a part of the report interval.
    #[serde(rename = "round-gap")]
    pub min_round_interval: f64,
    /// Floor of the remaining time, seconds.
    #[serde(rename = "remaining-floor")]
    pub min_remaining: f64,
    /// Worth of each priority.
    #[serde(rename = "worth")]
    pub utility: UtilitySettings,
    /// Part of its worth that a job keeps after its deadline.
    #[serde(rename = "late-worth")]
    pub late_utility: f64,
    /// Idle time before a machine is returned, in boot times of its type.
    pub idle_wait: f64,
    /// Boot times that waiting work is spread over when machines are rented.
    pub rent_horizon: f64,
    /// The floor under what each class and each team gets.
    #[serde(rename = "floor")]
    pub minimum_share: MinimumShareSettings,
    /// Where models' weights and other images lie, and where replicas go.
    #[serde(rename = "weights")]
    pub locality: LocalitySettings,
    /// Cutoffs.
    #[serde(rename = "calendar")]
    pub cutoffs: CutoffSettings,
    /// Ranks among what is equally urgent.
    #[serde(rename = "ledger")]
    pub ranks: RankSettings,
}

/// Where models' weights and other images lie, and where replicas go.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LocalitySettings {
    /// Seconds of fetch that a replica is worth which one failure would take
    /// along with others.
    pub replica_risk: f64,
    /// Seconds of fetch from which on it is remembered, beyond this leader's
    /// term, where an image lies.
    pub remember_from: f64,
}

impl Default for LocalitySettings {
    fn default() -> Self {
        Self {
            replica_risk: 60.0,
            remember_from: 1.0,
        }
    }
}

/// The floor under what each class of jobs and each team gets.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct MinimumShareSettings {
    /// Part of the jobs that are done or overdue which is to be done; 0: no
    /// floor.
    pub share: f64,
    /// Seconds after its acceptance by which every job has begun; 0: no bound.
    #[serde(rename = "begin-within")]
    pub start_within: f64,
}

impl Default for MinimumShareSettings {
    fn default() -> Self {
        Self {
            share: 0.65,
            start_within: 240.0,
        }
    }
}

/// Worth of each priority.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct UtilitySettings {
    /// Low.
    pub low: f64,
    /// Normal.
    pub normal: f64,
    /// High (`urgent` on the wire).
    pub high: f64,
    /// Production.
    pub production: f64,
}

impl Default for UtilitySettings {
    fn default() -> Self {
        Self {
            low: 1.0,
            normal: 2.0,
            high: 8.0,
            production: 16.0,
        }
    }
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            round_interval: 10.0,
            min_round_interval: 0.05,
            min_remaining: 5.0,
            utility: UtilitySettings::default(),
            late_utility: 0.1,
            idle_wait: 1.5,
            rent_horizon: 1.0,
            minimum_share: MinimumShareSettings::default(),
            locality: LocalitySettings::default(),
            cutoffs: CutoffSettings::default(),
            ranks: RankSettings::default(),
        }
    }
}

impl OperatorSettings {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// One line naming the element and what is wrong.
    pub fn load(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| format!("{}: can't be read: {e}", path.display()))?;
        Self::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Parses and checks.
    ///
    /// # Errors
    /// One line naming the element and what is wrong.
    pub fn parse(text: &str) -> Result<Self, String> {
        let tuning: Self =
            quick_xml::de::from_str(text).map_err(|e| e.to_string().replace('\n', " "))?;
        for (name, value) in [
            ("round-interval", tuning.round_interval),
            ("round-gap", tuning.min_round_interval),
            ("remaining-floor", tuning.min_remaining),
            ("worth/low", tuning.utility.low),
            ("worth/normal", tuning.utility.normal),
            ("worth/high", tuning.utility.high),
            ("worth/production", tuning.utility.production),
            ("idle-wait", tuning.idle_wait),
            ("rent-horizon", tuning.rent_horizon),
        ] {
            if !value.is_finite() || value <= 0.0 {
                return Err(format!("{name} must be above 0, not {value}"));
            }
        }
        if !(0.0..=1.0).contains(&tuning.late_utility) {
            return Err("late-worth must be 0 to 1".into());
        }
        let share = tuning.minimum_share.share;
        if !(0.0..=1.0).contains(&share) {
            return Err(format!("floor/share must be 0 to 1, not {share}"));
        }
        let within = tuning.minimum_share.start_within;
        if !within.is_finite() || within < 0.0 {
            return Err(format!(
                "floor/begin-within must be 0 or more, not {within}"
            ));
        }
        for (name, value) in [
            ("weights/replica-risk", tuning.locality.replica_risk),
            ("weights/remember-from", tuning.locality.remember_from),
        ] {
            if !value.is_finite() || value < 0.0 {
                return Err(format!("{name} must be 0 or more, not {value}"));
            }
        }
        tuning.cutoffs.rules()?;
        tuning.ranks.declared(&tuning.cutoffs)?;
        let w = &tuning.utility;
        if w.low > w.normal || w.normal > w.high || w.high > w.production {
            return Err("worth must not fall from low to production".into());
        }
        Ok(tuning)
    }
}

#[cfg(test)]
mod tests;

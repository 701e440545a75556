//! The operators' settings (XML): tuning values, cutoffs and ranks.
//!
//! The elements of the file have the operators' names. Serde attributes in this module
//! map them to this project's terms, and no other module uses the operators' names.
//! Unknown elements are rejected.

use crate::{
    deadline_settings::{CutoffSettings, RankSettings},
    settings_error::{SettingsError, SettingsFile, SettingsFileError, require_positive},
};
use serde::Deserialize;
use std::path::Path;

/// The operators' settings. Every element is optional and has a default.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Maximum time between two scheduling rounds, in seconds; events start a round
    /// earlier.
    #[serde(rename = "round-interval")]
    pub max_round_interval_s: f64,
    /// Minimum time between two scheduling rounds, as a fraction of the heartbeat
    /// interval.
    #[serde(rename = "round-gap")]
    pub min_round_interval_fraction: f64,
    /// Lower bound on the estimated remaining run time of a job, in seconds.
    #[serde(rename = "remaining-floor")]
    pub min_remaining_s: f64,
    /// Utility of a job by its priority.
    #[serde(rename = "worth")]
    pub utility: UtilitySettings,
    /// Fraction of its utility that a job retains after its deadline, 0 to 1.
    #[serde(rename = "late-worth")]
    pub late_utility_factor: f64,
    /// Idle time after which a machine is returned to the cloud, in multiples of the
    /// boot time of its type.
    #[serde(rename = "idle-wait")]
    pub idle_timeout_boot_times: f64,
    /// Time over which scale-out spreads the pending work, in multiples of the boot time
    /// of the machine type.
    #[serde(rename = "rent-horizon")]
    pub rental_horizon_boot_times: f64,
    /// Minimum share of each class of jobs and of each team.
    #[serde(rename = "floor")]
    pub minimum_share: MinimumShareSettings,
    /// Trade-off between image locality and the spread of replicas.
    #[serde(rename = "weights")]
    pub locality: LocalitySettings,
    /// Cutoffs of batches of jobs.
    #[serde(rename = "calendar")]
    pub cutoffs: CutoffSettings,
    /// Ranks, which determine the order of equally urgent jobs.
    #[serde(rename = "ledger")]
    pub ranks: RankSettings,
}

/// Trade-off between image locality and the spread of replicas.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LocalitySettings {
    /// Additional image fetch time that is accepted for each replica which would
    /// otherwise be lost together with others in a single failure, in seconds.
    #[serde(rename = "replica-risk")]
    pub replica_risk_s: f64,
    /// Minimum fetch time of an image whose locations are stored for the next leader,
    /// in seconds.
    #[serde(rename = "remember-from")]
    pub min_recorded_fetch_s: f64,
}

impl Default for LocalitySettings {
    fn default() -> Self {
        Self {
            replica_risk_s: 60.0,
            min_recorded_fetch_s: 1.0,
        }
    }
}

/// Minimum share of each class of jobs and of each team.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct MinimumShareSettings {
    /// Minimum fraction that completed jobs make up of all completed or overdue jobs,
    /// 0 to 1; 0 disables the minimum share.
    pub share: f64,
    /// Time after its acceptance by which every job is to be started, in seconds; 0
    /// means no bound.
    #[serde(rename = "begin-within")]
    pub start_within_s: f64,
}

impl Default for MinimumShareSettings {
    fn default() -> Self {
        Self {
            share: 0.65,
            start_within_s: 240.0,
        }
    }
}

/// Utility of a job by its priority. It must not decrease from `low` to `production`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct UtilitySettings {
    /// Priority `low`.
    pub low: f64,
    /// Priority `normal`.
    pub normal: f64,
    /// Priority `high` (`urgent` in job submissions).
    pub high: f64,
    /// Priority `production`.
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
            max_round_interval_s: 10.0,
            min_round_interval_fraction: 0.05,
            min_remaining_s: 5.0,
            utility: UtilitySettings::default(),
            late_utility_factor: 0.1,
            idle_timeout_boot_times: 1.5,
            rental_horizon_boot_times: 1.0,
            minimum_share: MinimumShareSettings::default(),
            locality: LocalitySettings::default(),
            cutoffs: CutoffSettings::default(),
            ranks: RankSettings::default(),
        }
    }
}

impl OperatorSettings {
    /// Reads and validates the settings file.
    ///
    /// # Errors
    /// A [`SettingsFileError`], whose one-line text names the file, the element and the
    /// fault.
    pub fn load(path: &Path) -> Result<Self, SettingsFileError> {
        SettingsFile::Operator.load(path, Self::parse)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// A [`SettingsError`], whose one-line text names the element and the fault.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = quick_xml::de::from_str(text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Checks the rules that the types don't enforce; reports the first fault.
    fn validate(&self) -> Result<(), SettingsError> {
        self.validate_positive()?;
        self.validate_fractions()?;
        require_non_negative(&[
            ("floor/begin-within", self.minimum_share.start_within_s),
            ("weights/replica-risk", self.locality.replica_risk_s),
            ("weights/remember-from", self.locality.min_recorded_fetch_s),
        ])?;
        self.cutoffs.to_cutoff_rules()?;
        self.ranks.to_declared_rules(&self.cutoffs)?;
        self.utility.validate_order()
    }

    fn validate_positive(&self) -> Result<(), SettingsError> {
        require_positive(&[
            ("round-interval", self.max_round_interval_s),
            ("round-gap", self.min_round_interval_fraction),
            ("remaining-floor", self.min_remaining_s),
            ("worth/low", self.utility.low),
            ("worth/normal", self.utility.normal),
            ("worth/high", self.utility.high),
            ("worth/production", self.utility.production),
            ("idle-wait", self.idle_timeout_boot_times),
            ("rent-horizon", self.rental_horizon_boot_times),
        ])
    }

    fn validate_fractions(&self) -> Result<(), SettingsError> {
        if !(0.0..=1.0).contains(&self.late_utility_factor) {
            return Err(SettingsError::requirement("late-worth", "be from 0 to 1"));
        }
        let share = self.minimum_share.share;
        if !(0.0..=1.0).contains(&share) {
            return Err(SettingsError::invalid("floor/share", "from 0 to 1", share));
        }
        Ok(())
    }
}

impl UtilitySettings {
    fn validate_order(&self) -> Result<(), SettingsError> {
        let ascending = [self.low, self.normal, self.high, self.production];
        if ascending.is_sorted() {
            Ok(())
        } else {
            Err(SettingsError::requirement(
                "worth",
                "not decrease from low to production",
            ))
        }
    }
}

/// Rejects numbers that are negative or not finite.
fn require_non_negative(fields: &[(&'static str, f64)]) -> Result<(), SettingsError> {
    for (field, value) in fields {
        if !value.is_finite() || *value < 0.0 {
            return Err(SettingsError::invalid(field, "0 or more", value));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;

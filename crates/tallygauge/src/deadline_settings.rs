//! Cutoffs and ranks in the operators' settings (XML), and their conversion to the
//! scheduler's types.
//!
//! In the settings file, the element of the cutoffs is `calendar` and that of the ranks
//! is `ledger`. Serde attributes in this module map the names in the file and in the
//! stored record to this project's terms.

use crate::settings_error::SettingsError;
use jiff::{civil::Date, tz::TimeZone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use tallygauge_records::{Durability, Record};
use tallygauge_scheduler::{
    ClusterState, CutoffDays, CutoffRule, DeclaredRules, MAX_RANK, RankRule,
};

/// Requirement on the version of the cutoffs and on that of the ranks.
const VERSION_REQUIREMENT: &str = "have a version above 0 that is raised with every change";

/// Cutoffs as operators write them and as they are stored. They are stored so that the
/// highest version is in force under every leader while controllers have different
/// settings files.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct CutoffSettings {
    /// Version. It must be raised with every change, since the highest version is the
    /// one in force.
    #[serde(rename = "@version")]
    pub version: u64,
    /// Whether cutoffs that were inferred from the deadlines of jobs boost jobs as
    /// declared cutoffs do.
    #[serde(rename = "act-on-drawn")]
    pub act_on_inferred: bool,
    /// Dates that are not working days, such as `2026-12-25`.
    #[serde(rename = "holiday")]
    pub holidays: Vec<String>,
    /// The cutoffs.
    #[serde(rename = "cutoff")]
    pub cutoffs: Vec<CutoffEntry>,
}

impl Record for CutoffSettings {
    const NAME: &'static str = "cutoffs";
    const VERSION: u32 = 1;
    const DURABILITY: Durability = Durability::WriteAhead;
}

/// A cutoff as operators write it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutoffEntry {
    /// Name, unique among the cutoffs.
    #[serde(rename = "@name")]
    pub name: String,
    /// IANA time zone of the cutoff's times, such as `Asia/Seoul`.
    #[serde(rename = "@zone")]
    pub zone: String,
    /// Days that have a cutoff: `daily`, `weekdays` or `month-end`.
    #[serde(rename = "@days")]
    pub days: String,
    /// For `month-end`: number of working days by which the cutoff precedes the last
    /// working day of the month.
    #[serde(rename = "@before", default)]
    pub before: u8,
    /// Time of day at which the cutoff's window opens, such as `18:00`.
    #[serde(rename = "@opens")]
    pub opens: String,
    /// Number of days by which the opening of the window precedes the day of the cutoff.
    #[serde(rename = "@opens-before", default)]
    pub opens_before: u8,
    /// Time of day of the cutoff, such as `08:00`.
    #[serde(rename = "@at")]
    pub at: String,
    /// Classes of jobs that the cutoff applies to, separated by white space; empty means
    /// all.
    #[serde(rename = "@classes", default)]
    pub classes: String,
    /// Teams whose jobs the cutoff applies to, separated by white space; empty means all.
    #[serde(rename = "@teams", default)]
    pub teams: String,
}

/// Ranks as operators write them.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct RankSettings {
    /// Version. It must be raised with every change, since the highest version is the
    /// one in force.
    #[serde(rename = "@version")]
    pub version: u64,
    /// The ranks.
    #[serde(rename = "rank")]
    pub ranks: Vec<RankEntry>,
}

/// A rank as operators write it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankEntry {
    /// Class of jobs that the rank applies to; `None` means any.
    #[serde(rename = "@class", default)]
    pub class: Option<String>,
    /// Team whose jobs the rank applies to; `None` means any.
    #[serde(rename = "@team", default)]
    pub team: Option<String>,
    /// Name of the cutoff during whose window the rank applies; `None` means always.
    #[serde(rename = "@during", default)]
    pub during: Option<String>,
    /// The rank, 0 to 100; jobs of a higher rank come first.
    #[serde(rename = "@value")]
    pub value: u8,
}

impl CutoffSettings {
    /// Puts the cutoffs into force in the cluster state. They must be stored before.
    pub fn apply_to(&self, cluster: &mut ClusterState) {
        let rules = self.to_cutoff_rules().unwrap_or_default();
        cluster.set_cutoff_rules(rules, self.act_on_inferred);
    }

    /// Validates the cutoffs and converts them to the scheduler's form.
    ///
    /// # Errors
    /// A [`SettingsError`], whose one-line text names the element and what is expected.
    pub fn to_cutoff_rules(&self) -> Result<Vec<CutoffRule>, SettingsError> {
        let holidays = self.parse_holidays()?;
        if self.version == 0 && !self.cutoffs.is_empty() {
            return Err(SettingsError::requirement("calendar", VERSION_REQUIREMENT));
        }
        let mut names = BTreeSet::new();
        let mut rules = Vec::new();
        for entry in &self.cutoffs {
            rules.push(entry.to_cutoff_rule(&holidays)?);
            if !names.insert(&entry.name) {
                return Err(entry.invalid("name", "unique"));
            }
        }
        Ok(rules)
    }

    fn parse_holidays(&self) -> Result<BTreeSet<Date>, SettingsError> {
        let parse = |day: &String| {
            day.trim().parse().map_err(|_| {
                SettingsError::invalid(
                    "calendar/holiday",
                    "a date such as 2026-12-25",
                    format!("'{day}'"),
                )
            })
        };
        self.holidays.iter().map(parse).collect()
    }
}

impl CutoffEntry {
    fn to_cutoff_rule(&self, holidays: &BTreeSet<Date>) -> Result<CutoffRule, SettingsError> {
        let days = self.parse_days()?;
        let zone = TimeZone::get(&self.zone)
            .map_err(|_| self.invalid("zone", "an IANA time zone such as Asia/Seoul"))?;
        let at = self.at.parse();
        let opens = self.opens.parse();
        let rule = CutoffRule {
            name: self.name.clone(),
            zone,
            classes: split_words(&self.classes),
            teams: split_words(&self.teams),
            days,
            at: at.map_err(|_| self.invalid("at", "a time such as 08:00"))?,
            opens: opens.map_err(|_| self.invalid("opens", "a time such as 18:00"))?,
            opens_before: self.opens_before,
            holidays: holidays.clone(),
        };
        rule.validate()
            .map_err(|source| SettingsError::InvalidCutoffRule {
                cutoff: self.name.clone(),
                source,
            })?;
        Ok(rule)
    }

    fn parse_days(&self) -> Result<CutoffDays, SettingsError> {
        match self.days.as_str() {
            "daily" => Ok(CutoffDays::Daily),
            "weekdays" => Ok(CutoffDays::Weekdays),
            "month-end" => Ok(CutoffDays::MonthEnd {
                before: self.before,
            }),
            _ => Err(self.invalid("days", "daily, weekdays or month-end")),
        }
    }

    fn invalid(&self, attribute: &'static str, expected: &'static str) -> SettingsError {
        SettingsError::InvalidCutoff {
            cutoff: self.name.clone(),
            attribute,
            expected,
        }
    }
}

impl RankSettings {
    /// Validates the ranks against the cutoffs and converts them to the scheduler's form.
    ///
    /// # Errors
    /// A [`SettingsError`], whose one-line text names the element and what is expected.
    pub fn to_declared_rules(
        &self,
        cutoffs: &CutoffSettings,
    ) -> Result<DeclaredRules, SettingsError> {
        let rules: Vec<RankRule> = self
            .ranks
            .iter()
            .map(|entry| entry.to_rank_rule(cutoffs))
            .collect::<Result<_, _>>()?;
        if !rules.is_empty() && self.version == 0 {
            return Err(SettingsError::requirement("ledger", VERSION_REQUIREMENT));
        }
        Ok(DeclaredRules {
            version: self.version,
            rules,
        })
    }
}

impl RankEntry {
    fn to_rank_rule(&self, cutoffs: &CutoffSettings) -> Result<RankRule, SettingsError> {
        if self.value > MAX_RANK {
            return Err(SettingsError::invalid(
                "ledger/rank value",
                format!("from 0 to {MAX_RANK}"),
                self.value,
            ));
        }
        if let Some(cutoff_name) = &self.during
            && !cutoffs
                .cutoffs
                .iter()
                .any(|cutoff| cutoff.name == *cutoff_name)
        {
            return Err(SettingsError::UnknownCutoff {
                cutoff: cutoff_name.clone(),
            });
        }
        Ok(RankRule {
            class: self.class.clone(),
            team: self.team.clone(),
            cutoff_rule: self.during.clone(),
            rank: self.value,
        })
    }
}

/// The words of a text, separated by white space.
fn split_words(text: &str) -> BTreeSet<String> {
    text.split_whitespace().map(str::to_string).collect()
}

#[cfg(test)]
mod tests;

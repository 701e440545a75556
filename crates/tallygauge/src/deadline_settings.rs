//! The operators' calendar and ranks: read from their settings (XML), and taken
//! into force.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use tallygauge_records::{Durability, Record};
use tallygauge_scheduler::{
    ClusterState, CutoffDays, CutoffRule, DeclaredRules, MAX_RANK, RankRule,
};

/// The calendar, as operators write it, and as it is on record: while controllers
/// have different settings files, the later version is in force under each.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct CutoffSettings {
    /// Grows with every change: of two files the later one counts.
    #[serde(rename = "@version")]
    pub version: u64,
    /// Cutoffs that are drawn from jobs raise work as declared ones do.
    #[serde(rename = "act-on-drawn")]
    pub act_on_inferred: bool,
    /// Days that are no working days.
    pub holiday: Vec<String>,
    /// Cutoffs.
    pub cutoff: Vec<CutoffEntry>,
}

impl Record for CutoffSettings {
    const NAME: &'static str = "cutoffs";
    const VERSION: u32 = 1;
    const DURABILITY: Durability = Durability::WriteAhead;
}

/// A cutoff, as operators write it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutoffEntry {
    /// Name.
    #[serde(rename = "@name")]
    pub name: String,
    /// Time zone, as `Asia/Seoul`.
    #[serde(rename = "@zone")]
    pub zone: String,
    /// `daily`, `weekdays` or `month-end`.
    #[serde(rename = "@days")]
    pub days: String,
    /// Working days before the last of the month.
    #[serde(rename = "@before", default)]
    pub before: u8,
    /// Time at which its window opens, as `18:00`.
    #[serde(rename = "@opens")]
    pub opens: String,
    /// Days before the cutoff's on which it opens.
    #[serde(rename = "@opens-before", default)]
    pub opens_before: u8,
    /// Time of the cutoff.
    #[serde(rename = "@at")]
    pub at: String,
    /// Classes that it is for, with blanks between; none: all.
    #[serde(rename = "@classes", default)]
    pub classes: String,
    /// Teams that it is for, with blanks between; none: all.
    #[serde(rename = "@teams", default)]
    pub teams: String,
}

/// Ranks, as operators write them.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct RankSettings {
    /// Grows with every change: of two files the later one counts.
    #[serde(rename = "@version")]
    pub version: u64,
    /// The ranks.
    pub rank: Vec<RankEntry>,
}

/// A rank, as operators write it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankEntry {
    /// Class of jobs; none: any.
    #[serde(rename = "@class", default)]
    pub class: Option<String>,
    /// Team; none: any.
    #[serde(rename = "@team", default)]
    pub team: Option<String>,
    /// Only in the window of the cutoff of this name; none: always.
    #[serde(rename = "@during", default)]
    pub during: Option<String>,
    /// 0 to 100.
    #[serde(rename = "@value")]
    pub value: u8,
}

fn words(text: &str) -> BTreeSet<String> {
    text.split_whitespace().map(str::to_string).collect()
}

impl CutoffSettings {
    /// Puts the cutoffs in force in a picture. They must be on record.
    pub fn apply_to(&self, cluster: &mut ClusterState) {
        cluster.set_cutoff_rules(self.rules().unwrap_or_default(), self.act_on_inferred);
    }

    /// The cutoffs, checked.
    ///
    /// # Errors
    /// One line naming the element and what would be right.
    pub fn rules(&self) -> Result<Vec<CutoffRule>, String> {
        let mut holidays = BTreeSet::new();
        for day in &self.holiday {
            let date = day.trim().parse();
            holidays.insert(date.map_err(|_| {
                format!("calendar/holiday must be a date as 2026-12-25, not '{day}'")
            })?);
        }
        if self.version == 0 && !self.cutoff.is_empty() {
            return Err(
                "calendar must have a version above 0, which grows with every change".into(),
            );
        }
        let mut names = BTreeSet::new();
        let mut rules = Vec::new();
        for cutoff in &self.cutoff {
            let bad = |field: &str, what: &str| {
                format!("calendar/cutoff '{}': {field} must be {what}", cutoff.name)
            };
            let days = match cutoff.days.as_str() {
                "daily" => CutoffDays::Daily,
                "weekdays" => CutoffDays::Weekdays,
                "month-end" => CutoffDays::MonthEnd {
                    before: cutoff.before,
                },
                _ => return Err(bad("days", "daily, weekdays or month-end")),
            };
            let zone = jiff::tz::TimeZone::get(&cutoff.zone);
            let rule = CutoffRule {
                name: cutoff.name.clone(),
                zone: zone.map_err(|_| bad("zone", "a time zone as Asia/Seoul"))?,
                classes: words(&cutoff.classes),
                teams: words(&cutoff.teams),
                days,
                at: cutoff
                    .at
                    .parse()
                    .map_err(|_| bad("at", "a time as 08:00"))?,
                opens: cutoff
                    .opens
                    .parse()
                    .map_err(|_| bad("opens", "a time as 18:00"))?,
                opens_before: cutoff.opens_before,
                holidays: holidays.clone(),
            };
            let named = |why| format!("calendar/cutoff '{}': {why}", cutoff.name);
            rule.validate().map_err(named)?;
            if !names.insert(cutoff.name.clone()) {
                return Err(bad("name", "its own"));
            }
            rules.push(rule);
        }
        Ok(rules)
    }
}

impl RankSettings {
    /// The ranks, checked against the calendar's cutoffs.
    ///
    /// # Errors
    /// One line naming the element and what would be right.
    pub fn declared(&self, calendar: &CutoffSettings) -> Result<DeclaredRules, String> {
        let mut rules = Vec::new();
        for entry in &self.rank {
            if entry.value > MAX_RANK {
                return Err(format!(
                    "ledger/rank value must be 0 to {MAX_RANK}, not {}",
                    entry.value
                ));
            }
            if let Some(window) = &entry.during
                && !calendar.cutoff.iter().any(|c| c.name == *window)
            {
                return Err(format!(
                    "ledger/rank during '{window}' names no cutoff of the calendar"
                ));
            }
            rules.push(RankRule {
                class: entry.class.clone(),
                team: entry.team.clone(),
                window: entry.during.clone(),
                rank: entry.value,
            });
        }
        if !rules.is_empty() && self.version == 0 {
            return Err("ledger must have a version above 0, which grows with every change".into());
        }
        Ok(DeclaredRules {
            version: self.version,
            rules,
        })
    }
}

#[cfg(test)]
mod tests;

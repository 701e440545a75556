//! Rules that determine which days have a cutoff and which jobs count for it.

use jiff::{
    Timestamp, ToSpan,
    civil::{Date, Time, Weekday},
    tz::TimeZone,
};
use std::{collections::BTreeSet, sync::Arc};

/// Days that have a cutoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutoffDays {
    /// Every day.
    Daily,
    /// Working days: Monday to Friday except holidays.
    Weekdays,
    /// One working day near the end of each month.
    MonthEnd {
        /// Number of working days from that day to the last working day of the month; 0:
        /// the last working day itself.
        before: u8,
    },
}

/// Rule for cutoffs, as declared by operators.
#[derive(Debug, Clone, PartialEq)]
pub struct CutoffRule {
    /// Name, unique among the rules.
    pub name: String,
    /// Time zone of all times and dates of the rule.
    pub zone: TimeZone,
    /// Classes whose jobs count for its cutoffs; empty: all classes.
    pub classes: BTreeSet<String>,
    /// Teams whose jobs count for its cutoffs; empty: all teams.
    pub teams: BTreeSet<String>,
    /// Days that have a cutoff.
    pub days: CutoffDays,
    /// Local time of the cutoff.
    pub at: Time,
    /// Local time at which the window opens.
    pub opens: Time,
    /// Number of days from the day on which the window opens to the day of the cutoff.
    pub opens_before: u8,
    /// Dates that are not working days, besides weekends.
    pub holidays: BTreeSet<Date>,
}

/// One cutoff, and the window in which accepted jobs count for it.
#[derive(Debug, Clone, PartialEq)]
pub struct CutoffWindow {
    /// Name of the rule and date of the cutoff. For an inferred cutoff: class, team and
    /// number of the interval.
    pub name: Arc<str>,
    /// When the window opens, Unix time in seconds.
    pub opens: f64,
    /// The cutoff, at which the window closes, Unix time in seconds.
    pub cutoff: f64,
    /// Whether it follows from a declared rule; otherwise it was inferred from jobs.
    pub declared: bool,
}

/// Maximum length of a rule's name, bytes.
const MAX_NAME_BYTES: usize = 60;

/// Maximum number of days that a window opens before the day of its cutoff.
const MAX_OPENS_BEFORE_DAYS: u8 = 35;

/// Maximum number of working days from a cutoff to the last working day of its month.
const MAX_DAYS_BEFORE_MONTH_END: u8 = 15;

/// Number of characters to which the names of the class and the team are cut in the name of
/// an inferred cutoff.
const INFERRED_NAME_CHARS: usize = 24;

/// Minimum interval of inferred cutoffs, seconds.
const MIN_INFERRED_INTERVAL_S: f64 = 1.0;

/// Reasons why a declared rule is invalid. The messages use the names of the operators'
/// settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CutoffRuleError {
    /// The name is empty or too long.
    #[error("name must have 1 to {MAX_NAME_BYTES} bytes")]
    NameLength,
    /// The window opens too many days before the cutoff.
    #[error("opens-before must be at most {MAX_OPENS_BEFORE_DAYS} days")]
    WindowTooLong,
    /// The window opens on the day of the cutoff, but not before the time of the cutoff.
    #[error("the window must open before the cutoff: set opens-before")]
    OpensAfterCutoff,
    /// The cutoff is too many working days before the last one of the month.
    #[error("before must be at most {MAX_DAYS_BEFORE_MONTH_END} working days")]
    TooFarBeforeMonthEnd,
}

impl CutoffRule {
    /// Checks the limits of the rule that its types do not enforce.
    ///
    /// # Errors
    /// The first [`CutoffRuleError`] that applies.
    pub fn validate(&self) -> Result<(), CutoffRuleError> {
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES {
            return Err(CutoffRuleError::NameLength);
        }
        if self.opens_before > MAX_OPENS_BEFORE_DAYS {
            return Err(CutoffRuleError::WindowTooLong);
        }
        if self.opens_before == 0 && self.opens >= self.at {
            return Err(CutoffRuleError::OpensAfterCutoff);
        }
        match self.days {
            CutoffDays::MonthEnd { before } if before > MAX_DAYS_BEFORE_MONTH_END => {
                Err(CutoffRuleError::TooFarBeforeMonthEnd)
            }
            _ => Ok(()),
        }
    }

    /// Whether jobs of a class and team can count for cutoffs of this rule.
    #[must_use]
    pub fn applies_to(&self, class: &str, team: &str) -> bool {
        (self.classes.is_empty() || self.classes.contains(class))
            && (self.teams.is_empty() || self.teams.contains(team))
    }

    fn is_working_day(&self, date: Date) -> bool {
        let is_weekend = matches!(date.weekday(), Weekday::Saturday | Weekday::Sunday);
        !is_weekend && !self.holidays.contains(&date)
    }

    /// Whether a date has a cutoff.
    #[must_use]
    pub fn is_cutoff_day(&self, date: Date) -> bool {
        match self.days {
            CutoffDays::Daily => true,
            CutoffDays::Weekdays => self.is_working_day(date),
            CutoffDays::MonthEnd { before } => {
                self.month_end_cutoff_day(date, before) == Some(date)
            }
        }
    }

    /// The day of a month-end cutoff in the month of `date`: `before` working days before
    /// the month's last working day. `None` if the month has too few working days.
    fn month_end_cutoff_day(&self, date: Date, before: u8) -> Option<Date> {
        let mut working_days_left = before;
        let mut day = date.last_of_month();
        loop {
            if self.is_working_day(day) {
                if working_days_left == 0 {
                    return Some(day);
                }
                working_days_left -= 1;
            }
            day = day.yesterday().ok()?;
            if day < date.first_of_month() {
                return None;
            }
        }
    }

    /// Converts a local time to Unix time in seconds. When daylight saving time begins, a
    /// time within the gap is moved forward by the length of the gap. When it ends, the
    /// first of two equal times is taken.
    fn unix_time_of(&self, date: Date, time: Time) -> Option<f64> {
        let zoned = date.to_datetime(time).to_zoned(self.zone.clone()).ok()?;
        Some(zoned.timestamp().as_duration().as_secs_f64())
    }

    /// The cutoff on a date with its window; `None` if the date has no cutoff.
    fn window_on(&self, date: Date) -> Option<CutoffWindow> {
        if !self.is_cutoff_day(date) {
            return None;
        }
        let opening_date = date.checked_sub(i64::from(self.opens_before).days()).ok()?;
        Some(CutoffWindow {
            name: format!("{}@{date}", self.name).into(),
            opens: self.unix_time_of(opening_date, self.opens)?,
            cutoff: self.unix_time_of(date, self.at)?,
            declared: true,
        })
    }

    /// The cutoff whose window contains `unix_time_s`; the earliest one if several windows
    /// contain it.
    #[must_use]
    pub fn window_at(&self, unix_time_s: f64) -> Option<CutoffWindow> {
        let timestamp = Timestamp::from_nanosecond((unix_time_s * 1e9) as i128).ok()?;
        let mut date = timestamp.to_zoned(self.zone.clone()).date();
        for _ in 0..=self.opens_before.saturating_add(1) {
            if let Some(window) = self.window_on(date)
                && window.opens <= unix_time_s
                && unix_time_s < window.cutoff
            {
                return Some(window);
            }
            date = date.tomorrow().ok()?;
        }
        None
    }
}

/// Infers the cutoff of a job that no rule covers. Time is divided into intervals of
/// `interval_s` seconds. Jobs of the same class and team whose deadlines are in the same
/// interval share a cutoff at the end of that interval.
///
/// `accepted_at` is Unix time in seconds; `deadline_s` is the job's deadline in seconds after
/// it.
#[must_use]
pub fn infer_cutoff(
    class: &str,
    team: &str,
    accepted_at: f64,
    deadline_s: f64,
    interval_s: f64,
) -> CutoffWindow {
    let interval_s = interval_s.max(MIN_INFERRED_INTERVAL_S);
    let interval = ((accepted_at + deadline_s) / interval_s).floor();
    let truncate = |name: &str| name.chars().take(INFERRED_NAME_CHARS).collect::<String>();
    let (class, team) = (truncate(class), truncate(team));
    CutoffWindow {
        name: format!("{class}/{team}~{interval:.0}").into(),
        opens: f64::NEG_INFINITY,
        cutoff: (interval + 1.0) * interval_s,
        declared: false,
    }
}

#[cfg(test)]
mod tests;

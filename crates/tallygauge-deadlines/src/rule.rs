//! Rules that say which days have a cutoff, and which jobs count for it.

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
    /// Monday to Friday, without holidays.
    Weekdays,
    /// One working day near the end of each month.
    MonthEnd {
        /// Working days from it to the last working day of the month.
        before: u8,
    },
}

/// A cutoff that operators declared.
#[derive(Debug, Clone, PartialEq)]
pub struct CutoffRule {
    /// Name, unique among the rules.
    pub name: String,
    /// Time zone of its times.
    pub zone: TimeZone,
    /// Classes whose jobs count for it; empty: all.
    pub classes: BTreeSet<String>,
    /// Teams whose jobs count for it; empty: all.
    pub teams: BTreeSet<String>,
    /// Days that have a cutoff.
    pub days: CutoffDays,
    /// Time of day of the cutoff.
    pub at: Time,
    /// Time of day at which the window opens.
    pub opens: Time,
    /// Days from the day on which the window opens to that of the cutoff.
    pub opens_before: u8,
    /// Dates that are not working days.
    pub holidays: BTreeSet<Date>,
}

/// One cutoff, and the window in which jobs count for it.
#[derive(Debug, Clone, PartialEq)]
pub struct CutoffWindow {
    /// Name of the rule with the date, or what the cutoff was inferred from.
    pub name: Arc<str>,
    /// When the window opens, wall-clock time in seconds.
    pub opens: f64,
    /// The cutoff, at which the window closes, wall-clock time in seconds.
    pub cutoff: f64,
    /// Whether operators declared it; otherwise it was inferred from jobs.
    pub declared: bool,
}

/// Longest name of a rule, bytes.
const MAX_NAME_BYTES: usize = 60;

/// Longest window, days.
const MAX_WINDOW_DAYS: u8 = 35;

/// Most working days that a cutoff may be before the last one of its month.
const MAX_DAYS_BEFORE_MONTH_END: u8 = 15;

/// Characters of a class's and of a team's name in the name of an inferred cutoff.
const INFERRED_NAME_CHARS: usize = 24;

/// Shortest interval of inferred cutoffs, seconds.
const MIN_INTERVAL_S: f64 = 1.0;

/// What is wrong with a declared cutoff. Displays in the words of the operators'
/// settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CutoffRuleError {
    /// The name is empty or too long.
    #[error("name must have 1 to {MAX_NAME_BYTES} bytes")]
    NameLength,
    /// The window opens too many days before the cutoff.
    #[error("opens-before must be at most {MAX_WINDOW_DAYS} days")]
    WindowTooLong,
    /// The window opens on the day of the cutoff, but not before it.
    #[error("the window must open before the cutoff: set opens-before")]
    OpensAfterCutoff,
    /// The cutoff is too many working days before the end of the month.
    #[error("before must be at most {MAX_DAYS_BEFORE_MONTH_END} working days")]
    TooFarBeforeMonthEnd,
}

impl CutoffRule {
    /// Checks what the types don't rule out.
    ///
    /// # Errors
    /// The first [`CutoffRuleError`] that applies.
    pub fn validate(&self) -> Result<(), CutoffRuleError> {
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES {
            return Err(CutoffRuleError::NameLength);
        }
        if self.opens_before > MAX_WINDOW_DAYS {
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

    /// Whether jobs of a class and team can count for it.
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

    /// The day in the month of `date` which is `before` working days before its last
    /// working day; `None` if the month has too few.
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

    /// A civil time as wall-clock time in seconds. A time that clocks skip is moved past
    /// the gap by the gap's length; of a time that occurs twice, the first is meant.
    fn timestamp_at(&self, date: Date, time: Time) -> Option<f64> {
        let zoned = date.to_datetime(time).to_zoned(self.zone.clone()).ok()?;
        Some(zoned.timestamp().as_duration().as_secs_f64())
    }

    /// The cutoff on a date with its window, if the date has one.
    fn window_on(&self, date: Date) -> Option<CutoffWindow> {
        if !self.is_cutoff_day(date) {
            return None;
        }
        let opening_date = date.checked_sub(i64::from(self.opens_before).days()).ok()?;
        Some(CutoffWindow {
            name: format!("{}@{date}", self.name).into(),
            opens: self.timestamp_at(opening_date, self.opens)?,
            cutoff: self.timestamp_at(date, self.at)?,
            declared: true,
        })
    }

    /// The cutoff whose window contains the wall-clock time `at`, in seconds; the earliest
    /// if there are several.
    #[must_use]
    pub fn window_at(&self, at: f64) -> Option<CutoffWindow> {
        let timestamp = Timestamp::from_nanosecond((at * 1e9) as i128).ok()?;
        let mut date = timestamp.to_zoned(self.zone.clone()).date();
        for _ in 0..=self.opens_before.saturating_add(1) {
            if let Some(window) = self.window_on(date)
                && window.opens <= at
                && at < window.cutoff
            {
                return Some(window);
            }
            date = date.tomorrow().ok()?;
        }
        None
    }
}

/// The cutoff inferred for a job that no rule covers: jobs of a class and team whose
/// deadlines are in the same interval of `interval_s` seconds have one cutoff, at the end
/// of that interval.
///
/// `accepted` is wall-clock time in seconds, `deadline_s` the job's deadline in seconds
/// after it.
#[must_use]
pub fn infer_cutoff(
    class: &str,
    team: &str,
    accepted: f64,
    deadline_s: f64,
    interval_s: f64,
) -> CutoffWindow {
    let interval_s = interval_s.max(MIN_INTERVAL_S);
    let interval = ((accepted + deadline_s) / interval_s).floor();
    let shorten = |name: &str| name.chars().take(INFERRED_NAME_CHARS).collect::<String>();
    let (class, team) = (shorten(class), shorten(team));
    CutoffWindow {
        name: format!("{class}/{team}~{interval:.0}").into(),
        opens: f64::NEG_INFINITY,
        cutoff: (interval + 1.0) * interval_s,
        declared: false,
    }
}

#[cfg(test)]
mod tests;

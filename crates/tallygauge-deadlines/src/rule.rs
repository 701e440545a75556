//! Which days have a cutoff, and which jobs count for it.

use jiff::{
    Timestamp, ToSpan,
    civil::{Date, Time, Weekday},
    tz::TimeZone,
};
use std::{collections::BTreeSet, sync::Arc};

/// Days that have a cutoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutoffDays {
    /// Each day.
    Daily,
    /// Monday to Friday, but for holidays.
    Weekdays,
    /// So many working days before the last working day of each month.
    MonthEnd {
        /// Working days before.
        before: u8,
    },
}

/// A declared cutoff.
#[derive(Debug, Clone, PartialEq)]
pub struct CutoffRule {
    /// Name.
    pub name: String,
    /// Time zone that its times are in.
    pub zone: TimeZone,
    /// Classes of jobs that it is for; empty: all.
    pub classes: BTreeSet<String>,
    /// Teams that it is for; empty: all.
    pub teams: BTreeSet<String>,
    /// Days that have a cutoff.
    pub days: CutoffDays,
    /// Time of the cutoff.
    pub at: Time,
    /// Time at which the window opens.
    pub opens: Time,
    /// Days before the cutoff's on which it opens.
    pub opens_before: u8,
    /// Days that are no working days.
    pub holidays: BTreeSet<Date>,
}

/// One cutoff, and the window in which jobs count for it.
#[derive(Debug, Clone, PartialEq)]
pub struct CutoffWindow {
    /// Name of the rule and date, or of what it was drawn from.
    pub name: Arc<str>,
    /// When the window opens, seconds of the time of day.
    pub opens: f64,
    /// The cutoff, and the window's end.
    pub cutoff: f64,
    /// Operators declared it.
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

    /// Whether jobs of a class and team may count for it.
    #[must_use]
    pub fn applies_to(&self, class: &str, team: &str) -> bool {
        (self.classes.is_empty() || self.classes.contains(class))
            && (self.teams.is_empty() || self.teams.contains(team))
    }

    fn is_working_day(&self, date: Date) -> bool {
        let rests = matches!(date.weekday(), Weekday::Saturday | Weekday::Sunday);
        !rests && !self.holidays.contains(&date)
    }

    /// Whether a date has a cutoff.
    #[must_use]
    pub fn is_cutoff_day(&self, date: Date) -> bool {
        match self.days {
            CutoffDays::Daily => true,
            CutoffDays::Weekdays => self.is_working_day(date),
            CutoffDays::MonthEnd { before } => {
                let mut left = before;
                let mut day = date.last_of_month();
                loop {
                    if self.is_working_day(day) {
                        if left == 0 {
                            return day == date;
                        }
                        left -= 1;
                    }
                    match day.yesterday() {
                        Ok(earlier) if earlier >= date.first_of_month() => day = earlier,
                        _ => return false,
                    }
                }
            }
        }
    }

    /// A time of a date, in seconds of the time of day. One that clocks skip is
    /// as long after the gap's begin as it says; one that comes twice is the
    /// first.
    fn timestamp_at(&self, date: Date, time: Time) -> Option<f64> {
        let zoned = date.to_datetime(time).to_zoned(self.zone.clone()).ok()?;
        Some(zoned.timestamp().as_duration().as_secs_f64())
    }

    /// The cutoff on a date, with its window.
    fn window_on(&self, date: Date) -> Option<CutoffWindow> {
        if !self.is_cutoff_day(date) {
            return None;
        }
        let from = date.checked_sub(i64::from(self.opens_before).days()).ok()?;
        Some(CutoffWindow {
            name: format!("{}@{date}", self.name).into(),
            opens: self.timestamp_at(from, self.opens)?,
            cutoff: self.timestamp_at(date, self.at)?,
            declared: true,
        })
    }

    /// The cutoff that a moment counts for: the earliest whose window it is in.
    #[must_use]
    pub fn window_at(&self, at: f64) -> Option<CutoffWindow> {
        let moment = Timestamp::from_nanosecond((at * 1e9) as i128).ok()?;
        let mut date = moment.to_zoned(self.zone.clone()).date();
        for _ in 0..=self.opens_before.saturating_add(1) {
            if let Some(due) = self.window_on(date)
                && due.opens <= at
                && at < due.cutoff
            {
                return Some(due);
            }
            date = date.tomorrow().ok()?;
        }
        None
    }
}

/// The cutoff drawn for a job that no rule covers: jobs of a class and team that
/// are due within the same stretch of `width_s` go together.
#[must_use]
pub fn inferred(class: &str, team: &str, accepted: f64, due_s: f64, width_s: f64) -> CutoffWindow {
    let width = width_s.max(1.0);
    let stretch = ((accepted + due_s) / width).floor();
    let short = |name: &str| name.chars().take(INFERRED_NAME_CHARS).collect::<String>();
    let (class, team) = (short(class), short(team));
    CutoffWindow {
        name: format!("{class}/{team}~{stretch:.0}").into(),
        opens: f64::NEG_INFINITY,
        cutoff: (stretch + 1.0) * width,
        declared: false,
    }
}

#[cfg(test)]
mod tests;

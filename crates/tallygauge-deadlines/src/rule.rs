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

/// Characters of a class's or a team's name that a drawn cutoff is told by.
const SHORT: usize = 24;

/// Longest window, days.
const LONGEST: u8 = 35;

impl CutoffRule {
    /// Checks what the types leave open.
    ///
    /// # Errors
    /// What is wrong, in words.
    pub fn validate(&self) -> Result<(), String> {
        if self.name.is_empty() || self.name.len() > 60 {
            return Err("name must have 1 to 60 bytes".into());
        }
        if self.opens_before > LONGEST {
            return Err(format!("opens-before must be at most {LONGEST} days"));
        }
        if self.opens_before == 0 && self.opens >= self.at {
            return Err("the window must open before the cutoff: set opens-before".into());
        }
        if matches!(self.days, CutoffDays::MonthEnd { before } if before > 15) {
            return Err("before must be at most 15 working days".into());
        }
        Ok(())
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
    let short = |name: &str| name.chars().take(SHORT).collect::<String>();
    let (class, team) = (short(class), short(team));
    CutoffWindow {
        name: format!("{class}/{team}~{stretch:.0}").into(),
        opens: f64::NEG_INFINITY,
        cutoff: (stretch + 1.0) * width,
        declared: false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use jiff::civil::{date, time};
    use proptest::prelude::*;

    fn rule(zone: &str, days: CutoffDays, opens: Time, before: u8, at: Time) -> CutoffRule {
        CutoffRule {
            name: "night".into(),
            zone: TimeZone::get(zone).unwrap(),
            classes: BTreeSet::new(),
            teams: BTreeSet::new(),
            days,
            at,
            opens,
            opens_before: before,
            holidays: BTreeSet::new(),
        }
    }

    fn moment(text: &str) -> f64 {
        text.parse::<Timestamp>()
            .unwrap()
            .as_duration()
            .as_secs_f64()
    }

    #[test]
    fn a_night_goes_across_midnight_and_daylight_saving() {
        let seoul = rule(
            "Asia/Seoul",
            CutoffDays::Daily,
            time(18, 0, 0, 0),
            1,
            time(8, 0, 0, 0),
        );
        seoul.validate().unwrap();
        for (at, name) in [
            ("2026-12-02T08:59:59Z", None), // 17:59:59 in Seoul
            ("2026-12-02T09:00:00Z", Some("night@2026-12-03")),
            ("2026-12-02T22:59:59Z", Some("night@2026-12-03")),
            ("2026-12-02T23:00:00Z", None),
        ] {
            let due = seoul.window_at(moment(at));
            assert_eq!(due.as_ref().map(|d| &*d.name), name, "{at}");
        }
        // The night in which clocks go forward has 13 hours, the other one 15.
        let berlin = rule(
            "Europe/Berlin",
            CutoffDays::Daily,
            time(18, 0, 0, 0),
            1,
            time(8, 0, 0, 0),
        );
        let hours = |at: &str| {
            let due = berlin.window_at(moment(at)).unwrap();
            (due.cutoff - due.opens) / 3600.0
        };
        assert_eq!(hours("2026-03-28T20:00:00Z"), 13.0);
        assert_eq!(hours("2026-10-24T20:00:00Z"), 15.0);
        // A cutoff at a time that is skipped, and at one that comes twice.
        let mut odd = berlin.clone();
        odd.at = time(2, 30, 0, 0);
        assert_eq!(
            odd.window_at(moment("2026-03-28T20:00:00Z"))
                .unwrap()
                .cutoff,
            moment("2026-03-29T01:30:00Z")
        );
        assert_eq!(
            odd.window_at(moment("2026-10-24T20:00:00Z"))
                .unwrap()
                .cutoff,
            moment("2026-10-25T00:30:00Z")
        );
    }

    #[test]
    fn month_ends_are_working_days_whatever_the_month() {
        let mut accra = rule(
            "Africa/Accra",
            CutoffDays::MonthEnd { before: 0 },
            time(0, 0, 0, 0),
            5,
            time(17, 0, 0, 0),
        );
        accra.holidays.insert(date(2026, 12, 31));
        let due = |rule: &CutoffRule, y, m| -> Vec<i8> {
            let days = (1..=31).filter_map(|d| Date::new(y, m, d).ok());
            days.filter(|d| rule.is_cutoff_day(*d))
                .map(Date::day)
                .collect()
        };
        assert_eq!(due(&accra, 2026, 11), [30]);
        assert_eq!(due(&accra, 2026, 12), [30], "a holiday");
        assert_eq!(due(&accra, 2027, 1), [29], "a Sunday");
        assert_eq!(due(&accra, 2028, 2), [29], "a leap day");
        accra.days = CutoffDays::MonthEnd { before: 3 };
        assert_eq!(due(&accra, 2026, 12), [25]);
        let inside = accra.window_at(moment("2026-12-23T10:00:00Z")).unwrap();
        assert_eq!(&*inside.name, "night@2026-12-25");
        assert_eq!(accra.window_at(moment("2026-12-27T10:00:00Z")), None);
        let mut weekdays = accra.clone();
        (weekdays.days, weekdays.opens_before) = (CutoffDays::Weekdays, 1);
        // Friday evening's work is due on Monday only if the window says so.
        assert_eq!(weekdays.window_at(moment("2026-12-04T18:00:00Z")), None);
        weekdays.opens_before = 3;
        assert_eq!(
            &*weekdays
                .window_at(moment("2026-12-04T18:00:00Z"))
                .unwrap()
                .name,
            "night@2026-12-07"
        );
    }

    #[test]
    fn what_cannot_be_is_refused_with_a_word() {
        let good = rule(
            "UTC",
            CutoffDays::Daily,
            time(1, 0, 0, 0),
            0,
            time(8, 0, 0, 0),
        );
        assert!(good.validate().is_ok());
        let mut bad = good.clone();
        bad.opens = time(9, 0, 0, 0);
        assert!(bad.validate().unwrap_err().contains("opens-before"));
        bad.opens_before = 200;
        assert!(bad.validate().unwrap_err().contains("35"));
        bad = good;
        bad.name = String::new();
        assert!(bad.validate().unwrap_err().contains("name"));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(83), failure_persistence: None, ..ProptestConfig::default() })]
        // The cutoff found is the earliest of all days' whose window the moment
        // is in, looked for one by one.
        #[test]
        fn the_cutoff_is_that_of_the_plain_model(
            at in 1.76e9f64..1.83e9, opens in 0i8..24, cutoff in 0i8..24, before in 0u8..6, kind in 0u8..4, zone in 0usize..4,
        ) {
            let zones = ["Asia/Seoul", "Europe/Berlin", "America/New_York", "Africa/Accra"];
            let days = [CutoffDays::Daily, CutoffDays::Weekdays, CutoffDays::MonthEnd { before: 0 }, CutoffDays::MonthEnd { before: 2 }][usize::from(kind)];
            let mut rule = rule(zones[zone], days, time(opens, 0, 0, 0), before, time(cutoff, 30, 0, 0));
            rule.holidays.insert(date(2026, 12, 25));
            let today = Timestamp::from_second(at as i64).unwrap().to_zoned(rule.zone.clone()).date();
            let all = (-3i64..50).filter_map(|n| rule.window_on(today.checked_add(n.days()).unwrap()));
            let within = all.filter(|d| d.opens <= at && at < d.cutoff);
            let plain = within.min_by(|a, b| a.cutoff.total_cmp(&b.cutoff));
            prop_assert_eq!(rule.window_at(at), plain);
        }
    }
}

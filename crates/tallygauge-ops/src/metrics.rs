//! Figures for the Prometheus text format.

use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts,
    Registry, TextEncoder, core::Collector, exponential_buckets,
};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

/// Classes that are told apart; those met later count as `other`.
const CLASSES: usize = 64;

/// What a controller counts and measures. Cheap to clone; clones share it.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    classes: Arc<Mutex<HashMap<String, Histogram>>>,
    /// Seconds that taking up a check-in took.
    pub check_in: Histogram,
    /// Check-ins that were refused, by cause.
    pub check_ins_refused: IntCounterVec,
    /// Seconds that a round took.
    pub round: Histogram,
    /// Tasks placed.
    pub placed: IntCounter,
    /// Tasks stopped for others.
    pub preempted: IntCounter,
    /// Seconds that ordinary tasks of the process are late.
    pub lag: Histogram,
    start_delay: HistogramVec,
    /// Seconds that requests waited for their turn at the state service, by
    /// what they are for.
    pub state_wait: HistogramVec,
    /// Users' requests that were not served, by cause.
    pub users_refused: IntCounterVec,
    /// Operators' requests by outcome.
    pub operators: IntCounterVec,
    /// Terms won.
    pub terms: IntCounter,
    /// 1 while this node leads.
    pub leads: Gauge,
    /// Open jobs, tasks on machines, tasks waiting, machines, machines up.
    pub picture: prometheus::GaugeVec,
    /// Connections: open, and free.
    pub sockets: prometheus::GaugeVec,
    /// Seconds that publishing a snapshot took.
    pub publish: Histogram,
}

fn histogram(name: &str, help: &str, from: f64, steps: usize) -> HistogramOpts {
    let buckets = exponential_buckets(from, 2.0, steps).unwrap_or_default();
    HistogramOpts::new(format!("tallygauge_{name}"), help).buckets(buckets)
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// All at zero.
    ///
    /// # Panics
    /// Never: names are fixed, and each stands once.
    #[must_use]
    pub fn new() -> Self {
        const NAMED: &str = "names are valid and stand once";
        let registry = Registry::new();
        fn keep<C: Collector + Clone + 'static>(registry: &Registry, collector: C) -> C {
            registry.register(Box::new(collector.clone())).expect(NAMED);
            collector
        }
        let one = |o: HistogramOpts| keep(&registry, Histogram::with_opts(o).expect(NAMED));
        let many = |o: HistogramOpts, label: &str| {
            keep(&registry, HistogramVec::new(o, &[label]).expect(NAMED))
        };
        let counts = |name: &str, help: &str, label: &str| {
            let opts = Opts::new(format!("tallygauge_{name}"), help);
            keep(&registry, IntCounterVec::new(opts, &[label]).expect(NAMED))
        };
        let count = |name: &str, help: &str| {
            let counter = IntCounter::new(format!("tallygauge_{name}"), help);
            keep(&registry, counter.expect(NAMED))
        };
        let gauges = |name: &str, help: &str, label: &str| {
            let opts = Opts::new(format!("tallygauge_{name}"), help);
            keep(
                &registry,
                prometheus::GaugeVec::new(opts, &[label]).expect(NAMED),
            )
        };
        Self {
            check_in: one(histogram(
                "check_in_seconds",
                "Time that taking up a check-in took",
                1e-6,
                20,
            )),
            check_ins_refused: counts(
                "check_ins_refused_total",
                "Check-ins that were not taken",
                "cause",
            ),
            round: one(histogram(
                "round_seconds",
                "Time that a round took",
                1e-5,
                18,
            )),
            placed: count("tasks_placed_total", "Tasks placed"),
            preempted: count("tasks_preempted_total", "Tasks stopped for others"),
            lag: one(histogram(
                "lag_seconds",
                "How late ordinary tasks of the process are",
                1e-4,
                16,
            )),
            start_delay: many(
                histogram(
                    "start_delay_seconds",
                    "Time from a job's acceptance to the first placement of a task",
                    0.05,
                    16,
                ),
                "class",
            ),
            state_wait: many(
                histogram(
                    "state_wait_seconds",
                    "Time that requests waited for their turn at the state service",
                    1e-4,
                    15,
                ),
                "class",
            ),
            users_refused: counts(
                "users_refused_total",
                "Users' requests that were not served",
                "cause",
            ),
            operators: counts("operators_total", "Operators' requests", "outcome"),
            terms: count("terms_won_total", "Terms won by this node"),
            leads: keep(
                &registry,
                Gauge::new("tallygauge_leads", "1 while this node leads").expect(NAMED),
            ),
            picture: gauges("picture", "Sizes of the leader's picture", "what"),
            sockets: gauges("sockets", "Connections of the process", "what"),
            publish: one(histogram(
                "publish_seconds",
                "Time that publishing a snapshot took",
                1e-5,
                18,
            )),
            classes: Arc::default(),
            registry,
        }
    }

    /// Notes how long a task of a class waited for its first placement.
    pub fn started(&self, class: &str, delay_s: f64) {
        let mut classes = self.classes.lock().expect("classes lock");
        if let Some(known) = classes.get(class) {
            known.observe(delay_s);
            return;
        }
        let label = if classes.len() < CLASSES {
            class
        } else {
            "other"
        };
        let series = self.start_delay.with_label_values(&[label]);
        series.observe(delay_s);
        if label == class {
            classes.insert(class.to_string(), series);
        }
    }

    /// The text format.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        if encoded.is_err() {
            out.clear();
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_text_has_every_figure_and_a_bounded_number_of_classes() {
        let metrics = Metrics::new();
        for n in 0..200 {
            metrics.started(&format!("class-{n}"), 0.3);
            metrics.started("class-0", 1e9);
        }
        metrics
            .check_ins_refused
            .with_label_values(&["fence"])
            .inc();
        let text = String::from_utf8(metrics.text()).unwrap();
        assert!(text.contains(r#"tallygauge_check_ins_refused_total{cause="fence"} 1"#));
        let counts = |class: &str| {
            let line = format!("tallygauge_start_delay_seconds_count{{class=\"{class}\"}} ");
            let found = text.lines().find_map(|l| l.strip_prefix(&line));
            found.map(|n| n.parse::<u32>().unwrap())
        };
        assert_eq!(counts("class-0"), Some(201));
        assert_eq!(counts("class-63"), Some(1));
        assert_eq!((counts("class-64"), counts("other")), (None, Some(136)));
    }
}

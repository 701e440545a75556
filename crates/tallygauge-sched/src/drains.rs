//! Drains: machines that operators want empty, one at a time or a zone or a type
//! at once. They get no new starts; what runs there ends, or is stopped in time.

use crate::{cluster::Cluster, model::*};

impl Cluster {
    /// Replaces the drains in force.
    pub fn set_drains(&mut self, drains: Vec<Drain>, now: f64) {
        if drains == self.drains {
            return;
        }
        self.drains = drains;
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.mark_drained(&name, now);
        }
        self.changed = true;
    }

    /// Drains in force.
    #[must_use]
    pub fn drains(&self) -> &[Drain] {
        &self.drains
    }

    /// Works out what the drains in force mean for a machine.
    pub(crate) fn mark_drained(&mut self, name: &str, now: f64) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let mut found: Option<Drained> = None;
        for drain in self.drains.iter().filter(|d| d.scope.covers(worker)) {
            let before = found.unwrap_or(Drained {
                stop_at: None,
                keep: true,
            });
            // The strictest of several holds.
            let stop_at = [before.stop_at, drain.stop_at].into_iter().flatten();
            found = Some(Drained {
                stop_at: stop_at.reduce(f64::min),
                keep: before.keep && drain.keep,
            });
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.drained.is_some() && found.is_none() {
            // Its return may be taken back as long as it was not sent.
            if !worker.return_sent && matches!(worker.leaving, Some((LeaveReason::Drained, _))) {
                worker.leaving = None;
            }
            worker.idle_since = now;
        }
        worker.drained = found;
        if found.is_some() {
            self.drain(name, now);
        }
    }

    /// Whether a kind of machine would be drained as soon as it is there.
    pub(crate) fn kind_is_drained(&self, machine_type: &str, zone: &str) -> bool {
        self.drains.iter().any(|d| match &d.scope {
            Scope::Machine(_) => false,
            Scope::Zone(z) => z == zone,
            Scope::Type(t) => t == machine_type,
        })
    }

    /// How far a drain has come.
    #[must_use]
    pub fn drain_progress(&self, scope: &Scope) -> DrainProgress {
        let mut progress = DrainProgress::default();
        for worker in self.workers.values().filter(|w| scope.covers(w)) {
            let tasks = worker.held.iter().filter(|h| h.occupies()).count();
            progress.machines += 1;
            progress.empty += usize::from(tasks == 0);
            progress.tasks += tasks;
        }
        progress
    }

    /// When a task on a drained machine should be told to stop: with time to
    /// save twice over, as before a notice runs out; at once if it has not
    /// begun; at the very end if it can't save.
    pub(crate) fn stop_before(held: &Held, until: f64) -> f64 {
        if held.running_since.is_none() {
            f64::NEG_INFINITY
        } else if held.spec.checkpoint_every_s > 0.0 {
            until - held.spec.save_s * 2.0
        } else {
            until
        }
    }
}

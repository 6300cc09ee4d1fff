//! Whether tasks may be launched on a machine, as far as the behaviour of the machine decides.

use crate::clock::Micros;

/// Whether tasks may be launched on a machine, and the reason if not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Schedulability {
    /// Tasks may be launched on the machine.
    #[default]
    Open,
    /// The machine is silent. No tasks are launched on it until one of its heartbeats is accepted
    /// again.
    Cordoned,
    /// Tasks of several jobs failed on the machine. No tasks are launched on it for some time.
    Quarantined {
        /// Instant from which tasks may be launched on the machine again.
        until: Micros,
    },
}

impl Schedulability {
    /// Whether tasks may be launched on the machine.
    pub(super) fn is_open(self) -> bool {
        self == Schedulability::Open
    }

    /// Cordons an open machine. A quarantined one stays quarantined.
    pub(super) fn cordon(&mut self) {
        if self.is_open() {
            *self = Schedulability::Cordoned;
        }
    }

    /// Lifts a cordon. A quarantined machine stays quarantined.
    pub(super) fn uncordon(&mut self) {
        if *self == Schedulability::Cordoned {
            *self = Schedulability::Open;
        }
    }

    /// Quarantines an open machine. A cordoned one stays cordoned.
    pub(super) fn quarantine(&mut self, until: Micros) {
        if self.is_open() {
            *self = Schedulability::Quarantined { until };
        }
    }

    /// Lifts a quarantine that has ended, and returns whether there was one.
    pub(super) fn lift_ended_quarantine(&mut self, now: Micros) -> bool {
        let has_ended = matches!(*self, Schedulability::Quarantined { until } if now >= until);
        if has_ended {
            *self = Schedulability::Open;
        }
        has_ended
    }
}

#[cfg(test)]
mod tests;

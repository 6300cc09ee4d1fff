//! Whether a machine may be given tasks.

/// Whether a machine may be given tasks, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Schedulability {
    /// It may be given tasks.
    #[default]
    Open,
    /// It is silent: it gets no tasks until a heartbeat of it counts again.
    Cordoned,
    /// Tasks of several jobs failed on it: it gets no tasks any more.
    Quarantined,
}

impl Schedulability {
    /// Whether the machine may be given tasks.
    pub(super) fn is_open(self) -> bool {
        self == Schedulability::Open
    }

    /// Cordons an open machine; a quarantine stays.
    pub(super) fn cordon(&mut self) {
        if self.is_open() {
            *self = Schedulability::Cordoned;
        }
    }

    /// Lifts a cordon; a quarantine stays.
    pub(super) fn uncordon(&mut self) {
        if *self == Schedulability::Cordoned {
            *self = Schedulability::Open;
        }
    }

    /// Quarantines an open machine. A cordoned one stays cordoned.
    pub(super) fn quarantine(&mut self) {
        if self.is_open() {
            *self = Schedulability::Quarantined;
        }
    }
}

#[cfg(test)]
mod tests;

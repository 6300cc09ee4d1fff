//! Which machines are silent, can't be reached or fail, and whether the fault is ours.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::ids::MachineId;
use crate::workers::{AttemptPhase, Machine};

const NEVER_HEARD: Micros = Micros::from_millis(180_000);

impl OwnedPartition {
    pub(super) fn reports_of(&self, n: f64) -> Micros {
        Micros::from_secs(self.settings.platform.workers.heartbeat_interval_s * n)
    }

    /// How long after its last report a machine may still be sent tasks.
    pub(super) fn heard_within(&self) -> Micros {
        self.reports_of(2.2)
    }

    /// After this silence a machine is returned.
    pub(super) fn silence(&self) -> Micros {
        self.policy.silence_timeout.max(self.reports_of(2.2))
    }

    /// Machines that are to be returned get nothing more to do.
    pub fn cordon(&mut self, dead: &[MachineId]) {
        for id in dead {
            // What was never heard may still be booting.
            if let Some(m) = self
                .machines
                .get_mut(id)
                .filter(|m| m.last_contact_at().is_some())
            {
                m.cordon();
            }
        }
    }

    /// Nothing of the partition is heard any more: it is we who are cut off.
    pub fn is_isolated(&self, now: Micros) -> bool {
        let known = self
            .machines
            .values()
            .filter(|m| m.last_contact_at().is_some())
            .count();
        // Guards against taking a standstill of our own for a cut: hear first.
        let since = self.last_heard.max(self.listening);
        known >= 2 && now.since(since) > Micros::from_millis(8_000).max(self.reports_of(1.5))
    }

    /// Machines that should be returned: silent ones, suspects that do not hear us,
    /// and drained ones that failed.
    pub fn releasable_machines(&self, now: Micros) -> Vec<MachineId> {
        // If none is heard, the fault is ours and not theirs.
        if self.machines.len() > 1 && now.since(self.last_report) > Micros::from_millis(4_000) {
            return Vec::new();
        }
        // Guards against a panic after a standstill of our own: each machine has its
        // full time to be heard from then on.
        let listening = self.listening;
        let (silence, unconfirmed) = (
            self.silence(),
            Micros::from_millis(6_000).max(self.reports_of(1.6)),
        );
        let silent = |m: &Machine| match m.last_contact_at() {
            Some(h) => now.since(h.max(listening).max(m.added_at())) > silence,
            // Old jobs wait for it, and a live one answers our direct command at once.
            None if m.is_unconfirmed() => now.since(m.added_at().max(listening)) > unconfirmed,
            None => now.since(m.added_at()) > NEVER_HEARD,
        };
        // Alive, but its reports reach nobody: it keeps what it has until its lease ends,
        // and is replaced as soon as it has nothing, or nothing to come of it.
        let lease = Micros::from_secs(self.settings.platform.workers.lease_s);
        let idle = |m: &Machine| m.attempts.values().all(|t| t.phase == AttemptPhase::Exited);
        let unheard = |m: &Machine| {
            let since = m
                .last_heartbeat_at()
                .unwrap_or(m.added_at())
                .max(m.added_at())
                .max(listening);
            m.last_contact_at().is_some()
                && now.since(since) > silence
                && (idle(m) && m.has_no_command_in_transit()
                    || now.since(m.lease_started_at()) > lease)
        };
        let failed = |m: &Machine| !m.is_schedulable() && idle(m);
        // Should so many be silent at once, the first to go show whether it is them.
        let most = 2 + self.machines.len() / 10;
        // And if so many do not hear us, it is we who are not heard.
        let suspects = self
            .machines
            .values()
            .filter(|m| m.is_unreachable())
            .count()
            <= most;
        // A machine that is silent with its zone waits for the zone's turn. Those that fail
        // by themselves do not.
        let withheld = |id: &MachineId, m: &Machine| {
            let evacuation = self.zone_evacuation.as_ref();
            let with_zone =
                evacuation.is_some_and(|evacuation| evacuation.retains(now, id, &m.spec.zone));
            with_zone && self.is_silent(now, m)
        };
        let dead = self.machines.iter().filter(|(id, m)| {
            let dead = silent(m) || unheard(m) || suspects && m.is_unreachable();
            dead && !withheld(id, m) || failed(m)
        });
        dead.map(|(id, _)| id.clone()).take(most).collect()
    }
}

//! Evacuation of lost zones: tracks the jobs that lost attempts there, and releases silent
//! machines in the waves that the leader commits.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::ids::{JobId, ZoneId};
use crate::jobs::Job;
use crate::zones::{ZoneEvacuation, ZoneFailoverConfig, ZoneSituation};
use std::collections::BTreeMap;
use std::rc::Rc;
use zone_failover::evacuation::{EvacuationPriority, SilentMachine};
use zone_failover::health::ZoneState;

impl OwnedPartition {
    /// Updates the state of the zones. The first call enables zone failover.
    pub fn update_zones(
        &mut self,
        now: Micros,
        config: &Rc<ZoneFailoverConfig>,
        situation: &Rc<ZoneSituation>,
    ) {
        let evacuation = self
            .zone_evacuation
            .get_or_insert_with(|| ZoneEvacuation::new(config.clone()));
        if !Rc::ptr_eq(&evacuation.situation, situation) {
            // Zones may have opened or closed for waiting tasks.
            self.scheduling.request_pass();
        }
        evacuation.sync(now, situation);
    }

    /// Records that a job lost an attempt with a machine in `zone`.
    pub(super) fn displace(&mut self, job: &JobId, zone: &str) {
        if let Some(evacuation) = &mut self.zone_evacuation {
            evacuation.displace(job, zone);
        }
    }

    /// Updates the evacuation of lost zones and starts failback: both depend on the time and on
    /// the waves that the leader has committed.
    pub(super) fn check_zones(&mut self, now: Micros, wall_clock: Micros) {
        if self.zone_evacuation.is_none() {
            return;
        }
        self.displace_unconfirmed();
        let silent = self.silent_in_lost_zones(now, wall_clock);
        let down = self.down_zones(now);
        if let Some(evacuation) = &mut self.zone_evacuation {
            evacuation.collect_garbage(now, &self.jobs);
            evacuation.observe(now, &down);
            evacuation.advance(wall_clock, silent, &self.jobs);
        }
        self.fail_back(now, wall_clock);
    }

    /// Records jobs that may have lost an attempt on an unconfirmed machine of a zone that is not
    /// healthy: all jobs that an earlier owner may have started on such a machine.
    fn displace_unconfirmed(&mut self) {
        let Some(evacuation) = &mut self.zone_evacuation else {
            return;
        };
        let Some(recovery) = self.failover.recovery() else {
            return;
        };
        for kind in &recovery.unconfirmed {
            if evacuation.situation.state(&kind.zone) == ZoneState::Healthy {
                continue;
            }
            for (id, job) in &self.jobs {
                let may_have_been_there = job
                    .may_have_begun_before(recovery.term, recovery.granted_at)
                    && job.may_have_been_on(&kind.machine_type, &kind.zone, kind.spot);
                if may_have_been_there {
                    evacuation.displace(id, &kind.zone);
                }
            }
        }
    }

    /// Returns the silent machines of each lost zone. Each has the highest evacuation priority
    /// of the jobs that may run on it.
    fn silent_in_lost_zones(
        &self,
        now: Micros,
        wall_clock: Micros,
    ) -> BTreeMap<ZoneId, Vec<SilentMachine>> {
        let mut silent: BTreeMap<ZoneId, Vec<SilentMachine>> = BTreeMap::new();
        let Some(evacuation) = &self.zone_evacuation else {
            return silent;
        };
        let lost = evacuation.situation.lost();
        if lost.is_empty() {
            return silent;
        }
        let priority = |job: &Job| evacuation.config.order.priority(job, wall_clock);
        let (term, granted) = (self.ownership.term(), self.ownership.revision());
        let is_old = |job: &&Job| job.may_have_begun_before(term, granted);
        let old_jobs = self.jobs.values().filter(is_old);
        let highest_of_old = highest(old_jobs.map(priority));
        for (id, machine) in &self.machines {
            let Some((zone, _)) = lost.get_key_value(machine.spec.zone.as_str()) else {
                continue;
            };
            let is_active = machine.is_active();
            if !is_active || !self.is_silent(now, machine) {
                continue;
            }
            let priority = if machine.is_unconfirmed() {
                highest_of_old
            } else {
                let tasks = machine.attempts.keys().map(|key| &key.task);
                let jobs = tasks.filter_map(|task| self.jobs.get(&task.job));
                highest(jobs.map(priority))
            };
            let id = id.clone();
            let of_zone = silent.entry(zone.clone()).or_default();
            of_zone.push(SilentMachine { id, priority });
        }
        silent
    }
}

/// Returns the priority that is evacuated first, or `None` if there are no priorities.
fn highest(priorities: impl Iterator<Item = EvacuationPriority>) -> Option<EvacuationPriority> {
    priorities.min_by(EvacuationPriority::order)
}

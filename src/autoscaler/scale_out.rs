//! Planning of scale-outs: how many machines of which offer are scaled out for the capacity that
//! waiting tasks lack.

use super::offers::{MachineCounts, Offer, OfferSearch};
use super::pending_capacity::PendingMachine;
use super::scale_outs::ScaleOuts;
use super::{Effect, FleetSnapshot, PARTITION_STATE_MAX_AGE};
use crate::clock::Micros;
use crate::cloud::ScaleOutRecord;
use crate::fairness::Resources;
use crate::ids::PartitionId;
use crate::placement::CapacityRequest;
use zone_failover::leader::ScaleOutAccess;

/// Maximum number of scale-outs in progress at a time.
const MAX_IN_PROGRESS: usize = 6;

/// Maximum number of machines that the cloud accepts in one request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Number of machines in a request that probes a zone's health.
const MACHINES_PER_PROBE: u32 = 1;

/// Factor on the policy's scale-out horizon for on-demand instances. Tasks that run for less than
/// the horizon get capacity in proportion to their run time. An on-demand instance costs several
/// times as much as a spot instance, so its horizon is longer.
const ON_DEMAND_HORIZON_FACTOR: f64 = 3.0;

/// Machines to scale out for one capacity request, and the tasks that they are for.
struct ScaleOutPlan<'a> {
    offer: Offer<'a>,
    machines: u32,
    tasks: u32,
    tasks_per_machine: u32,
}

impl ScaleOutPlan<'_> {
    fn capacity(&self) -> Resources {
        self.offer.machine_type.capacity()
    }

    /// Returns the capacity that the planned tasks leave free on each machine.
    fn remaining_capacity(&self, task: &Resources) -> impl Iterator<Item = Resources> {
        let (tasks, per_machine) = (self.tasks, self.tasks_per_machine);
        (0..self.machines).map(move |index| {
            let placed = (index * per_machine).min(tasks);
            let used = (tasks - placed).min(per_machine);
            self.capacity() - task.scale(f64::from(used))
        })
    }

    fn record(&self, partition: PartitionId) -> ScaleOutRecord {
        ScaleOutRecord {
            machine_type: self.offer.machine_type.name.clone(),
            zone: self.offer.zone.into(),
            spot: self.offer.spot,
            count: self.machines,
            partition,
        }
    }
}

impl ScaleOuts {
    /// Begins scale-outs for the capacity requests of all partitions, up to the maximum number in
    /// progress.
    pub(super) fn request_capacity(
        &mut self,
        now: Micros,
        fleet: &FleetSnapshot<'_>,
        effects: &mut Vec<Effect>,
    ) {
        let mut budget = MAX_IN_PROGRESS.saturating_sub(self.in_progress());
        let states = fleet.partition_states;
        if budget == 0
            || states
                .values()
                .all(|state| state.capacity_requests.is_empty())
        {
            return;
        }
        let counts = &MachineCounts::new(fleet.cache);
        let search = OfferSearch { now, fleet, counts };
        for (partition, state) in states {
            if now.since(state.received_at) > PARTITION_STATE_MAX_AGE {
                continue;
            }
            // Pending machines serve the requests in their order. So does the capacity that
            // remains on the machines scaled out for an earlier request.
            let mut pending = self.pending_capacity.of_partition(*partition);
            for request in &state.capacity_requests {
                let unserved = serve_from(&mut pending, request);
                if unserved == 0 || budget == 0 {
                    continue;
                }
                let Some(plan) = self.plan(&search, request, unserved) else {
                    continue;
                };
                budget -= 1;
                let record = plan.record(*partition);
                let remaining = plan.remaining_capacity(&request.request);
                pending.extend(remaining.map(|free| PendingMachine::new(&record, free)));
                effects.push(self.begin(now, fleet.leader, record, plan.capacity()));
            }
        }
    }

    /// Returns the machines to scale out for `unserved` tasks of a request, or `None` if no offer
    /// can be used, or if the tasks do not justify a machine and may get one without a scale-out.
    fn plan<'a>(
        &self,
        search: &OfferSearch<'a>,
        request: &CapacityRequest,
        unserved: u32,
    ) -> Option<ScaleOutPlan<'a>> {
        let offer = self.cheapest_offer(search, request)?;
        let tasks = if offer.spot {
            unserved
        } else {
            self.tasks_worth_on_demand(unserved, request)
        };
        let capacity = offer.machine_type.capacity();
        let tasks_per_machine = request.request.times_in(&capacity).max(1);
        let max_machines = match (search.fleet.scale_out_access)(offer.zone) {
            ScaleOutAccess::Open => MAX_MACHINES_PER_REQUEST,
            ScaleOutAccess::Probe => MACHINES_PER_PROBE,
            ScaleOutAccess::Closed => 0,
        };
        let machines = tasks.div_ceil(tasks_per_machine).min(max_machines);
        (machines > 0).then_some(ScaleOutPlan {
            offer,
            machines,
            tasks,
            tasks_per_machine,
        })
    }

    /// Returns for how many of `tasks` on-demand instances are worth their price: short tasks free
    /// their machines soon and justify fewer of them. The owner has already reduced `tasks` to the
    /// share by the policy's horizon; the result is the share by the longer horizon for on-demand
    /// instances. It is at least one if the request needs a machine, because nothing else serves
    /// the request then.
    fn tasks_worth_on_demand(&self, tasks: u32, request: &CapacityRequest) -> u32 {
        let horizon_s = self.horizon.as_secs();
        let run_time_s = request.estimated_run_time_s.max(horizon_s);
        let share = (run_time_s / (ON_DEMAND_HORIZON_FACTOR * horizon_s)).min(1.0);
        let worth = (f64::from(tasks) * share).round() as u32;
        worth.max(u32::from(request.needs_machine))
    }
}

/// Takes free capacity of pending machines for the tasks of a request. Returns the number of tasks
/// for which the capacity that they may use does not suffice.
fn serve_from(pending: &mut [PendingMachine], request: &CapacityRequest) -> u32 {
    let mut unserved = request.count;
    for machine in pending {
        unserved -= machine.serve(request, unserved);
    }
    unserved
}

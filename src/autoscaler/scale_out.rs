//! How many machines of which offer are scaled out for the room that waiting work lacks.

use super::offers::{MachineCounts, Offer, OfferSearch};
use super::scale_outs::ScaleOuts;
use super::{Effect, FleetSnapshot, PARTITION_STATE_MAX_AGE};
use crate::clock::Micros;
use crate::cloud::ScaleOutRecord;
use crate::fairness::Resources;
use crate::ids::PartitionId;
use crate::placement::CapacityRequest;
use zone_failover::leader::ScaleOutAccess;

/// Scale-outs under way at a time.
const MAX_IN_PROGRESS: usize = 6;

/// The cloud takes no more machines in one request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Machines in a request that probes a zone's health.
const MACHINES_PER_PROBE: u32 = 1;

/// An ordinary instance costs several times as much as a spot instance: tasks are worth as many
/// of them as if their run time counted up to this many times the policy's horizon.
const ON_DEMAND_HORIZON_FACTOR: f64 = 3.0;

/// What is to be scaled out for one capacity request.
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

    /// What the planned tasks leave free of each machine.
    fn remaining_rooms(&self, task: &Resources) -> impl Iterator<Item = Resources> {
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
    /// Begins scale-outs for the capacity requests of all partitions, as many as may be under
    /// way.
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
            // What is under way serves the requests in their order; so does what is left of a
            // machine that is scaled out for one of them.
            let mut rooms = self.pending_capacity.of_partition(*partition);
            for request in &state.capacity_requests {
                let unserved = serve_from(&mut rooms, request);
                if unserved == 0 || budget == 0 {
                    continue;
                }
                let Some(plan) = self.plan(&search, request, unserved) else {
                    continue;
                };
                budget -= 1;
                rooms.extend(plan.remaining_rooms(&request.request));
                let record = plan.record(*partition);
                effects.push(self.begin(now, fleet.leader, record, plan.capacity()));
            }
        }
    }

    /// What to scale out for so many tasks of a request; nothing if no offer can be used.
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
            self.worth_on_demand(unserved, request.estimated_run_time_s)
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

    /// For how many of these tasks ordinary instances are worth their price: work that ends
    /// soon by itself is worth fewer of them.
    fn worth_on_demand(&self, tasks: u32, run_time_s: f64) -> u32 {
        let share = |horizon_s: f64| (run_time_s / horizon_s).min(1.0);
        let horizon_s = self.horizon.as_secs();
        let worth =
            f64::from(tasks) * share(ON_DEMAND_HORIZON_FACTOR * horizon_s) / share(horizon_s);
        worth.round() as u32
    }
}

/// Takes the room that serves a request; returns for how many of its tasks there is none.
fn serve_from(rooms: &mut [Resources], request: &CapacityRequest) -> u32 {
    let mut unserved = request.count;
    for room in rooms {
        let tasks = request.request.times_in(room).min(unserved);
        *room -= request.request.scale(f64::from(tasks));
        unserved -= tasks;
    }
    unserved
}

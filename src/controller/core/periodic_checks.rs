//! The periodic checks of a controller, which run on every tick in a fixed order.
//!
//! Outside its lease, a controller only maintains its membership, answers users, reads data that
//! it lacks, and sends gossip that it is alive. It must not act for its partitions.

use super::Core;
use super::effects::{partition_effect, read_index_effect};
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::store::RequestPriority;

impl Core {
    /// Runs the periodic checks that are due.
    pub(super) fn run_periodic_checks(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        out: &mut Vec<Effect>,
    ) {
        self.maintain_membership(now, out);
        self.publish_api_view_if_due(now, out);
        self.expire_job_lookups(now, out);
        self.sync_dependencies(now, out);
        self.request_unknown_machine_types(now, out);
        if now >= self.may_act_until() {
            self.gossip_liveness(now, out);
            return;
        }
        self.sync_zones(now);
        if let Some(leadership) = self.run_leader_election(now, out) {
            self.act_as_leader(now, &leadership, out);
        }
        self.commit_zone_states(now, wall_clock, out);
        self.run_owned_partitions(now, wall_clock, out);
        self.gossip(now, wall_clock, out);
        self.rebalance_partitions(now, out);
        self.collect_garbage(now, out);
    }

    fn maintain_membership(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if let Some(request) = self.membership.next_request(now) {
            out.push(Effect::StoreRequest {
                operation: StoreOperation::Membership,
                request,
                priority: RequestPriority::Critical,
            });
        }
    }

    fn expire_job_lookups(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let expired = self.read_index.expire(now);
        out.extend(expired.into_iter().map(read_index_effect));
    }

    /// Runs the owned partitions and collects their commands, writes and reads. This happens on
    /// ticks and not after each input, so that one decision covers the changes of many inputs.
    fn run_owned_partitions(&mut self, now: Micros, wall_clock: Micros, out: &mut Vec<Effect>) {
        let fleet = self.machine_types.fleet_capacity();
        let send_before = self.may_act_until();
        let cache = self.store.cache();
        for partition in self.partitions.values_mut() {
            partition.tick(now, wall_clock, fleet);
            let mut effects = partition.take_direct_commands(now);
            effects.extend(partition.take_writes(now, wall_clock));
            effects.extend(partition.take_ended_job_reads(now));
            effects.extend(partition.record_used_machines(now, cache));
            let (id, term) = (partition.id(), partition.term());
            let effects = effects.into_iter();
            out.extend(effects.map(|effect| partition_effect(id, term, send_before, effect)));
        }
    }
}

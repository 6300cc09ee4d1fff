//! Routing of workers' heartbeats and of replies to direct commands to the owned partitions.
//!
//! Only the owner of a machine's partition accepts the machine's heartbeats, and only while the
//! owner may act. No other controller may issue a fencing token for the machine.

use super::Core;
use crate::api::channels::HeartbeatAnswer;
use crate::clock::Micros;
use crate::controller::messages::DirectAnswer;
use crate::ids::{MachineId, PartitionId, Term};
use crate::store::Versioned;
use crate::workers::Heartbeat;

impl Core {
    /// Handles a worker's heartbeat and returns the answer. The partition of the machine answers
    /// if this controller owns it. Otherwise the worker is redirected to the owner, if it is alive.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        heartbeat: &Heartbeat,
    ) -> HeartbeatAnswer {
        let cache = self.store.cache();
        // A machine that is not recorded in a partition, or that is released, gets no fencing
        // token. The heartbeat alone does not make it a machine of this deployment, since it may
        // be a delayed copy.
        let recorded = cache.machine(&heartbeat.machine);
        let recorded = recorded.filter(|(_, machine)| machine.release_reason.is_none());
        let Some(((partition, _), _)) = recorded else {
            return HeartbeatAnswer::Unavailable;
        };
        let Some(Versioned { record: owner, .. }) = cache.partition_owners.get(&partition) else {
            return HeartbeatAnswer::Unavailable;
        };
        if owner.owner != self.configuration.settings.label {
            return if cache.is_owner_alive(owner) {
                HeartbeatAnswer::Redirect(owner.owner.clone())
            } else {
                HeartbeatAnswer::Unavailable
            };
        }
        let valid_until = self.may_act_until();
        if now >= valid_until {
            return HeartbeatAnswer::Unavailable;
        }
        let fleet = self.machine_types.fleet_capacity();
        self.partitions
            .get_mut(partition)
            .and_then(|owned| {
                owned.handle_heartbeat(now, wall_clock, fleet, valid_until, heartbeat)
            })
            .map_or(HeartbeatAnswer::Unavailable, HeartbeatAnswer::Accepted)
    }

    /// Passes the outcome of a direct command to the partition, unless the term under which the
    /// command was sent has ended.
    pub(super) fn handle_direct_command_reply(
        &mut self,
        now: Micros,
        partition: PartitionId,
        term: Term,
        machine: &MachineId,
        answer: DirectAnswer,
    ) {
        let Some(owned) = self.partitions.in_term(partition, term) else {
            return;
        };
        match answer {
            DirectAnswer::Heartbeat(heartbeat) => {
                owned.handle_direct_command_reply(now, machine, Some(heartbeat));
            }
            DirectAnswer::Indeterminate => owned.handle_direct_command_reply(now, machine, None),
            DirectAnswer::NotSent => owned.handle_direct_command_not_sent(now, machine),
        }
    }
}

//! Heartbeats of workers, and replies to direct commands, on their way to a partition.
//!
//! Only the owner of a machine's partition answers it, and only while it may act: nobody else
//! may hand out a fencing token.

use super::Core;
use crate::api::ports::HeartbeatAnswer;
use crate::clock::Micros;
use crate::controller::messages::DirectAnswer;
use crate::ids::{MachineId, PartitionId, Term};
use crate::store::Versioned;
use crate::workers::Heartbeat;

impl Core {
    /// The answer to a worker's heartbeat: from the partition of its machine, if it is owned here.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        heartbeat: &Heartbeat,
    ) -> HeartbeatAnswer {
        let cache = self.store.cache();
        // Not recorded in a partition, or released: nobody may answer with a token. A
        // heartbeat alone never makes a machine one of ours: it may be a late copy.
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

    /// Passes on what became of a direct command, unless the partition's term has ended.
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

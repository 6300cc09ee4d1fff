//! Runs the autoscaler on the leader, and converts its effects to effects of the controller.
//!
//! This module holds no state. Replies to writes of an earlier leadership are never passed to
//! the autoscaler.

use super::Core;
use crate::autoscaler::{self, FleetSnapshot};
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::ids::Revision;
use crate::store::{Compare, Reply, Request, RequestPriority};
use zone_failover::leader::ScaleOutAccess;

impl Core {
    /// Runs one step of the autoscaler. Does nothing while the machine types are unknown.
    pub(super) fn run_autoscaler(
        &mut self,
        now: Micros,
        leadership: &Compare,
        out: &mut Vec<Effect>,
    ) {
        let Some(types) = self.machine_types.types() else {
            return;
        };
        let partition_states = self.newest_partition_states(now);
        let zones = self.zones.as_ref();
        let scale_out_access = |zone: &str| {
            zones.map_or(ScaleOutAccess::Open, |zones| {
                zones.scale_out_access(now, zone)
            })
        };
        let fleet = FleetSnapshot {
            cache: self.store.cache(),
            leader: leadership,
            applied_revision: self.store.applied_revision(),
            machine_types: types,
            partition_states: &partition_states,
            scale_out_access: &scale_out_access,
        };
        let effects = self.leader_state.autoscaler.step(now, &fleet);
        self.record_zone_probes(now, &effects);
        let leader_revision = self.leader_revision().unwrap_or(Revision(0));
        let effects = effects.into_iter();
        out.extend(effects.map(|effect| autoscaler_effect(leader_revision, effect)));
    }

    /// Handles the reply to a write of the autoscaler.
    pub(super) fn handle_autoscaler_reply(
        &mut self,
        now: Micros,
        leader_revision: Revision,
        write: autoscaler::Write,
        reply: &Reply,
    ) {
        // Replies to writes of an earlier leadership do not concern the current one.
        if self.leader_revision() == Some(leader_revision) {
            self.leader_state
                .autoscaler
                .handle_store_reply(now, write, reply);
        }
    }

    /// Returns the revision of the leader's key, which identifies a leadership; `None` if there
    /// is no leader.
    fn leader_revision(&self) -> Option<Revision> {
        let leader = self.store.cache().leader.as_ref();
        leader.map(|versioned| versioned.revision)
    }
}

fn autoscaler_effect(leader_revision: Revision, effect: autoscaler::Effect) -> Effect {
    match effect {
        autoscaler::Effect::Cloud(request) => Effect::Cloud(request),
        autoscaler::Effect::CompareAndSwap {
            write,
            compares,
            mutations,
        } => Effect::StoreRequest {
            operation: StoreOperation::AutoscalerWrite {
                leader_revision,
                write,
            },
            request: Request::CompareAndSwap {
                compares,
                mutations,
            },
            priority: RequestPriority::Normal,
        },
    }
}

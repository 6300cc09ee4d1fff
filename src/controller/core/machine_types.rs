//! The list of machine types, from the cloud or from the store, and the fleet capacity that is
//! computed from it.
//!
//! It owns the list that this controller uses. A controller without a list acquires no
//! partitions.

use super::Core;
use super::in_flight::RequestKind;
use crate::clock::Micros;
use crate::cloud::{CloudReply, CloudRequest, MachineType, MachineTypes};
use crate::controller::messages::{Effect, StoreOperation};
use crate::fairness::Resources;
use crate::ids::Revision;
use crate::store::{Compare, Mutation, Request, RequestPriority, Versioned, keys};
use crate::watch_cache::WatchCache;
use std::sync::Arc;

/// Interval at which the leader requests the machine types again, because spot prices change.
const MACHINE_TYPE_REFRESH_INTERVAL: Micros = Micros::from_millis(60_000);
/// Delay before a failed request for the machine types is retried.
const MACHINE_TYPE_RETRY_DELAY: Micros = Micros::from_millis(1_000);

/// The machine types and the total capacity of the fleet.
#[derive(Debug, Default)]
pub(super) struct MachineTypeList {
    types: Option<MachineTypes>,
    last_refresh_at: Micros,
    fleet_capacity: Resources,
}

impl MachineTypeList {
    /// Returns the machine types; `None` while they are unknown.
    pub(super) fn types(&self) -> Option<&MachineTypes> {
        self.types.as_ref()
    }

    /// Returns the machine types, or an empty list while they are unknown.
    pub(super) fn types_or_empty(&self) -> MachineTypes {
        self.types.clone().unwrap_or_default()
    }

    /// Returns the total capacity of all recorded machines.
    pub(super) fn fleet_capacity(&self) -> Resources {
        self.fleet_capacity
    }

    /// Adopts the list that is recorded in the store, if there is one.
    pub(super) fn adopt_recorded(&mut self, cache: &WatchCache) {
        if let Some(Versioned {
            record: recorded, ..
        }) = &cache.types
            && self.types.as_ref().is_none_or(|known| **known != *recorded)
        {
            self.types = Some(Arc::new(recorded.clone()));
        }
    }

    /// Recomputes the total capacity of all recorded machines. Machines of unknown types are not
    /// counted.
    pub(super) fn update_fleet_capacity(&mut self, cache: &WatchCache) {
        let Some(types) = &self.types else {
            return;
        };
        let mut capacity = Resources::default();
        for (_, _, machine) in cache.all_machines() {
            let machine_type = types
                .iter()
                .find(|machine_type| machine_type.name == machine.machine_type);
            if let Some(machine_type) = machine_type {
                capacity += machine_type.capacity();
            }
        }
        self.fleet_capacity = capacity;
    }
}

impl Core {
    /// Requests the machine types from the cloud while they are unknown.
    pub(super) fn request_unknown_machine_types(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.store.cache().is_loaded()
            && self.machine_types.types.is_none()
            && self.in_flight.begin_request(now, RequestKind::MachineTypes)
        {
            out.push(Effect::Cloud(CloudRequest::MachineTypes));
        }
    }

    /// Requests the machine types again if the refresh interval has passed. Only the leader calls
    /// this.
    pub(super) fn refresh_machine_types(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let list = &mut self.machine_types;
        if list.types.is_some()
            && now.since(list.last_refresh_at) > MACHINE_TYPE_REFRESH_INTERVAL
            && self.in_flight.begin_request(now, RequestKind::MachineTypes)
        {
            list.last_refresh_at = now;
            out.push(Effect::Cloud(CloudRequest::MachineTypes));
        }
    }

    /// Handles a reply of the cloud. Replies to requests for the machine types are handled here,
    /// all others by the autoscaler.
    pub(super) fn handle_cloud_reply(
        &mut self,
        now: Micros,
        request: CloudRequest,
        reply: CloudReply,
        out: &mut Vec<Effect>,
    ) {
        if request != CloudRequest::MachineTypes {
            self.leader_state
                .autoscaler
                .handle_cloud_reply(now, request, reply);
            return;
        }
        let CloudReply::MachineTypes(types) = reply else {
            // The request is retried after a delay, unless another controller has recorded the
            // list in the store by then.
            self.in_flight
                .finish_after(now, RequestKind::MachineTypes, MACHINE_TYPE_RETRY_DELAY);
            return;
        };
        self.in_flight.finish(RequestKind::MachineTypes);
        self.record_machine_types(&types, out);
        self.machine_types.types = Some(Arc::new(types));
        self.reconcile_with_cache(now, out);
    }

    /// Writes the machine types to the store, unless the same list is already recorded.
    fn record_machine_types(&self, types: &[MachineType], out: &mut Vec<Effect>) {
        let recorded = self.store.cache().types.as_ref();
        let (revision, known) = recorded.map_or(
            (Revision(0), &[][..]),
            |Versioned {
                 revision,
                 record: known,
             }| { (*revision, known.as_slice()) },
        );
        if known == types {
            return;
        }
        out.push(Effect::StoreRequest {
            operation: StoreOperation::MachineTypes,
            request: Request::CompareAndSwap {
                compares: vec![Compare::new(keys::TYPES.into(), revision)],
                mutations: vec![Mutation::put(keys::TYPES.into(), &types)],
            },
            priority: RequestPriority::Normal,
        });
    }
}

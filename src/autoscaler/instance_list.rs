//! The cloud's list of instances, and the machines that its successive versions show as lost.
//!
//! The list is eventually consistent: a version may be older than the previous one.

use crate::clock::Micros;
use crate::cloud::{CloudMachine, CloudReply, CloudRequest};
use crate::ids::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// Minimum interval between two requests for the list.
const LIST_INTERVAL: Micros = Micros::from_millis(3_000);

/// Number of consecutive lists that lack a previously listed machine before it counts as lost. A
/// list may be older than the previous one, so one list is not enough.
const LISTS_UNTIL_LOST: u32 = 2;

/// Number of remembered released machines above which those that are no longer listed are
/// forgotten.
const MAX_RELEASED: usize = 2_000;

/// The instances in the cloud's latest list.
#[derive(Default)]
pub(super) struct InstanceList {
    instances: BTreeMap<MachineId, CloudMachine>,
    is_request_in_flight: bool,
    requested_at: Micros,
    /// For each machine that was listed before and is not in the latest list, the number of
    /// consecutive lists without it.
    absent: BTreeMap<MachineId, u32>,
    /// Machines whose release the cloud has confirmed. An older list may show them again, and
    /// they must not be adopted then.
    released: BTreeSet<MachineId>,
}

impl InstanceList {
    /// Returns the request for the list, if it is due at `now`.
    pub(super) fn next_request(&mut self, now: Micros) -> Option<CloudRequest> {
        if self.is_request_in_flight || now.since(self.requested_at) < LIST_INTERVAL {
            return None;
        }
        self.is_request_in_flight = true;
        self.requested_at = now;
        Some(CloudRequest::Machines)
    }

    /// Returns whether the list was requested at `now`, which is the time of the current step,
    /// and no instance is known yet.
    pub(super) fn is_first_requested_at(&self, now: Micros) -> bool {
        self.instances.is_empty() && self.requested_at == now
    }

    /// Handles the reply to the request for the list. A reply without a list changes nothing.
    pub(super) fn handle_reply(&mut self, reply: CloudReply) {
        self.is_request_in_flight = false;
        let CloudReply::Machines(listed) = reply else {
            return;
        };
        let listed = listed
            .into_iter()
            .map(|instance| (instance.id.clone(), instance))
            .collect();
        let previous = std::mem::replace(&mut self.instances, listed);
        for id in previous.into_keys() {
            if !self.instances.contains_key(&id) {
                self.absent.entry(id).or_default();
            }
        }
        self.absent.retain(|id, _| !self.instances.contains_key(id));
        for list_count in self.absent.values_mut() {
            *list_count += 1;
        }
        if self.released.len() > MAX_RELEASED {
            self.released.retain(|id| self.instances.contains_key(id));
        }
    }

    /// Records that the cloud has confirmed the release of these machines.
    pub(super) fn mark_released(&mut self, machines: Vec<MachineId>) {
        for id in machines {
            self.absent.remove(&id);
            self.instances.remove(&id);
            self.released.insert(id);
        }
    }

    /// Returns an instance, or `None` if the latest list lacks it.
    pub(super) fn get(&self, id: &MachineId) -> Option<&CloudMachine> {
        self.instances.get(id)
    }

    /// Returns the instances of the latest list.
    pub(super) fn iter(&self) -> impl Iterator<Item = &CloudMachine> {
        self.instances.values()
    }

    /// Returns the machines that were listed before and that enough consecutive lists lack.
    pub(super) fn lost(&self) -> impl Iterator<Item = &MachineId> {
        let absent = self.absent.iter();
        absent
            .filter(|(_, list_count)| **list_count >= LISTS_UNTIL_LOST)
            .map(|(id, _)| id)
    }

    /// Returns the machines whose release the cloud has confirmed.
    pub(super) fn released(&self) -> impl Iterator<Item = &MachineId> {
        self.released.iter()
    }

    /// Returns whether the cloud has confirmed the release of a machine.
    pub(super) fn is_released(&self, id: &MachineId) -> bool {
        self.released.contains(id)
    }
}

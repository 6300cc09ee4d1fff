//! The cloud's list of instances, and what its successive versions say.

use crate::clock::Micros;
use crate::cloud::{CloudMachine, CloudReply, CloudRequest};
use crate::ids::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// How often the list is requested.
const LIST_INTERVAL: Micros = Micros::from_millis(3_000);

/// Lists in a row without a machine that was listed before, until it counts as lost. A list
/// may be older than the one before, so one is not enough.
const LISTS_UNTIL_LOST: u32 = 2;

/// So many released machines are remembered before those that are listed no more are forgotten.
const MAX_RELEASED: usize = 2_000;

/// The instances that the cloud listed last.
#[derive(Default)]
pub(super) struct InstanceList {
    instances: BTreeMap<MachineId, CloudMachine>,
    is_request_in_flight: bool,
    requested_at: Micros,
    /// Listed before, and absent from so many lists since.
    absent: BTreeMap<MachineId, u32>,
    /// Released, as the cloud confirmed. A list may be older than the one before: they may be
    /// listed again for a while and are not to be adopted.
    released: BTreeSet<MachineId>,
}

impl InstanceList {
    /// The request for the list, when it is due.
    pub(super) fn next_request(&mut self, now: Micros) -> Option<CloudRequest> {
        if self.is_request_in_flight || now.since(self.requested_at) < LIST_INTERVAL {
            return None;
        }
        self.is_request_in_flight = true;
        self.requested_at = now;
        Some(CloudRequest::Machines)
    }

    /// Whether the list is being requested in this step and nothing is known of it.
    pub(super) fn is_first_requested_at(&self, now: Micros) -> bool {
        self.instances.is_empty() && self.requested_at == now
    }

    /// Takes in the reply to the request for the list.
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
        for lists in self.absent.values_mut() {
            *lists += 1;
        }
        if self.released.len() > MAX_RELEASED {
            self.released.retain(|id| self.instances.contains_key(id));
        }
    }

    /// The cloud has confirmed that these are released.
    pub(super) fn mark_released(&mut self, machines: Vec<MachineId>) {
        for id in machines {
            self.absent.remove(&id);
            self.instances.remove(&id);
            self.released.insert(id);
        }
    }

    /// A listed instance.
    pub(super) fn get(&self, id: &MachineId) -> Option<&CloudMachine> {
        self.instances.get(id)
    }

    /// The listed instances.
    pub(super) fn iter(&self) -> impl Iterator<Item = &CloudMachine> {
        self.instances.values()
    }

    /// Machines that were listed once and have been absent from enough lists since to be lost.
    pub(super) fn lost(&self) -> impl Iterator<Item = &MachineId> {
        let lost = self.absent.iter();
        lost.filter(|(_, lists)| **lists >= LISTS_UNTIL_LOST)
            .map(|(id, _)| id)
    }

    /// The machines whose release the cloud has confirmed.
    pub(super) fn released(&self) -> impl Iterator<Item = &MachineId> {
        self.released.iter()
    }

    /// Whether the cloud has confirmed a machine's release.
    pub(super) fn is_released(&self, id: &MachineId) -> bool {
        self.released.contains(id)
    }
}

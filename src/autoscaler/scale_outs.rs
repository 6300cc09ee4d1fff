//! The scale-outs of one leadership, from their record's write to that of their machines.

use super::offers::{InstanceOffer, OfferBackoff};
use super::pending_capacity::{PendingCapacity, RecentRequests};
use super::{Effect, FleetSnapshot, Write};
use crate::clock::Micros;
use crate::cloud::{CloudReply, CloudRequest, ScaleOutRecord};
use crate::fairness::Resources;
use crate::ids::{MachineId, PartitionId, Revision};
use crate::mesh::PartitionState;
use crate::store::{Compare, Mutation, Reply, Versioned, keys};
use crate::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// How long to wait before a request is repeated whose outcome is unknown.
const RETRY_INTERVAL: Micros = Micros::from_millis(1_500);

/// How far a scale-out is.
#[derive(Debug)]
enum ScaleOutState {
    /// The write of its record is in flight.
    Recording,
    /// Recorded: the cloud is to get the request, for the first time or again, from then on.
    RequestDue(Micros),
    /// The request is in flight.
    Requested,
    /// The cloud has scaled these out; they are yet to be recorded.
    ScaledOut(Vec<MachineId>),
    /// The cloud has refused it; its record is yet to be deleted.
    Refused,
    /// The deletion of its record is in flight.
    Deleting,
}

#[derive(Debug)]
struct ScaleOut {
    record: ScaleOutRecord,
    state: ScaleOutState,
}

impl ScaleOut {
    fn is_refused(&self) -> bool {
        matches!(self.state, ScaleOutState::Refused)
    }
}

/// A scale-out whose machines are yet to be recorded.
pub(super) struct CompletedScaleOut<'a> {
    pub(super) name: &'a String,
    pub(super) record: &'a ScaleOutRecord,
    pub(super) machines: &'a [MachineId],
}

/// The scale-outs under way, and what is remembered to decide on further ones.
pub(super) struct ScaleOuts {
    /// For how long machines are scaled out, by the policy.
    pub(super) horizon: Micros,
    /// The leadership that this state belongs to, by the leader key's revision.
    leader_revision: Revision,
    /// Scale-outs that were named so far. It is not reset with the leadership.
    names_given: u64,
    by_name: BTreeMap<String, ScaleOut>,
    pub(super) backoff: OfferBackoff,
    pub(super) pending_capacity: PendingCapacity,
    pub(super) recent_requests: RecentRequests,
}

impl ScaleOuts {
    /// Nothing under way, before the first leadership.
    pub(super) fn new(horizon: Micros) -> Self {
        ScaleOuts {
            horizon,
            leader_revision: Revision(0),
            names_given: 0,
            by_name: BTreeMap::new(),
            backoff: OfferBackoff::default(),
            pending_capacity: PendingCapacity::default(),
            recent_requests: RecentRequests::default(),
        }
    }

    /// Nothing under way, at the start of a leadership.
    pub(super) fn under_leadership(&self, leader_revision: Revision) -> Self {
        ScaleOuts {
            leader_revision,
            names_given: self.names_given,
            ..ScaleOuts::new(self.horizon)
        }
    }

    /// The leadership that this state belongs to, by the leader key's revision.
    pub(super) fn leader_revision(&self) -> Revision {
        self.leader_revision
    }

    /// How many are under way. Refused ones are not.
    pub(super) fn in_progress(&self) -> usize {
        self.records_in_progress().count()
    }

    /// The records of those that are under way.
    pub(super) fn records_in_progress(&self) -> impl Iterator<Item = &ScaleOutRecord> {
        let in_progress = self.by_name.values().filter(|entry| !entry.is_refused());
        in_progress.map(|entry| &entry.record)
    }

    /// Whether any scale-out in a zone is known, be it refused.
    pub(super) fn is_any_in(&self, zone: &str) -> bool {
        self.by_name.values().any(|entry| entry.record.zone == zone)
    }

    /// Those whose machines are yet to be recorded.
    pub(super) fn completed(&self) -> impl Iterator<Item = CompletedScaleOut<'_>> {
        self.by_name
            .iter()
            .filter_map(|(name, entry)| match &entry.state {
                ScaleOutState::ScaledOut(machines) => Some(CompletedScaleOut {
                    name,
                    record: &entry.record,
                    machines,
                }),
                _ => None,
            })
    }

    /// Scale-outs that an earlier leader recorded are repeated under their names.
    pub(super) fn adopt_recorded(&mut self, now: Micros, cache: &WatchCache) {
        for (name, Versioned { record, .. }) in &cache.scale_outs {
            self.by_name
                .entry(name.clone())
                .or_insert_with(|| ScaleOut {
                    record: record.clone(),
                    state: ScaleOutState::RequestDue(now),
                });
        }
    }

    /// Remembers what lacks room now, and forgets what did long ago.
    pub(super) fn note_capacity_requests(
        &mut self,
        now: Micros,
        partition_states: &BTreeMap<PartitionId, PartitionState>,
    ) {
        self.pending_capacity.expire(now);
        self.recent_requests.expire(now);
        let states = partition_states.values();
        for request in states.flat_map(|state| &state.capacity_requests) {
            self.recent_requests.note(now, request.request);
        }
    }

    /// Sends the requests that are due, and deletes the records of those refused.
    pub(super) fn advance(
        &mut self,
        now: Micros,
        fleet: &FleetSnapshot<'_>,
        effects: &mut Vec<Effect>,
    ) {
        for (name, entry) in &mut self.by_name {
            match entry.state {
                ScaleOutState::RequestDue(due_at) if now >= due_at => {
                    effects.push(Effect::Cloud(CloudRequest::ScaleOut {
                        name: name.clone(),
                        record: entry.record.clone(),
                    }));
                    entry.state = ScaleOutState::Requested;
                }
                ScaleOutState::Refused => {
                    // Only if it is recorded; else there is nothing to delete.
                    if let Some(Versioned { revision, .. }) = fleet.cache.scale_outs.get(name) {
                        entry.state = ScaleOutState::Deleting;
                        effects.push(deletion(fleet.leader, name, *revision));
                    }
                }
                _ => {}
            }
        }
    }

    /// Begins a scale-out: it is recorded before the cloud gets the request.
    pub(super) fn begin(
        &mut self,
        now: Micros,
        leader: &Compare,
        record: ScaleOutRecord,
        capacity: Resources,
    ) -> Effect {
        self.names_given += 1;
        // The leadership's revision is never reused, so neither is the name.
        let name = format!("r-{}-{}", self.leader_revision, self.names_given);
        tracing::info!(
            scale_out = %name,
            partition = %record.partition,
            zone = record.zone,
            machine_type = record.machine_type,
            spot = record.spot,
            machines = record.count,
            "scale-out requested"
        );
        let (partition, count) = (record.partition, record.count);
        self.pending_capacity
            .expect(now, name.clone(), partition, capacity, count);
        let entry = ScaleOut {
            record: record.clone(),
            state: ScaleOutState::Recording,
        };
        self.by_name.insert(name.clone(), entry);
        let key = keys::scale_out(&name);
        Effect::CompareAndSwap {
            compares: vec![leader.clone(), Compare::new(key.clone(), Revision(0))],
            mutations: vec![Mutation::put(key, &record)],
            write: Write::RecordScaleOut { name, record },
        }
    }

    /// Takes in the cloud's reply to a request.
    pub(super) fn handle_cloud_reply(
        &mut self,
        now: Micros,
        name: &str,
        record: &ScaleOutRecord,
        reply: CloudReply,
    ) {
        let Some(entry) = self.by_name.get_mut(name) else {
            return;
        };
        let offer = InstanceOffer::from(record);
        entry.state = match reply {
            CloudReply::ScaledOut(machines) => {
                let count = machines.len() as u32;
                if count < record.count {
                    self.backoff.note_exhausted(now, offer);
                } else {
                    self.backoff.clear(&offer);
                }
                tracing::info!(scale_out = name, machines = count, "scale-out completed");
                self.pending_capacity.confirm(now, name, count);
                ScaleOutState::ScaledOut(machines)
            }
            CloudReply::NoCapacity => {
                self.backoff.note_refusal(now, offer);
                self.pending_capacity.cancel(name);
                ScaleOutState::Refused
            }
            // It may have been carried out: only the same name may be requested again.
            _ => ScaleOutState::RequestDue(now + RETRY_INTERVAL),
        };
    }

    /// Takes in the store's reply to the write of a record.
    pub(super) fn handle_record_reply(&mut self, now: Micros, name: &str, reply: &Reply) {
        if !matches!(reply, Reply::Committed(_)) {
            // The cloud got no request under this name. Should the record still be written,
            // it is found and carried out then.
            self.by_name.remove(name);
        } else if let Some(entry) = self.by_name.get_mut(name) {
            entry.state = ScaleOutState::RequestDue(now);
        }
    }

    /// Takes in the store's reply to the deletion of a record.
    pub(super) fn handle_delete_reply(&mut self, name: &str, reply: &Reply) {
        if matches!(reply, Reply::Committed(_)) {
            self.by_name.remove(name);
        } else if let Some(entry) = self.by_name.get_mut(name) {
            entry.state = ScaleOutState::Refused;
        }
    }

    /// All machines of these are recorded, and their own records deleted.
    pub(super) fn complete(&mut self, names: &[String]) {
        for name in names {
            self.by_name.remove(name);
        }
    }
}

fn deletion(leader: &Compare, name: &str, revision: Revision) -> Effect {
    let key = keys::scale_out(name);
    Effect::CompareAndSwap {
        write: Write::DeleteScaleOut { name: name.into() },
        compares: vec![leader.clone(), Compare::new(key.clone(), revision)],
        mutations: vec![Mutation::delete(key)],
    }
}

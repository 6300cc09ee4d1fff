//! The scale-outs of one leadership, from the write of their records to the write of their
//! machines.

use super::offers::{OfferBackoff, OfferKey};
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

/// Delay before a request whose outcome is unknown is repeated.
const RETRY_INTERVAL: Micros = Micros::from_millis(1_500);

/// Progress of a scale-out.
#[derive(Debug)]
enum ScaleOutState {
    /// The write of the scale-out's record is in flight.
    Recording,
    /// The scale-out is recorded. Its request to the cloud is due at this time, for the first time
    /// or again.
    RequestDue(Micros),
    /// The request to the cloud is in flight.
    Requested,
    /// The cloud has scaled out these machines. They are not recorded yet.
    ScaledOut(Vec<MachineId>),
    /// The cloud has refused the scale-out. Its record is not deleted yet.
    Refused,
    /// The deletion of the scale-out's record is in flight.
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

/// A scale-out that the cloud has completed and whose machines are not recorded yet.
pub(super) struct CompletedScaleOut<'a> {
    pub(super) name: &'a String,
    pub(super) record: &'a ScaleOutRecord,
    pub(super) machines: &'a [MachineId],
}

/// The scale-outs in progress, and the state on which decisions about further ones are based.
pub(super) struct ScaleOuts {
    /// The policy's scale-out horizon. Tasks with a shorter run time get capacity in proportion to
    /// their run time.
    pub(super) horizon: Micros,
    /// Leadership to which this state belongs, identified by the revision of the leader's key.
    leader_revision: Revision,
    /// Number of names allocated to scale-outs so far. A new leadership does not reset it.
    names_allocated: u64,
    by_name: BTreeMap<String, ScaleOut>,
    pub(super) backoff: OfferBackoff,
    pub(super) pending_capacity: PendingCapacity,
    pub(super) recent_requests: RecentRequests,
}

impl ScaleOuts {
    /// Creates the state before the first leadership, without scale-outs.
    pub(super) fn new(horizon: Micros) -> Self {
        ScaleOuts {
            horizon,
            leader_revision: Revision(0),
            names_allocated: 0,
            by_name: BTreeMap::new(),
            backoff: OfferBackoff::default(),
            pending_capacity: PendingCapacity::default(),
            recent_requests: RecentRequests::default(),
        }
    }

    /// Returns the state at the start of a leadership, without scale-outs.
    pub(super) fn for_leadership(&self, leader_revision: Revision) -> Self {
        ScaleOuts {
            leader_revision,
            names_allocated: self.names_allocated,
            ..ScaleOuts::new(self.horizon)
        }
    }

    /// Returns the leadership to which this state belongs, as the revision of the leader's key.
    pub(super) fn leader_revision(&self) -> Revision {
        self.leader_revision
    }

    /// Returns the number of scale-outs in progress. Refused ones are not included.
    pub(super) fn in_progress(&self) -> usize {
        self.records_in_progress().count()
    }

    /// Returns the records of the scale-outs in progress. Refused ones are not included.
    pub(super) fn records_in_progress(&self) -> impl Iterator<Item = &ScaleOutRecord> {
        let in_progress = self.by_name.values().filter(|entry| !entry.is_refused());
        in_progress.map(|entry| &entry.record)
    }

    /// Returns whether there is a scale-out in a zone, refused ones included.
    pub(super) fn has_scale_out_in(&self, zone: &str) -> bool {
        self.by_name.values().any(|entry| entry.record.zone == zone)
    }

    /// Returns the scale-outs that the cloud has completed and whose machines are not recorded yet.
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

    /// Adopts the scale-outs that an earlier leader recorded. They are requested again under the
    /// same names.
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

    /// Records the requests that lack capacity now, and removes expired requests and expired
    /// pending capacity.
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

    /// Sends the requests that are due, and deletes the records of refused scale-outs.
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
                    // Without a record in the cache, there is nothing to delete.
                    if let Some(Versioned { revision, .. }) = fleet.cache.scale_outs.get(name) {
                        entry.state = ScaleOutState::Deleting;
                        effects.push(deletion(fleet.leader, name, *revision));
                    }
                }
                _ => {}
            }
        }
    }

    /// Begins a scale-out. Returns the write that records it. The request is sent to the cloud only
    /// after that write is committed.
    pub(super) fn begin(
        &mut self,
        now: Micros,
        leader: &Compare,
        record: ScaleOutRecord,
        capacity: Resources,
    ) -> Effect {
        self.names_allocated += 1;
        // The revision that identifies a leadership is never reused, so the name is not either.
        let name = format!("r-{}-{}", self.leader_revision, self.names_allocated);
        tracing::info!(
            scale_out = %name,
            partition = %record.partition,
            zone = record.zone,
            machine_type = record.machine_type,
            spot = record.spot,
            machines = record.count,
            "scale-out requested"
        );
        self.pending_capacity
            .add(now, name.clone(), record.clone(), capacity);
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

    /// Handles the cloud's reply to a request. A reply to an unknown scale-out is ignored.
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
        let offer = OfferKey::from(record);
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
            // The cloud may have carried the request out. Only a request under the same name is
            // safe to repeat.
            _ => ScaleOutState::RequestDue(now + RETRY_INTERVAL),
        };
    }

    /// Handles the store's reply to the write of a record.
    pub(super) fn handle_record_reply(&mut self, now: Micros, name: &str, reply: &Reply) {
        if !matches!(reply, Reply::Committed(_)) {
            // The cloud has received no request under this name. If the store carries the write
            // out later, the scale-out is adopted from the cache and requested then.
            self.by_name.remove(name);
        } else if let Some(entry) = self.by_name.get_mut(name) {
            entry.state = ScaleOutState::RequestDue(now);
        }
    }

    /// Handles the store's reply to the deletion of a record.
    pub(super) fn handle_delete_reply(&mut self, name: &str, reply: &Reply) {
        if matches!(reply, Reply::Committed(_)) {
            self.by_name.remove(name);
        } else if let Some(entry) = self.by_name.get_mut(name) {
            entry.state = ScaleOutState::Refused;
        }
    }

    /// Removes scale-outs whose machines are all recorded and whose records are deleted.
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

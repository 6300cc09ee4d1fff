//! Which machines go back to the cloud, and asking it to take them.

use super::*;

/// So many lists without a machine that was listed before.
const GONE_AFTER: u32 = 2;
const MOST_RETURNED: usize = 100;

impl Autoscaler {
    pub(super) fn find_returns(
        &mut self,
        now: Micros,
        cache: &WatchCache,
        types: &[MachineType],
        news: &BTreeMap<PartitionId, PartitionState>,
    ) {
        let fresh: BTreeMap<PartitionId, BTreeSet<&MachineId>> = news
            .iter()
            .filter(|(b, n)| {
                now.since(n.received_at) < Micros::from_millis(4_000)
                    && cache
                        .partition_owners
                        .get(b)
                        .is_some_and(|(_, h)| h.term == n.term)
            })
            .map(|(b, n)| (*b, n.releasable_machines.iter().collect()))
            .collect();
        self.spare_the_heard(cache, &fresh);
        let mut add = |id: &MachineId, why: &str| {
            if !self.returning.contains_key(id) && !self.returned.contains(id) {
                tracing::info!(machine = %id, why, "returning");
                self.returning.insert(id.clone(), Some(now));
            }
        };
        for (b, id, r) in cache.all_machines() {
            if r.release_reason == Some(ReleaseReason::Return) {
                add(id, "idle");
            }
            // What still boots is not silent.
            if fresh.get(&b).is_some_and(|dead| dead.contains(id))
                && self
                    .list
                    .get(id)
                    .is_none_or(|l| l.state != InstanceState::Booting)
            {
                add(id, "silent or failing");
                self.silent.insert(id.clone());
            }
        }
        // Taken by the cloud, most likely. A list may be older than the one before, so
        // one is not enough; that all on it is gone, only the return's answer says.
        for (id, lists) in &self.missing {
            if *lists >= GONE_AFTER && cache.machine(id).is_some() {
                add(id, "no longer listed");
            }
        }
        for m in self.list.values() {
            let boot = types
                .iter()
                .find(|t| t.name == m.machine_type)
                .map_or(60.0, |t| t.boot_s);
            if m.state == InstanceState::Failed {
                add(&m.id, "failed");
            } else if m.state == InstanceState::Booting && m.age_s > boot * 2.5 + 10.0 {
                // It may never come up, and is charged all the while.
                add(&m.id, "not up in time");
            }
        }
    }

    /// Guards against returning machines that came back while the cloud could not be
    /// asked: hung or cut off by the hundred, they were to go for what is over.
    pub(super) fn spare_the_heard(
        &mut self,
        cache: &WatchCache,
        dead: &BTreeMap<PartitionId, BTreeSet<&MachineId>>,
    ) {
        let (returning, out) = (&mut self.returning, &self.return_out);
        self.silent.retain(|id| {
            let waits = matches!(returning.get(id), Some(Some(_))) && !out.contains(id);
            let heard = cache
                .machine(id)
                .and_then(|((b, _), _)| dead.get(&b))
                .is_some_and(|dead| !dead.contains(id));
            if waits && heard {
                tracing::info!(machine = %id, "heard again: not returned");
                returning.remove(id);
            }
            returning.contains_key(id)
        });
    }

    pub(super) fn ask_returns(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if !self.return_out.is_empty() {
            return;
        }
        let due = self
            .returning
            .iter()
            .filter(|(_, at)| at.is_some_and(|at| now >= at));
        let ids: Vec<MachineId> = due.map(|(id, _)| id.clone()).take(MOST_RETURNED).collect();
        if !ids.is_empty() {
            self.return_out = ids.clone();
            out.push(Effect::Cloud(CloudRequest::Release(ids)));
        }
    }
}

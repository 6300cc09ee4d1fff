//! What the state service and the cloud answered.

use super::*;

impl Core {
    pub(super) fn stored(
        &mut self,
        now: Micros,
        tag: StoreOperation,
        reply: &Reply,
        out: &mut Vec<Effect>,
    ) {
        match tag {
            StoreOperation::Membership => {
                let before = self.member.incarnation();
                self.member.handle_reply(now, reply);
                if self.member.incarnation() != before {
                    tracing::info!(incarnation = ?self.member.incarnation(), "membership");
                    self.changed(now, out);
                }
            }
            StoreOperation::LeaderLease => self.leading_lease.handle_reply(now, reply),
            StoreOperation::Candidacy => {
                self.out.remove("candidacy");
            }
            StoreOperation::StepDown => {
                self.out.remove("step_down");
            }
            StoreOperation::PartitionGrants => {
                // Until the cache shows them, the same grants would be tried again.
                if !matches!(reply, Reply::Committed(_)) {
                    self.out.remove("grants");
                } else {
                    self.out
                        .insert("grants", (now + Micros::from_millis(600)).since(OUT_FOR));
                }
            }
            StoreOperation::MachineTypes => {
                self.out.remove("types");
            }
            StoreOperation::HandBackPartition(b, term) => {
                if let Some(h) = self.held.get_mut(&b).filter(|h| h.term == term) {
                    h.handle_hand_back_reply(reply);
                }
            }
            // Until the cache shows it, the same would be written again.
            StoreOperation::FormatLevel if matches!(reply, Reply::Committed(_)) => {}
            StoreOperation::FormatLevel => {
                self.out.remove("format");
            }
            StoreOperation::TeamUsage | StoreOperation::GarbageCollection => {}
            StoreOperation::Zones => {
                if let Some(zones) = &mut self.zones {
                    zones.handle_commit_reply(now, reply);
                }
            }
            StoreOperation::DependencyEnd(id) => {
                self.dependencies.handle_end_read(now, &id, reply);
                self.sync_dependencies(now, out);
            }
            StoreOperation::EndedJobLookup(id) => {
                let asked = self.read_index.ended(id, reply);
                out.extend(asked.into_iter().map(read_index_effect));
            }
            StoreOperation::UnknownJob(b, term, id) => {
                if let Some(h) = self.held.get_mut(&b).filter(|h| h.term == term) {
                    h.handle_ended_job_reply(now, &id, reply);
                }
            }
            StoreOperation::OwnedPartition(b, term, write) => {
                self.ends_stored(&write, reply);
                if let Some(h) = self.held.get_mut(&b).filter(|h| h.term == term) {
                    h.handle_store_reply(now, write, reply);
                }
                self.sync_dependencies(now, out);
            }
            StoreOperation::Autoscaler(leader_revision, write) => {
                // An earlier leadership's answers mean nothing to this one.
                if self
                    .cache
                    .leader
                    .as_ref()
                    .is_some_and(|(s, _)| *s == leader_revision)
                {
                    self.manager.handle_store_reply(now, write, reply);
                }
            }
        }
    }

    /// Ends that the store has confirmed are known without another read.
    pub(super) fn ends_stored(&mut self, write: &partition_owner::Write, reply: &Reply) {
        let (partition_owner::Write::Ends { ends, at, .. }, Reply::Committed(revision)) =
            (write, reply)
        else {
            return;
        };
        for (id, standing) in ends {
            let end = JobEnd::new(*standing, Some(*at), *revision);
            self.dependencies.record_end(id, end);
        }
    }

    pub(super) fn cloud(
        &mut self,
        now: Micros,
        request: CloudRequest,
        reply: CloudReply,
        out: &mut Vec<Effect>,
    ) {
        if request != CloudRequest::MachineTypes {
            self.manager.handle_cloud_reply(now, request, reply);
            return;
        }
        let CloudReply::MachineTypes(types) = reply else {
            // Asked again after a while, or read from the store where another node
            // had more luck.
            self.out
                .insert("types", (now + Micros::from_millis(1_000)).since(OUT_FOR));
            return;
        };
        self.out.remove("types");
        let (revision, old) = self
            .cache
            .types
            .as_ref()
            .map_or((Revision(0), &[][..]), |(s, t)| (*s, t.as_slice()));
        if old != types.as_slice() {
            let mutations = vec![store::put(keys::TYPES.into(), &types)];
            let request = Request::CompareAndSwap {
                compares: vec![compare(keys::TYPES.into(), revision)],
                mutations,
            };
            out.push(Effect::StoreRequest {
                operation: StoreOperation::MachineTypes,
                request,
                priority: RequestPriority::Normal,
            });
        }
        self.types = Some(Arc::new(types));
        self.changed(now, out);
    }
}

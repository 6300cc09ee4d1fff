//! Routing of the store's replies to the components that made the requests.
//!
//! This module makes no decisions. The component that made a request interprets the reply.

use super::Core;
use super::in_flight::RequestKind;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::ids::{PartitionId, Term};
use crate::partition_owner::Write;
use crate::store::Reply;

impl Core {
    /// Passes a reply to the component that made the request.
    pub(super) fn handle_store_reply(
        &mut self,
        now: Micros,
        operation: StoreOperation,
        reply: &Reply,
        out: &mut Vec<Effect>,
    ) {
        match operation {
            StoreOperation::Membership => self.handle_membership_reply(now, reply, out),
            StoreOperation::LeaderLease => self.election.lease_mut().handle_reply(now, reply),
            StoreOperation::Candidacy => self.in_flight.finish(RequestKind::Candidacy),
            StoreOperation::StepDown => self.in_flight.finish(RequestKind::StepDown),
            StoreOperation::PartitionGrants => self.handle_grants_reply(now, reply),
            StoreOperation::MachineTypes => self.in_flight.finish(RequestKind::MachineTypes),
            StoreOperation::FormatLevel => self.handle_format_level_reply(reply),
            StoreOperation::TeamUsage | StoreOperation::GarbageCollection => {}
            StoreOperation::Zones => self.handle_zones_reply(now, reply),
            StoreOperation::DependencyEnd(job) => {
                self.handle_dependency_end_reply(now, &job, reply, out);
            }
            StoreOperation::EndedJobLookup(job) => self.handle_ended_job_reply(job, reply, out),
            StoreOperation::HandBackPartition { partition, term } => {
                if let Some(owned) = self.partitions.in_term(partition, term) {
                    owned.handle_hand_back_reply(reply);
                }
            }
            StoreOperation::UnknownJob {
                partition,
                term,
                job,
            } => {
                if let Some(owned) = self.partitions.in_term(partition, term) {
                    owned.handle_ended_job_reply(now, &job, reply);
                }
            }
            StoreOperation::PartitionWrite {
                partition,
                term,
                write,
            } => {
                self.handle_partition_write_reply(now, partition, term, write, reply);
                self.sync_dependencies(now, out);
            }
            StoreOperation::AutoscalerWrite {
                leader_revision,
                write,
            } => self.handle_autoscaler_reply(now, leader_revision, write, reply),
        }
    }

    fn handle_membership_reply(&mut self, now: Micros, reply: &Reply, out: &mut Vec<Effect>) {
        let before = self.membership.incarnation();
        self.membership.handle_reply(now, reply);
        let incarnation = self.membership.incarnation();
        if incarnation != before {
            tracing::info!(?incarnation, "membership changed");
            self.reconcile_with_cache(now, out);
        }
    }

    fn handle_partition_write_reply(
        &mut self,
        now: Micros,
        partition: PartitionId,
        term: Term,
        write: Write,
        reply: &Reply,
    ) {
        self.dependencies.record_committed_ends(&write, reply);
        if let Some(owned) = self.partitions.in_term(partition, term) {
            owned.handle_store_reply(now, write, reply);
        }
    }
}

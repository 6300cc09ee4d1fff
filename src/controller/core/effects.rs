//! Conversion of the effects of the core's components to effects of the controller.
//!
//! This module holds no state. It adds the operation, the priority and the term to each effect.

use crate::api::read_index;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::ids::{JobId, PartitionId, Term};
use crate::partition_owner;
use crate::store::{Compare, Mutation, Request, RequestPriority, keys};

/// Returns a write with the highest priority, for changes without which no other work is allowed.
pub(super) fn critical_write(
    operation: StoreOperation,
    compares: Vec<Compare>,
    mutations: Vec<Mutation>,
) -> Effect {
    Effect::StoreRequest {
        operation,
        request: Request::CompareAndSwap {
            compares,
            mutations,
        },
        priority: RequestPriority::Critical,
    }
}

/// Returns a read of the record of an ended job.
pub(super) fn read_ended_job(operation: StoreOperation, job: &JobId) -> Effect {
    Effect::StoreRequest {
        operation,
        request: Request::Get {
            key: keys::ended(job),
        },
        priority: RequestPriority::Normal,
    }
}

/// Converts an effect of the read index.
pub(super) fn read_index_effect(effect: read_index::Effect) -> Effect {
    match effect {
        read_index::Effect::AnswerJobLookup(request_id, lookup) => {
            Effect::AnswerJobLookup { request_id, lookup }
        }
        read_index::Effect::ReadEnded(job) => {
            read_ended_job(StoreOperation::EndedJobLookup(job.clone()), &job)
        }
    }
}

/// Converts an effect of an owned partition, and adds the partition's term. Direct commands must
/// not be sent from `send_before` on.
pub(super) fn partition_effect(
    partition: PartitionId,
    term: Term,
    send_before: Micros,
    effect: partition_owner::Effect,
) -> Effect {
    match effect {
        partition_owner::Effect::SendDirectCommand(machine, addr, command) => {
            Effect::SendDirectCommand {
                partition,
                term,
                machine,
                addr,
                command,
                send_before,
            }
        }
        partition_owner::Effect::ReadEnded(job) => {
            let operation = StoreOperation::UnknownJob {
                partition,
                term,
                job: job.clone(),
            };
            read_ended_job(operation, &job)
        }
        partition_owner::Effect::CompareAndSwap(write, compares, mutations) => {
            Effect::StoreRequest {
                priority: write_priority(&write),
                operation: StoreOperation::PartitionWrite {
                    partition,
                    term,
                    write,
                },
                request: Request::CompareAndSwap {
                    compares,
                    mutations,
                },
            }
        }
    }
}

/// Returns the priority of a partition's write. Progress has the lowest, so that other writes go
/// first when the write budget does not suffice for all.
fn write_priority(write: &partition_owner::Write) -> RequestPriority {
    match write {
        partition_owner::Write::Progress { .. } => RequestPriority::Background,
        _ => RequestPriority::Normal,
    }
}

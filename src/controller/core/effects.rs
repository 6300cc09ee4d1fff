//! The effects of a controller's parts, converted to its own.
//!
//! It holds no state; it adds the operation, the priority and the term to each effect.

use crate::api::read_index;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::ids::{JobId, PartitionId, Term};
use crate::partition_owner;
use crate::store::{Compare, Mutation, Request, RequestPriority, keys};

/// A write that goes before all others: without it nothing else may be done.
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

/// A read of the record of an ended job.
pub(super) fn read_ended_job(operation: StoreOperation, job: &JobId) -> Effect {
    Effect::StoreRequest {
        operation,
        request: Request::Get {
            key: keys::ended(job),
        },
        priority: RequestPriority::Normal,
    }
}

/// An effect of the read index.
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

/// An effect of an owned partition under its term. Commands are not sent from `send_before`
/// on.
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

/// Where changes are short, progress waits for all the others.
fn write_priority(write: &partition_owner::Write) -> RequestPriority {
    match write {
        partition_owner::Write::Progress { .. } => RequestPriority::Background,
        _ => RequestPriority::Normal,
    }
}

//! The slices' effects as the controller's.

use super::*;

pub(super) fn vital(
    tag: StoreOperation,
    compares: Vec<store::Compare>,
    mutations: Vec<store::Mutation>,
) -> Effect {
    Effect::StoreRequest {
        operation: tag,
        request: Request::CompareAndSwap {
            compares,
            mutations,
        },
        priority: RequestPriority::Critical,
    }
}

pub(super) fn read_ended(tag: StoreOperation, id: &JobId) -> Effect {
    Effect::StoreRequest {
        operation: tag,
        request: Request::Get {
            key: keys::ended(id),
        },
        priority: RequestPriority::Normal,
    }
}

pub(super) fn read_index_effect(e: read_index::Effect) -> Effect {
    match e {
        read_index::Effect::AnswerJobLookup(request_id, found) => Effect::AnswerJobLookup {
            request_id,
            lookup: found,
        },
        read_index::Effect::ReadEnded(id) => {
            read_ended(StoreOperation::EndedJobLookup(id.clone()), &id)
        }
    }
}

pub(super) fn holder_effect(
    partition: PartitionId,
    term: Term,
    until: Micros,
    e: partition_owner::Effect,
) -> Effect {
    match e {
        partition_owner::Effect::SendDirectCommand(machine, addr, direct) => {
            Effect::SendDirectCommand {
                partition,
                term,
                machine,
                addr,
                command: direct,
                send_before: until,
            }
        }
        partition_owner::Effect::ReadEnded(id) => {
            read_ended(StoreOperation::UnknownJob(partition, term, id.clone()), &id)
        }
        partition_owner::Effect::CompareAndSwap(write, compares, mutations) => {
            Effect::StoreRequest {
                // Where changes are short, progress waits for all the others.
                priority: match write {
                    partition_owner::Write::Progress { .. } => RequestPriority::Background,
                    _ => RequestPriority::Normal,
                },
                operation: StoreOperation::OwnedPartition(partition, term, write),
                request: Request::CompareAndSwap {
                    compares,
                    mutations,
                },
            }
        }
    }
}

//! The slices' effects as the controller's.

use super::*;

pub(super) fn vital(tag: StoreOperation, conds: Vec<store::Cond>, ops: Vec<store::Op>) -> Effect {
    Effect::Store {
        tag,
        request: Request::Txn { conds, ops },
        urgency: Urgency::Vital,
    }
}

pub(super) fn read_ended(tag: StoreOperation, id: &JobId) -> Effect {
    Effect::Store {
        tag,
        request: Request::Get {
            key: keys::ended(id),
        },
        urgency: Urgency::Prompt,
    }
}

pub(super) fn read_index_effect(e: read_index::Effect) -> Effect {
    match e {
        read_index::Effect::Found(ticket, found) => Effect::Found { ticket, found },
        read_index::Effect::ReadEnded(id) => read_ended(StoreOperation::Ended(id.clone()), &id),
    }
}

pub(super) fn holder_effect(
    block: BlockId,
    term: Term,
    until: Micros,
    e: holder::Effect,
) -> Effect {
    match e {
        holder::Effect::Do(machine, addr, direct) => Effect::Do {
            block,
            term,
            machine,
            addr,
            direct,
            until,
        },
        holder::Effect::ReadEnded(id) => {
            read_ended(StoreOperation::UnknownJob(block, term, id.clone()), &id)
        }
        holder::Effect::Txn(write, conds, ops) => Effect::Store {
            // Where changes are short, progress waits for all the others.
            urgency: match write {
                holder::Write::Progress { .. } => Urgency::Spare,
                _ => Urgency::Prompt,
            },
            tag: StoreOperation::Holder(block, term, write),
            request: Request::Txn { conds, ops },
        },
    }
}

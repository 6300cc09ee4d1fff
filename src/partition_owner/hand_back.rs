//! Handing the partition back to the leader, for it to be granted to another controller.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::store::{Compare, Mutation, Reply};

/// A hand-back without an answer is requested again after this.
const HAND_BACK_RETRY_INTERVAL: Micros = Micros::from_millis(6_000);

/// How far handing the partition back has got. From the first request on no command leaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum HandBack {
    /// The partition stays.
    NotRequested,
    /// A request is on its way.
    InFlight {
        sent_at: Micros,
        /// An earlier request had no answer: it may still be carried out.
        earlier_indeterminate: bool,
    },
    /// No request is on its way, but one had no answer and may still be carried out: it has
    /// to be requested again.
    Indeterminate,
}

impl HandBack {
    fn is_requested(self) -> bool {
        self != HandBack::NotRequested
    }

    /// Whether a request is on its way that may still be answered.
    fn awaits_reply(self, now: Micros) -> bool {
        match self {
            HandBack::InFlight { sent_at, .. } => now.since(sent_at) < HAND_BACK_RETRY_INTERVAL,
            HandBack::NotRequested | HandBack::Indeterminate => false,
        }
    }

    fn begin_request(&mut self, now: Micros) {
        *self = HandBack::InFlight {
            sent_at: now,
            // What was in flight for so long may still be carried out.
            earlier_indeterminate: self.is_requested(),
        };
    }

    fn handle_reply(&mut self, reply: &Reply) {
        let HandBack::InFlight {
            earlier_indeterminate,
            ..
        } = *self
        else {
            return;
        };
        *self = match reply {
            // Another owner's already, or soon: the watch will take the partition out.
            Reply::Committed(_) | Reply::Conflict(_) => return,
            // Surely not carried out, and nothing before it can be: it stays ours.
            Reply::Rejected if !earlier_indeterminate => HandBack::NotRequested,
            _ => HandBack::Indeterminate,
        };
    }
}

impl OwnedPartition {
    /// The write by which this owner hands the whole partition back, unless one is in flight.
    /// From now on no command leaves. Guards against answers after the next grant: the next
    /// owner counts a silent worker's lease from there, and our reading of the grant may come
    /// much later.
    pub fn hand_back(&mut self, now: Micros) -> Option<(Vec<Compare>, Vec<Mutation>)> {
        if self.hand_back.awaits_reply(now) {
            return None;
        }
        self.hand_back.begin_request(now);
        let release = self.ownership.release(&self.settings);
        Some((vec![self.ownership.compare()], vec![release]))
    }

    /// Whether the partition is being handed back: requested, and not surely refused.
    pub fn is_being_handed_back(&self) -> bool {
        self.hand_back.is_requested()
    }

    /// Takes in the store's answer to a hand-back.
    pub fn handle_hand_back_reply(&mut self, reply: &Reply) {
        self.hand_back.handle_reply(reply);
    }
}

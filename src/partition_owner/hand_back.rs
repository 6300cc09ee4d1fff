//! Hand-back of the partition to the leader, which can then grant it to another controller.
//!
//! From the first request on, this owner sends no command and no heartbeat response. It resumes
//! only if no request can still be carried out.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::store::{Compare, Mutation, Reply};

/// Time after which an unanswered hand-back is requested again.
const HAND_BACK_RETRY_INTERVAL: Micros = Micros::from_millis(6_000);

/// State of the hand-back. No command is sent unless the state is `NotRequested`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum HandBack {
    /// This controller keeps the partition.
    NotRequested,
    /// A request is in flight.
    InFlight {
        sent_at: Micros,
        /// Whether an earlier request got no reply and may still be carried out.
        earlier_indeterminate: bool,
    },
    /// No request is in flight, but an earlier request got no reply and may still be carried
    /// out. The hand-back has to be requested again.
    Indeterminate,
}

impl HandBack {
    fn is_requested(self) -> bool {
        self != HandBack::NotRequested
    }

    /// Returns whether a request is in flight that has not timed out.
    fn awaits_reply(self, now: Micros) -> bool {
        match self {
            HandBack::InFlight { sent_at, .. } => now.since(sent_at) < HAND_BACK_RETRY_INTERVAL,
            HandBack::NotRequested | HandBack::Indeterminate => false,
        }
    }

    fn begin_request(&mut self, now: Micros) {
        *self = HandBack::InFlight {
            sent_at: now,
            // An earlier request that timed out may still be carried out.
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
            // The owner record has changed. The watch reports that, and the controller then
            // drops the partition.
            Reply::Committed(_) | Reply::Conflict(_) => return,
            // The request was definitely not carried out, and no earlier request can be, so
            // this controller keeps the partition.
            Reply::Rejected if !earlier_indeterminate => HandBack::NotRequested,
            _ => HandBack::Indeterminate,
        };
    }
}

impl OwnedPartition {
    /// Returns the write that hands the partition back, or `None` while one is in flight. From
    /// now on no command and no heartbeat response is sent.
    ///
    /// Guards against heartbeat responses after the next grant: the next owner counts a silent
    /// worker's lease from that grant, and this owner may learn of the grant much later.
    pub fn hand_back(&mut self, now: Micros) -> Option<(Vec<Compare>, Vec<Mutation>)> {
        if self.hand_back.awaits_reply(now) {
            return None;
        }
        self.hand_back.begin_request(now);
        let release = self.ownership.release(&self.settings);
        Some((vec![self.ownership.compare()], vec![release]))
    }

    /// Returns whether the partition is being handed back: the hand-back was requested and may
    /// have been, or may still be, carried out.
    pub fn is_being_handed_back(&self) -> bool {
        self.hand_back.is_requested()
    }

    /// Handles the store's reply to a hand-back.
    pub fn handle_hand_back_reply(&mut self, reply: &Reply) {
        self.hand_back.handle_reply(reply);
    }
}

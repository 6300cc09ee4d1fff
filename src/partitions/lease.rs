//! Client side of a lease in the key-value store: requests for its grant and its renewals.
//!
//! This module decides when to request a grant or a renewal. It must never treat a lease as valid
//! for longer than the store is certain to keep it. Validity counts from when the request was
//! sent, because the store may start the time to live at any moment after that.

use super::request_pacing::{RETRY_INTERVAL, RequestPacing};
use crate::clock::Micros;
use crate::ids::LeaseId;
use crate::store::{Reply, Request};

/// Number of renewals within the lease's time to live.
const RENEWALS_PER_TTL: u64 = 4;

/// The lease of the leader's key. Its time to live may be shorter than that of a member lease:
/// losing it stops only grants and scaling, so another controller may become the leader soon
/// after this one is isolated.
#[derive(Debug)]
pub struct Lease {
    ttl: Micros,
    lease_id: Option<LeaseId>,
    renewed_at: Micros,
    pacing: RequestPacing,
}

impl Lease {
    /// Creates a lease that has not been granted yet. `ttl` is its time to live.
    pub fn new(ttl: Micros) -> Self {
        Lease {
            ttl,
            lease_id: None,
            renewed_at: Micros::ZERO,
            pacing: RequestPacing::default(),
        }
    }

    /// Returns the request that grants or renews the lease, if one is due at `now`. The caller
    /// must send it.
    pub fn next_request(&mut self, now: Micros) -> Option<Request> {
        if !self.pacing.begin(now) {
            return None;
        }
        Some(match self.lease_id {
            Some(lease_id) => Request::RenewLease { lease_id },
            None => Request::GrantLease { ttl: self.ttl },
        })
    }

    /// Handles the store's reply to the request in flight.
    pub fn handle_reply(&mut self, now: Micros, reply: &Reply) {
        let sent_at = self.pacing.finish(now);
        self.pacing.delay_until(now + RETRY_INTERVAL);
        match reply {
            Reply::LeaseGranted(lease_id) => {
                self.lease_id = Some(*lease_id);
                self.renewed_at = sent_at;
            }
            Reply::Acknowledged => {
                self.renewed_at = sent_at;
                self.pacing
                    .delay_until(now + Micros(self.ttl.0 / RENEWALS_PER_TTL));
            }
            Reply::LeaseExpired => {
                self.lease_id = None;
                self.pacing.delay_until(now);
            }
            _ => {}
        }
    }

    /// Returns the lease while it cannot have expired, or `None`. That is three quarters of its
    /// time to live, counted from when the last successful grant or renewal was sent.
    pub fn valid_lease_id(&self, now: Micros) -> Option<LeaseId> {
        let validity = Micros(self.ttl.0 * 3 / 4);
        self.lease_id
            .filter(|_| now.since(self.renewed_at) < validity)
    }
}

#[cfg(test)]
mod tests;

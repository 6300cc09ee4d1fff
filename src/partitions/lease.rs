//! A lease of the key-value store that is kept alive while it is wanted.
//!
//! Owns when to grant and when to renew. It must never count a lease as valid beyond what
//! the store can have agreed to: validity runs from when a request was sent.

use super::request_pacing::{RETRY_INTERVAL, RequestPacing};
use crate::clock::Micros;
use crate::ids::LeaseId;
use crate::store::{Reply, Request};

/// A lease is renewed so many times within its time to live.
const RENEWALS_PER_TTL: u64 = 4;

/// The leader's own lease. It is shorter than a member's: losing it stops only grants and
/// scaling, so another controller may lead soon after this one is isolated.
#[derive(Debug)]
pub struct Lease {
    ttl: Micros,
    lease_id: Option<LeaseId>,
    renewed_at: Micros,
    pacing: RequestPacing,
}

impl Lease {
    /// A lease with this time to live, not granted yet.
    pub fn new(ttl: Micros) -> Self {
        Lease {
            ttl,
            lease_id: None,
            renewed_at: Micros::ZERO,
            pacing: RequestPacing::default(),
        }
    }

    /// The request that keeps the lease alive, if one is due at `now`. The caller sends it.
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

    /// The lease, while it is certain not to have expired: for three quarters of its time
    /// to live after the last renewal was sent.
    pub fn valid_lease_id(&self, now: Micros) -> Option<LeaseId> {
        let validity = Micros(self.ttl.0 * 3 / 4);
        self.lease_id
            .filter(|_| now.since(self.renewed_at) < validity)
    }
}

#[cfg(test)]
mod tests;

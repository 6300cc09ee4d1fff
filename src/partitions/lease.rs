//! A lease of the state service that is kept up while it is wanted.

use crate::clock::Micros;
use crate::ids::LeaseId;
use crate::store::{Reply, Request};

/// The leader's own lease. It is shorter than a member's: losing it stops only
/// granting and renting, so another may lead soon after a cut.
#[derive(Debug)]
pub struct Lease {
    life: Micros,
    lease_id: Option<LeaseId>,
    renewed: Micros,
    out: Option<Micros>,
    not_before: Micros,
}

const AGAIN: Micros = Micros::from_millis(300);

impl Lease {
    /// A lease of this length, not asked for yet.
    pub fn new(life: Micros) -> Self {
        Lease {
            life,
            lease_id: None,
            renewed: Micros::ZERO,
            out: None,
            not_before: Micros::ZERO,
        }
    }

    /// What to ask the store now to keep the lease up.
    pub fn next_request(&mut self, now: Micros) -> Option<Request> {
        if self.out.is_some() || now < self.not_before {
            return None;
        }
        self.out = Some(now);
        Some(match self.lease_id {
            Some(lease_id) => Request::RenewLease { lease_id },
            None => Request::GrantLease { ttl: self.life },
        })
    }

    /// Takes in the store's answer.
    pub fn handle_reply(&mut self, now: Micros, reply: &Reply) {
        let sent = self.out.take().unwrap_or(now);
        self.not_before = now + AGAIN;
        match reply {
            Reply::LeaseGranted(lease_id) => {
                self.lease_id = Some(*lease_id);
                self.renewed = sent;
            }
            Reply::Acknowledged => {
                self.renewed = sent;
                self.not_before = now + Micros(self.life.0 / 4);
            }
            Reply::LeaseExpired => {
                self.lease_id = None;
                self.not_before = now;
            }
            _ => {}
        }
    }

    /// The lease, if it has surely not ended yet.
    pub fn valid_lease_id(&self, now: Micros) -> Option<LeaseId> {
        self.lease_id
            .filter(|_| now.since(self.renewed) < Micros(self.life.0 * 3 / 4))
    }
}

#[cfg(test)]
mod tests;

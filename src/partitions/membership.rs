//! This controller's own membership: its lease, its member key, and until when it may act.
//!
//! Owns the steps from no membership to a registered one, and back after the lease expired.
//! It must never extend the right to act beyond what the store can have agreed to: validity
//! runs from when a request was sent, not from when its reply came.

use super::request_pacing::{RETRY_INTERVAL, RequestPacing};
use super::{FormatLevel, MemberRecord};
use crate::clock::Micros;
use crate::ids::{Label, LeaseId, Revision};
use crate::store::{Compare, KeyValue, Mutation, Reply, Request, keys};

/// A member renews its lease so many times within the lease's time to live.
const RENEWALS_PER_TTL: u64 = 6;

/// How far the registration of this incarnation is.
#[derive(Debug, Clone, PartialEq)]
enum Registration {
    /// Reading the member key that an earlier incarnation may have left.
    ReadingPredecessor,
    /// Revoking the lease of an earlier incarnation.
    RevokingPredecessor(LeaseId),
    /// Being granted a lease.
    GrantingLease,
    /// Writing the member key under the granted lease.
    Registering {
        lease_id: LeaseId,
        granted_at: Micros,
    },
    /// A member.
    Registered {
        lease_id: LeaseId,
        incarnation: Revision,
        renewed_at: Micros,
    },
}

/// This controller's membership.
#[derive(Debug)]
pub struct Membership {
    label: Label,
    addr: String,
    ttl: Micros,
    lease_validity: Micros,
    registration: Registration,
    pacing: RequestPacing,
}

impl Membership {
    /// Not a member yet. `ttl` is the time to live of the member lease, `lease_validity` how
    /// long the controller may act after a renewal or a read of the changes was sent.
    pub fn new(label: Label, addr: String, ttl: Micros, lease_validity: Micros) -> Self {
        Membership {
            label,
            addr,
            ttl,
            lease_validity,
            registration: Registration::ReadingPredecessor,
            pacing: RequestPacing::default(),
        }
    }

    /// The next request to the store, if one is due at `now`. The caller sends it.
    pub fn next_request(&mut self, now: Micros) -> Option<Request> {
        if !self.pacing.begin(now) {
            return None;
        }
        Some(match self.registration {
            Registration::ReadingPredecessor => Request::Get {
                key: keys::member(&self.label),
            },
            Registration::RevokingPredecessor(lease_id) => Request::RevokeLease { lease_id },
            Registration::GrantingLease => Request::GrantLease { ttl: self.ttl },
            Registration::Registering { lease_id, .. } => self.register(lease_id),
            Registration::Registered { lease_id, .. } => Request::RenewLease { lease_id },
        })
    }

    fn register(&self, lease_id: LeaseId) -> Request {
        let record = MemberRecord {
            addr: self.addr.clone(),
            lease_id,
            format: FormatLevel::NEWEST,
        };
        let key = keys::member(&self.label);
        Request::CompareAndSwap {
            compares: vec![Compare::new(key.clone(), Revision(0))],
            mutations: vec![Mutation::put_with_lease(key, &record, lease_id)],
        }
    }

    /// Handles the store's reply to the request in flight.
    pub fn handle_reply(&mut self, now: Micros, reply: &Reply) {
        let sent_at = self.pacing.finish(now);
        match self.registration.after(reply, sent_at) {
            Some(registration) => {
                let is_renewed = matches!(
                    (&self.registration, reply),
                    (Registration::Registered { .. }, Reply::Acknowledged)
                );
                let wait = if is_renewed {
                    Micros(self.ttl.0 / RENEWALS_PER_TTL)
                } else {
                    Micros::ZERO
                };
                self.pacing.delay_until(now + wait);
                self.registration = registration;
            }
            None => self.pacing.delay_until(now + RETRY_INTERVAL),
        }
    }

    /// The revision that names this incarnation, while it is a member.
    pub fn incarnation(&self) -> Option<Revision> {
        match self.registration {
            Registration::Registered { incarnation, .. } => Some(incarnation),
            _ => None,
        }
    }

    /// The lease to which the member key is attached, while it is a member.
    pub fn lease_id(&self) -> Option<LeaseId> {
        match self.registration {
            Registration::Registered { lease_id, .. } => Some(lease_id),
            _ => None,
        }
    }

    /// Until when this controller may act for its partitions. `last_read_at` is when the
    /// newest read of the changes was sent: a controller that renews its lease but does not
    /// receive cancellations must stop as well.
    pub fn may_act_until(&self, last_read_at: Micros) -> Micros {
        match self.registration {
            Registration::Registered { renewed_at, .. } => {
                renewed_at.min(last_read_at) + self.lease_validity
            }
            _ => Micros::ZERO,
        }
    }
}

impl Registration {
    /// The state after the reply to a request sent at `sent_at`; none if the request has to
    /// be retried.
    fn after(&self, reply: &Reply, sent_at: Micros) -> Option<Registration> {
        match (self, reply) {
            (Registration::ReadingPredecessor, Reply::NotFound) => {
                Some(Registration::GrantingLease)
            }
            (Registration::ReadingPredecessor, Reply::Value(row)) => {
                Some(Registration::after_predecessor(row))
            }
            (
                Registration::RevokingPredecessor(_),
                Reply::Acknowledged | Reply::LeaseExpired,
            )
            // The registration is indeterminate, or the key is our own late write: start anew.
            | (
                Registration::Registering { .. },
                Reply::Indeterminate | Reply::Conflict(_) | Reply::LeaseExpired,
            )
            | (Registration::Registered { .. }, Reply::LeaseExpired) => {
                Some(Registration::ReadingPredecessor)
            }
            (Registration::GrantingLease, Reply::LeaseGranted(lease_id)) => {
                Some(Registration::Registering {
                    lease_id: *lease_id,
                    granted_at: sent_at,
                })
            }
            (
                Registration::Registering {
                    lease_id,
                    granted_at,
                },
                Reply::Committed(revision),
            ) => Some(Registration::Registered {
                lease_id: *lease_id,
                incarnation: *revision,
                renewed_at: *granted_at,
            }),
            // From when the renewal was sent: the store may count the lease from then on.
            (
                Registration::Registered {
                    lease_id,
                    incarnation,
                    ..
                },
                Reply::Acknowledged,
            ) => Some(Registration::Registered {
                lease_id: *lease_id,
                incarnation: *incarnation,
                renewed_at: sent_at,
            }),
            _ => None,
        }
    }

    /// The process that registered the key under this label is dead, since this one took its
    /// place: nobody needs to wait until its lease expires.
    fn after_predecessor(row: &KeyValue) -> Registration {
        serde_json::from_value::<MemberRecord>(row.value.clone())
            .map_or(Registration::GrantingLease, |predecessor| {
                Registration::RevokingPredecessor(predecessor.lease_id)
            })
    }
}

#[cfg(test)]
mod tests;

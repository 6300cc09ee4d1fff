//! This controller's own membership: its lease, its member key, and the time until which the
//! controller may act.
//!
//! This module owns the steps from no membership to a registered one, and the return to the first
//! step after the lease has expired. It must never let the controller act for longer than the
//! store is certain to keep the lease: validity counts from when a request was sent, not from when
//! its reply was received.

use super::request_pacing::{RETRY_INTERVAL, RequestPacing};
use super::{FormatLevel, MemberRecord};
use crate::clock::Micros;
use crate::ids::{Label, LeaseId, Revision};
use crate::store::{Compare, KeyValue, Mutation, Reply, Request, keys};

/// Number of renewals within the member lease's time to live.
const RENEWALS_PER_TTL: u64 = 6;

/// Progress of this incarnation's registration as a member.
#[derive(Debug, Clone, PartialEq)]
enum Registration {
    /// The controller reads the member key that an earlier incarnation may have left.
    ReadingPredecessor,
    /// The controller revokes the lease of an earlier incarnation.
    RevokingPredecessor(LeaseId),
    /// The controller requests a lease.
    GrantingLease,
    /// The controller writes its member key, attached to the granted lease.
    Registering {
        lease_id: LeaseId,
        granted_at: Micros,
    },
    /// The controller is a member.
    Registered {
        lease_id: LeaseId,
        incarnation: Revision,
        renewed_at: Micros,
    },
}

/// Membership of this controller, from its registration to the expiry of its lease.
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
    /// Creates the membership of a controller that has not registered yet. `ttl` is the time to
    /// live of the member lease. `lease_validity` is how long the controller may act after it sent
    /// a renewal or a read of the store's changes.
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

    /// Returns the next request to the store, if one is due at `now`. The caller must send it.
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
        match self.registration.after_reply(reply, sent_at) {
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

    /// Returns the revision that identifies this incarnation, or `None` while the controller is
    /// not a member.
    pub fn incarnation(&self) -> Option<Revision> {
        match self.registration {
            Registration::Registered { incarnation, .. } => Some(incarnation),
            _ => None,
        }
    }

    /// Returns the lease to which the member key is attached, or `None` while the controller is
    /// not a member.
    pub fn lease_id(&self) -> Option<LeaseId> {
        match self.registration {
            Registration::Registered { lease_id, .. } => Some(lease_id),
            _ => None,
        }
    }

    /// Returns the time until which this controller may act for its partitions, zero while it is
    /// not a member. `last_read_at` is when the last read of the store's changes was sent. It
    /// counts as well as the last renewal: a controller that renews its lease but does not receive
    /// cancellations must stop acting, too.
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
    /// Returns the state after the reply to a request that was sent at `sent_at`, or `None` if the
    /// request has to be retried.
    fn after_reply(&self, reply: &Reply, sent_at: Micros) -> Option<Registration> {
        match (self, reply) {
            (Registration::ReadingPredecessor, Reply::NotFound) => {
                Some(Registration::GrantingLease)
            }
            (Registration::ReadingPredecessor, Reply::Value(entry)) => {
                Some(Registration::after_predecessor(entry))
            }
            (
                Registration::RevokingPredecessor(_),
                Reply::Acknowledged | Reply::LeaseExpired,
            )
            // The outcome of the registration is unknown, or an earlier attempt of this process
            // has written the key late: start again with reading the key.
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
            // Validity counts from when the renewal was sent: the store may count the time to
            // live from that moment on.
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

    /// Returns the state after the member key of an earlier incarnation was read. The process that
    /// wrote the key is dead, since this process runs under the same label. Its lease is revoked,
    /// so that no member has to wait until the lease expires. Without a readable record, the lease
    /// is unknown and cannot be revoked.
    fn after_predecessor(entry: &KeyValue) -> Registration {
        serde_json::from_value::<MemberRecord>(entry.value.clone())
            .map_or(Registration::GrantingLease, |predecessor| {
                Registration::RevokingPredecessor(predecessor.lease_id)
            })
    }
}

#[cfg(test)]
mod tests;

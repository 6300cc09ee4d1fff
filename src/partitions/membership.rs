//! This controller's own membership: its lease, and how long it may act.

use super::{FormatLevel, MemberRecord};
use crate::clock::Micros;
use crate::ids::{Label, LeaseId, Revision};
use crate::store::{self, Reply, Request, compare, keys};

#[derive(Debug, Clone, PartialEq)]
enum State {
    /// Looking for what an earlier incarnation left.
    Start,
    Ending(LeaseId),
    Leasing,
    Registering {
        lease_id: LeaseId,
        leased: Micros,
    },
    In {
        lease_id: LeaseId,
        incarnation: Revision,
        renewed: Micros,
    },
}

/// This controller's membership.
#[derive(Debug)]
pub struct Membership {
    label: Label,
    addr: String,
    lease: Micros,
    lease_validity: Micros,
    state: State,
    /// When the request that is out was sent.
    out: Option<Micros>,
    not_before: Micros,
}

const AGAIN: Micros = Micros::from_millis(300);

impl Membership {
    /// Not a member yet. `act_for` is how long it may act after a renewal or a reading.
    pub fn new(label: Label, addr: String, lease: Micros, lease_validity: Micros) -> Self {
        Membership {
            label,
            addr,
            lease,
            lease_validity,
            state: State::Start,
            out: None,
            not_before: Micros::ZERO,
        }
    }

    /// What to ask the store now, if anything.
    pub fn next_request(&mut self, now: Micros) -> Option<Request> {
        if self.out.is_some() || now < self.not_before {
            return None;
        }
        let request = match &self.state {
            State::Start => Request::Get {
                key: keys::member(&self.label),
            },
            State::Ending(lease_id) => Request::RevokeLease {
                lease_id: *lease_id,
            },
            State::Leasing => Request::GrantLease { ttl: self.lease },
            State::Registering { lease_id, .. } => {
                let rec = MemberRecord {
                    addr: self.addr.clone(),
                    lease_id: *lease_id,
                    format: FormatLevel::NEWEST,
                };
                let key = keys::member(&self.label);
                Request::CompareAndSwap {
                    compares: vec![compare(key.clone(), Revision(0))],
                    mutations: vec![store::put_with_lease(key, &rec, *lease_id)],
                }
            }
            State::In { lease_id, .. } => Request::RenewLease {
                lease_id: *lease_id,
            },
        };
        self.out = Some(now);
        Some(request)
    }

    /// Takes in the store's answer.
    pub fn handle_reply(&mut self, now: Micros, reply: &Reply) {
        let sent = self.out.take().unwrap_or(now);
        self.not_before = now;
        self.state = match (&self.state, reply) {
            (State::Start, Reply::NotFound) => State::Leasing,
            // The process that registered this is dead, since it was us: nobody
            // needs to wait for its lease.
            (State::Start, Reply::Value(row)) => {
                match serde_json::from_value::<MemberRecord>(row.value.clone()) {
                    Ok(rec) => State::Ending(rec.lease_id),
                    Err(_) => State::Leasing,
                }
            }
            (State::Ending(_), Reply::Acknowledged | Reply::LeaseExpired) => State::Start,
            (State::Leasing, Reply::LeaseGranted(lease_id)) => State::Registering {
                lease_id: *lease_id,
                leased: sent,
            },
            (State::Registering { lease_id, leased }, Reply::Committed(revision)) => State::In {
                lease_id: *lease_id,
                incarnation: *revision,
                renewed: *leased,
            },
            // No answer to the registration, or our own late one: look again.
            (
                State::Registering { .. },
                Reply::Indeterminate | Reply::Conflict(_) | Reply::LeaseExpired,
            ) => State::Start,
            (State::In { .. }, Reply::LeaseExpired) => State::Start,
            (
                State::In {
                    lease_id,
                    incarnation,
                    ..
                },
                Reply::Acknowledged,
            ) => {
                self.not_before = now + Micros(self.lease.0 / 6);
                // From when it was sent: the store may have counted from then on.
                State::In {
                    lease_id: *lease_id,
                    incarnation: *incarnation,
                    renewed: sent,
                }
            }
            (state, _) => {
                self.not_before = now + AGAIN;
                state.clone()
            }
        };
    }

    /// What names this incarnation, while it is a member.
    pub fn incarnation(&self) -> Option<Revision> {
        match self.state {
            State::In { incarnation, .. } => Some(incarnation),
            _ => None,
        }
    }

    /// The lease that its key is attached to.
    pub fn lease_id(&self) -> Option<LeaseId> {
        match self.state {
            State::In { lease_id, .. } => Some(lease_id),
            _ => None,
        }
    }

    /// Until when this controller may act for its partitions. `read` is when the
    /// newest reading of the changes was asked for: whoever renews but does not
    /// hear of cancellations must stop as well.
    pub fn may_act_until(&self, read: Micros) -> Micros {
        match self.state {
            State::In { renewed, .. } => renewed.min(read) + self.lease_validity,
            _ => Micros::ZERO,
        }
    }
}

#[cfg(test)]
mod tests;

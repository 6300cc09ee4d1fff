//! This controller's own membership: its lease, and how long it may act.

use super::MemberRec;
use crate::clock::Micros;
use crate::ids::{Label, Stamp, Tenure};
use crate::store::{self, Reply, Request, cond, keys};

#[derive(Debug, Clone, PartialEq)]
enum State {
    /// Looking for what an earlier incarnation left.
    Start,
    Ending(Tenure),
    Leasing,
    Registering {
        tenure: Tenure,
        leased: Micros,
    },
    In {
        tenure: Tenure,
        incarnation: Stamp,
        renewed: Micros,
    },
}

#[derive(Debug)]
pub struct Member {
    label: Label,
    addr: String,
    lease: Micros,
    act_for: Micros,
    state: State,
    /// When the request that is out was sent.
    out: Option<Micros>,
    not_before: Micros,
}

const AGAIN: Micros = Micros::from_millis(300);

impl Member {
    pub fn new(label: Label, addr: String, lease: Micros, act_for: Micros) -> Self {
        Member {
            label,
            addr,
            lease,
            act_for,
            state: State::Start,
            out: None,
            not_before: Micros::ZERO,
        }
    }

    /// What to ask the store now, if anything.
    pub fn step(&mut self, now: Micros) -> Option<Request> {
        if self.out.is_some() || now < self.not_before {
            return None;
        }
        let request = match &self.state {
            State::Start => Request::Get {
                key: keys::member(&self.label),
            },
            State::Ending(tenure) => Request::EndLease { tenure: *tenure },
            State::Leasing => Request::NewLease { life: self.lease },
            State::Registering { tenure, .. } => {
                let rec = MemberRec {
                    addr: self.addr.clone(),
                    tenure: *tenure,
                };
                let key = keys::member(&self.label);
                Request::Txn {
                    conds: vec![cond(key.clone(), Stamp(0))],
                    ops: vec![store::set_leased(key, &rec, *tenure)],
                }
            }
            State::In { tenure, .. } => Request::Renew { tenure: *tenure },
        };
        self.out = Some(now);
        Some(request)
    }

    pub fn reply(&mut self, now: Micros, reply: &Reply) {
        let sent = self.out.take().unwrap_or(now);
        self.not_before = now;
        self.state = match (&self.state, reply) {
            (State::Start, Reply::Missing) => State::Leasing,
            // The process that registered this is dead, since it was us: nobody
            // needs to wait for its lease.
            (State::Start, Reply::Found(row)) => {
                match serde_json::from_value::<MemberRec>(row.value.clone()) {
                    Ok(rec) => State::Ending(rec.tenure),
                    Err(_) => State::Leasing,
                }
            }
            (State::Ending(_), Reply::Done | Reply::LeaseGone) => State::Start,
            (State::Leasing, Reply::Leased(tenure)) => State::Registering {
                tenure: *tenure,
                leased: sent,
            },
            (State::Registering { tenure, leased }, Reply::Committed(stamp)) => State::In {
                tenure: *tenure,
                incarnation: *stamp,
                renewed: *leased,
            },
            // No answer to the registration, or our own late one: look again.
            (State::Registering { .. }, Reply::Unknown | Reply::Conflict(_) | Reply::LeaseGone) => {
                State::Start
            }
            (State::In { .. }, Reply::LeaseGone) => State::Start,
            (
                State::In {
                    tenure,
                    incarnation,
                    ..
                },
                Reply::Done,
            ) => {
                self.not_before = now + Micros(self.lease.0 / 6);
                // From when it was sent: the store may have counted from then on.
                State::In {
                    tenure: *tenure,
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

    pub fn incarnation(&self) -> Option<Stamp> {
        match self.state {
            State::In { incarnation, .. } => Some(incarnation),
            _ => None,
        }
    }

    pub fn tenure(&self) -> Option<Tenure> {
        match self.state {
            State::In { tenure, .. } => Some(tenure),
            _ => None,
        }
    }

    /// Until when this controller may act for its blocks. `read` is when the
    /// newest reading of the changes was asked for: whoever renews but does not
    /// hear of cancellations must stop as well.
    pub fn acts_until(&self, read: Micros) -> Micros {
        match self.state {
            State::In { renewed, .. } => renewed.min(read) + self.act_for,
            _ => Micros::ZERO,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::store::Row;

    fn member() -> Member {
        Member::new(
            Label::from("c0"),
            "a:1".into(),
            Micros::from_secs(12.0),
            Micros::from_secs(11.0),
        )
    }

    fn join(m: &mut Member, now: Micros) {
        m.step(now).expect("a look");
        m.reply(now, &Reply::Missing);
        m.step(now).expect("a lease");
        m.reply(now, &Reply::Leased(Tenure(7)));
        m.step(now).expect("a registration");
        m.reply(now, &Reply::Committed(Stamp(42)));
    }

    #[test]
    fn a_restart_under_the_same_label_ends_the_old_lease_and_waits_for_nobody() {
        let mut m = member();
        m.step(Micros(1));
        let value = serde_json::json!({"addr": "a:1", "tenure": 3});
        m.reply(
            Micros(2),
            &Reply::Found(Row {
                key: "r/members/c0".into(),
                value,
                stamp: Stamp(9),
            }),
        );
        assert_eq!(
            m.step(Micros(3)),
            Some(Request::EndLease { tenure: Tenure(3) })
        );
        m.reply(Micros(4), &Reply::Done);
        join(&mut m, Micros(5));
        assert_eq!(m.incarnation(), Some(Stamp(42)));
    }

    #[test]
    fn the_lease_counts_from_when_a_renewal_was_sent() {
        let mut m = member();
        let t = Micros::from_secs(1.0);
        join(&mut m, t);
        assert_eq!(m.acts_until(t), Micros::from_secs(12.0));
        m.step(Micros::from_secs(5.0));
        m.reply(Micros::from_secs(7.0), &Reply::Done);
        assert_eq!(
            m.acts_until(Micros::from_secs(30.0)),
            Micros::from_secs(16.0)
        );
        // Without a reading of the changes, the renewal does not help.
        assert_eq!(
            m.acts_until(Micros::from_secs(2.0)),
            Micros::from_secs(13.0)
        );
    }

    #[test]
    fn an_unanswered_renewal_extends_nothing_and_a_lost_lease_ends_the_incarnation() {
        let mut m = member();
        let t = Micros::from_secs(1.0);
        join(&mut m, t);
        m.step(Micros::from_secs(5.0));
        m.reply(Micros::from_secs(7.0), &Reply::Unknown);
        assert_eq!(
            m.acts_until(Micros::from_secs(30.0)),
            Micros::from_secs(12.0)
        );
        m.step(Micros::from_secs(8.0)).expect("again");
        m.reply(Micros::from_secs(8.0), &Reply::LeaseGone);
        assert_eq!(
            (m.incarnation(), m.acts_until(Micros::from_secs(8.0))),
            (None, Micros::ZERO)
        );
    }
}

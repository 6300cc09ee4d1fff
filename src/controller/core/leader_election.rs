//! Leader election: the leader's lease, campaigning for leadership, and stepping down.
//!
//! It records since when there has been no leader and since when this controller leads. It
//! never acts as the leader: every write of the leader needs the [`Compare`] that
//! [`Core::leader_compare`] returns.

use super::Core;
use super::effects::critical_write;
use super::in_flight::RequestKind;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::ids::Revision;
use crate::leader::{self, CandidateState};
use crate::partitions::LeaderRecord;
use crate::partitions::lease::Lease;
use crate::store::{Compare, Mutation, RequestPriority, Versioned, keys};

/// Time to live of the leader's lease, unless that of the member lease is shorter.
const LEADER_LEASE_DURATION: Micros = Micros::from_millis(6_000);

/// The state of leader election as this controller observes it, and its lease as the leader.
#[derive(Debug)]
pub(super) struct LeaderElection {
    /// Lease that only the leader's key is attached to.
    lease: Lease,
    /// When the cache first showed that there is no leader; `None` if there is a leader.
    leaderless_since: Option<Micros>,
    /// When the cache first showed that this controller leads; `None` if it does not lead.
    leading_since: Option<Micros>,
}

impl LeaderElection {
    /// Creates the state of a controller that has not read the store. The leader's lease is at
    /// most as long as the member lease.
    pub(super) fn new(member_lease: Micros) -> Self {
        LeaderElection {
            lease: Lease::new(LEADER_LEASE_DURATION.min(member_lease)),
            leaderless_since: None,
            leading_since: None,
        }
    }

    /// Returns the lease that the leader's key is attached to.
    pub(super) fn lease_mut(&mut self) -> &mut Lease {
        &mut self.lease
    }

    /// Returns when the cache first showed that this controller leads; `None` if it does not
    /// lead.
    pub(super) fn leading_since(&self) -> Option<Micros> {
        self.leading_since
    }

    /// Updates the state after a change of the cache. `has_leader` says whether the cache shows a
    /// leader, and `is_leader` whether this controller is the leader.
    pub(super) fn update(&mut self, now: Micros, has_leader: bool, is_leader: bool) {
        self.leaderless_since = if has_leader {
            None
        } else {
            self.leaderless_since.or(Some(now))
        };
        if is_leader && self.leading_since.is_none() {
            tracing::info!("leadership acquired");
        }
        self.leading_since = is_leader.then(|| self.leading_since.unwrap_or(now));
    }
}

impl Core {
    /// Returns the compare that holds only while this controller leads; `None` if it does not
    /// lead.
    pub(super) fn leader_compare(&self) -> Option<Compare> {
        leader::leadership_compare(
            self.store.cache(),
            &self.configuration.settings.label,
            self.membership.incarnation(),
        )
    }

    /// Renews the leader's lease, campaigns for leadership, or steps down. Returns the compare
    /// that every write of the leader must include; `None` if this controller does not lead or
    /// has just requested to step down.
    pub(super) fn run_leader_election(
        &mut self,
        now: Micros,
        out: &mut Vec<Effect>,
    ) -> Option<Compare> {
        let incarnation = self.membership.incarnation()?;
        self.maintain_leader_lease(now, out);
        if let Some(leaderless_since) = self.election.leaderless_since {
            self.campaign_for_leader(now, incarnation, leaderless_since, out);
            return None;
        }
        if self.end_earlier_leadership(now, incarnation, out) {
            return None;
        }
        let leadership = self.leader_compare()?;
        let has_stepped_down = self.step_down_if_isolated(now, &leadership, out);
        (!has_stepped_down).then_some(leadership)
    }

    fn maintain_leader_lease(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let is_needed = self.election.leaderless_since.is_some() || self.leader_compare().is_some();
        if is_needed && let Some(request) = self.election.lease.next_request(now) {
            out.push(Effect::StoreRequest {
                operation: StoreOperation::LeaderLease,
                request,
                priority: RequestPriority::Critical,
            });
        }
    }

    fn campaign_for_leader(
        &mut self,
        now: Micros,
        incarnation: Revision,
        leaderless_since: Micros,
        out: &mut Vec<Effect>,
    ) {
        let Some(lease_id) = self.election.lease.valid_lease_id(now) else {
            return;
        };
        let label = &self.configuration.settings.label;
        let may_campaign = leader::may_campaign(
            self.store.cache(),
            label,
            incarnation,
            leaderless_since,
            now,
            self.candidate_state(now),
        );
        if !may_campaign || !self.in_flight.begin_request(now, RequestKind::Candidacy) {
            return;
        }
        let compares = vec![
            Compare::new(keys::LEADER.into(), Revision(0)),
            Compare::new(keys::member(label), incarnation),
        ];
        let record = LeaderRecord {
            leader: label.clone(),
            incarnation,
        };
        let mutations = vec![Mutation::put_with_lease(
            keys::LEADER.into(),
            &record,
            lease_id,
        )];
        out.push(critical_write(
            StoreOperation::Candidacy,
            compares,
            mutations,
        ));
    }

    fn candidate_state(&self, now: Micros) -> CandidateState {
        if !self.rebalancing.are_workers_reachable(now) {
            CandidateState::Isolated
        } else if !self.is_isolated_from_peers(now) {
            CandidateState::Connected
        } else if self.partitions.is_empty() {
            CandidateState::Isolated
        } else {
            CandidateState::IsolatedOwner
        }
    }

    /// Ends the leadership of an earlier incarnation of this controller. The process of that
    /// incarnation has ended, because this process has replaced it. Returns whether a request
    /// was sent.
    fn end_earlier_leadership(
        &mut self,
        now: Micros,
        incarnation: Revision,
        out: &mut Vec<Effect>,
    ) -> bool {
        let label = &self.configuration.settings.label;
        let leader = self.store.cache().leader.as_ref();
        let is_earlier =
            |record: &LeaderRecord| record.leader == *label && record.incarnation != incarnation;
        let earlier = leader.filter(|Versioned { record, .. }| is_earlier(record));
        let Some(revision) = earlier.map(|versioned| versioned.revision) else {
            return false;
        };
        self.step_down(now, Compare::new(keys::LEADER.into(), revision), out)
    }

    /// Steps down if this controller is isolated from its peers: such a leader may still reach
    /// the store, but not the members that it leads. Returns whether a request was sent.
    fn step_down_if_isolated(
        &mut self,
        now: Micros,
        leadership: &Compare,
        out: &mut Vec<Effect>,
    ) -> bool {
        let has_stepped_down =
            self.is_isolated_from_peers(now) && self.step_down(now, leadership.clone(), out);
        if has_stepped_down {
            tracing::info!(
                reason = "no peer reachable",
                "leadership step-down requested"
            );
        }
        has_stepped_down
    }

    fn step_down(&mut self, now: Micros, leadership: Compare, out: &mut Vec<Effect>) -> bool {
        let has_begun = self.in_flight.begin_request(now, RequestKind::StepDown);
        if has_begun {
            out.push(critical_write(
                StoreOperation::StepDown,
                vec![leadership],
                vec![Mutation::delete(keys::LEADER.into())],
            ));
        }
        has_begun
    }
}

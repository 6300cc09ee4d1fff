//! Leader election: the leader's lease, standing for leader, and stepping down.
//!
//! It owns how long there has been no leader and how long this controller has led. It never
//! acts as the leader: that takes the [`Compare`] which [`Core::leader_compare`] gives.

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

/// How long the leader's lease lives without a renewal, unless a member's is shorter.
const LEADER_LEASE_DURATION: Micros = Micros::from_millis(6_000);

/// This controller's part in the election of the leader.
#[derive(Debug)]
pub(super) struct LeaderElection {
    /// For the leader's key alone.
    lease: Lease,
    /// Since when the cache has shown no leader.
    leaderless_since: Option<Micros>,
    /// Since when this controller leads.
    leading_since: Option<Micros>,
}

impl LeaderElection {
    /// With a lease no longer than that of a member.
    pub(super) fn new(member_lease: Micros) -> Self {
        LeaderElection {
            lease: Lease::new(LEADER_LEASE_DURATION.min(member_lease)),
            leaderless_since: None,
            leading_since: None,
        }
    }

    /// The lease that the leader's key is attached to.
    pub(super) fn lease_mut(&mut self) -> &mut Lease {
        &mut self.lease
    }

    /// Since when this controller leads, if it does.
    pub(super) fn leading_since(&self) -> Option<Micros> {
        self.leading_since
    }

    /// Takes in what the cache shows of the leader.
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
    /// The condition that this controller still leads; none: it does not lead.
    pub(super) fn leader_compare(&self) -> Option<Compare> {
        leader::leadership_compare(
            self.store.cache(),
            &self.configuration.settings.label,
            self.membership.incarnation(),
        )
    }

    /// Keeps the leader's lease up, stands for leader or steps down. The condition for all
    /// that a leader writes, if this controller leads and keeps leading.
    pub(super) fn run_leader_election(
        &mut self,
        now: Micros,
        out: &mut Vec<Effect>,
    ) -> Option<Compare> {
        let incarnation = self.membership.incarnation()?;
        self.maintain_leader_lease(now, out);
        if let Some(leaderless_since) = self.election.leaderless_since {
            self.stand_for_leader(now, incarnation, leaderless_since, out);
            return None;
        }
        if self.end_earlier_leadership(now, incarnation, out) {
            return None;
        }
        let leader = self.leader_compare()?;
        let has_stepped_down = self.step_down_if_isolated(now, &leader, out);
        (!has_stepped_down).then_some(leader)
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

    fn stand_for_leader(
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
        let is_candidate = leader::may_campaign(
            self.store.cache(),
            label,
            incarnation,
            leaderless_since,
            now,
            self.candidate_state(now),
        );
        if !is_candidate || !self.in_flight.begin_request(now, RequestKind::Candidacy) {
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

    /// Ends the leadership of this controller's earlier incarnation. That process is dead,
    /// since this one took its place. True if the request has begun.
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

    /// An isolated leader still reaches the store, but not those it leads. True if the
    /// request has begun.
    fn step_down_if_isolated(
        &mut self,
        now: Micros,
        leader: &Compare,
        out: &mut Vec<Effect>,
    ) -> bool {
        let has_stepped_down =
            self.is_isolated_from_peers(now) && self.step_down(now, leader.clone(), out);
        if has_stepped_down {
            tracing::info!(
                reason = "no peer reachable",
                "leadership step-down requested"
            );
        }
        has_stepped_down
    }

    fn step_down(&mut self, now: Micros, leader: Compare, out: &mut Vec<Effect>) -> bool {
        let has_begun = self.in_flight.begin_request(now, RequestKind::StepDown);
        if has_begun {
            out.push(critical_write(
                StoreOperation::StepDown,
                vec![leader],
                vec![Mutation::delete(keys::LEADER.into())],
            ));
        }
        has_begun
    }
}

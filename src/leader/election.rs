//! Leader election: which member may campaign, how long it waits while there is no leader, and
//! the compare that proves leadership in every write of the leader.
//!
//! The key-value store decides an election, by a compare-and-swap on the leader's key. The
//! delays here only make it rare that two controllers campaign at once. Safety must not depend
//! on them.

use crate::clock::Micros;
use crate::ids::{Label, Revision};
use crate::store::{Compare, Versioned, keys};
use crate::watch_cache::WatchCache;

/// Difference between the campaign delays of two members that are adjacent in label order.
const CAMPAIGN_STAGGER: Micros = Micros::from_millis(150);
/// Additional campaign delay of a member in the state [`CandidateState::IsolatedOwner`].
const ISOLATED_OWNER_DELAY: Micros = Micros::from_millis(3_000);
/// Additional campaign delay of a member in the state [`CandidateState::Isolated`].
const ISOLATED_DELAY: Micros = Micros::from_millis(4_000);

/// Connectivity of a member that may campaign for leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateState {
    /// The member receives messages from at least one other member, or is the only member.
    Connected,
    /// The member receives no messages from other members, but owns a partition.
    IsolatedOwner,
    /// The member receives no heartbeats from the machines of a partition, or it receives no
    /// messages from other members and owns no partition.
    Isolated,
}

impl CandidateState {
    /// Returns the additional time for which the member waits before it campaigns. An isolated
    /// member may itself be cut off from the network, so it lets the others campaign first. If
    /// all members are isolated, an owner campaigns before the others: only an owner knows which
    /// capacity its partition lacks.
    fn delay(self) -> Micros {
        match self {
            CandidateState::Connected => Micros::ZERO,
            CandidateState::IsolatedOwner => ISOLATED_OWNER_DELAY,
            CandidateState::Isolated => ISOLATED_DELAY,
        }
    }
}

/// Returns whether the member `label` may campaign for leadership at `now`. `leaderless_since`
/// is the time since which the cache has shown no leader. Members campaign in the order of their
/// labels, so two of them rarely campaign at once.
pub fn may_campaign(
    cache: &WatchCache,
    label: &Label,
    incarnation: Revision,
    leaderless_since: Micros,
    now: Micros,
    candidate_state: CandidateState,
) -> bool {
    let is_member = cache
        .members
        .get(label)
        .is_some_and(|versioned| versioned.revision == incarnation);
    if cache.leader.is_some() || !is_member {
        return false;
    }
    let position = cache.members.keys().position(|member| member == label);
    let stagger = Micros(CAMPAIGN_STAGGER.0 * position.unwrap_or(0) as u64);
    now.since(leaderless_since) >= stagger + candidate_state.delay()
}

/// Returns the compare that holds only while this incarnation is the leader, or `None` if the
/// cache shows that it is not the leader.
pub fn leadership_compare(
    cache: &WatchCache,
    label: &Label,
    incarnation: Option<Revision>,
) -> Option<Compare> {
    let Versioned { revision, record } = cache.leader.as_ref()?;
    (record.leader == *label && Some(record.incarnation) == incarnation)
        .then(|| Compare::new(keys::LEADER.into(), *revision))
}

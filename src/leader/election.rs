//! Leader election: who may campaign, after how long without a leader, and the proof of
//! leadership that every write of the leader carries.
//!
//! The key-value store decides an election, by a compare-and-swap on the leader's key. The
//! delays here only make it rare that two controllers campaign at once; nothing must rely
//! on them for safety.

use crate::clock::Micros;
use crate::ids::{Label, Revision};
use crate::store::{Compare, Versioned, keys};
use crate::watch_cache::WatchCache;

/// Each member campaigns so much later than the one before it in the order of labels.
const CAMPAIGN_STAGGER: Micros = Micros::from_millis(150);
/// The further delay of an isolated owner of a partition.
const ISOLATED_OWNER_DELAY: Micros = Micros::from_millis(3_000);
/// The further delay of any other isolated member.
const ISOLATED_DELAY: Micros = Micros::from_millis(4_000);

/// How well a member that could campaign is connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateState {
    /// It receives another member's messages.
    Connected,
    /// It receives no other member's messages, but owns a partition.
    IsolatedOwner,
    /// It receives no other member's messages, or lately no heartbeat of its machines.
    Isolated,
}

impl CandidateState {
    /// An isolated member may be the one behind the cut, so it lets the others campaign
    /// first. But if all are isolated, only an owner knows what its partition lacks.
    fn delay(self) -> Micros {
        match self {
            CandidateState::Connected => Micros::ZERO,
            CandidateState::IsolatedOwner => ISOLATED_OWNER_DELAY,
            CandidateState::Isolated => ISOLATED_DELAY,
        }
    }
}

/// Whether the member `label` may campaign for leadership at `now`, with no leader since
/// `leaderless_since`. Members campaign in the order of their labels, so that two rarely
/// campaign at once.
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

/// The compare that holds only while this incarnation is the leader; none if it is not.
pub fn leadership_compare(
    cache: &WatchCache,
    label: &Label,
    incarnation: Option<Revision>,
) -> Option<Compare> {
    let Versioned { revision, record } = cache.leader.as_ref()?;
    (record.leader == *label && Some(record.incarnation) == incarnation)
        .then(|| Compare::new(keys::LEADER.into(), *revision))
}

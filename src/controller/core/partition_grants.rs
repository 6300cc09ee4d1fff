//! The leader grants partitions without a living owner to members.
//!
//! It decides when grants may be written; which member gets a partition is for `leader` to
//! decide. It never grants what a living member owns.

use super::Core;
use super::effects::critical_write;
use super::in_flight::RequestKind;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::leader;
use crate::store::{Compare, Reply};

/// So long a new leader waits for the other members to join before its first grants.
const INITIAL_JOIN_TIMEOUT: Micros = Micros::from_millis(2_000);
/// Until the cache shows them, the same grants would be tried again.
const COMMITTED_GRANTS_DELAY: Micros = Micros::from_millis(600);

impl Core {
    /// Grants every partition without a living owner, as far as one transaction goes.
    pub(super) fn grant_partitions(
        &mut self,
        now: Micros,
        leader: &Compare,
        out: &mut Vec<Effect>,
    ) {
        let partition_count = self.configuration.partition_count();
        if !self.may_grant_partitions(now, partition_count) {
            return;
        }
        let grants = leader::grant_partitions(
            self.store.cache(),
            leader.clone(),
            &self.configuration.settings,
            partition_count,
            &|label| self.is_member_fit(now, label),
        );
        if let Some((compares, mutations)) = grants
            && self
                .in_flight
                .begin_request(now, RequestKind::PartitionGrants)
        {
            out.push(critical_write(
                StoreOperation::PartitionGrants,
                compares,
                mutations,
            ));
        }
    }

    /// At the very start, and after all members were lost, others are about to join: one
    /// member alone would get what is too much for one.
    fn may_grant_partitions(&self, now: Micros, partition_count: u64) -> bool {
        let cache = self.store.cache();
        let members = cache.members.len();
        let leading_since = self.election.leading_since().unwrap_or(now);
        members >= self.configuration.settings.platform.initial_size
            || !cache.partition_owners.is_empty() && members as u64 >= partition_count
            || now.since(leading_since) > INITIAL_JOIN_TIMEOUT
    }

    /// Takes in the reply to a write of grants.
    pub(super) fn handle_grants_reply(&mut self, now: Micros, reply: &Reply) {
        let kind = RequestKind::PartitionGrants;
        if matches!(reply, Reply::Committed(_)) {
            self.in_flight
                .finish_after(now, kind, COMMITTED_GRANTS_DELAY);
        } else {
            self.in_flight.finish(kind);
        }
    }
}

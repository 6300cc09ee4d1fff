//! Grants by the leader: partitions without a live owner are granted to members.
//!
//! This module decides when grants may be written. The module `leader` decides which member is
//! granted a partition. A partition that a live member owns is never granted.

use super::Core;
use super::effects::critical_write;
use super::in_flight::RequestKind;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::leader;
use crate::store::{Compare, Reply};

/// Time that a new leader waits for the other members to join before its first grants.
const INITIAL_JOIN_TIMEOUT: Micros = Micros::from_millis(2_000);
/// Delay after committed grants before the next grants. Without it, the leader would try to write
/// the same grants again before the cache shows them.
const COMMITTED_GRANTS_DELAY: Micros = Micros::from_millis(600);

impl Core {
    /// Grants the partitions without a live owner, as many as fit into one transaction.
    pub(super) fn grant_partitions(
        &mut self,
        now: Micros,
        leadership: &Compare,
        out: &mut Vec<Effect>,
    ) {
        let partition_count = self.configuration.partition_count();
        if !self.may_grant_partitions(now, partition_count) {
            return;
        }
        let grants = leader::grant_partitions(
            self.store.cache(),
            leadership.clone(),
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

    /// Returns whether grants may be written now. At the first start of the deployment, and after
    /// all members were lost, further members are about to join. If the leader did not wait for
    /// them, a single member would be granted more partitions than it can serve.
    fn may_grant_partitions(&self, now: Micros, partition_count: u64) -> bool {
        let cache = self.store.cache();
        let members = cache.members.len();
        let leading_since = self.election.leading_since().unwrap_or(now);
        members >= self.configuration.settings.platform.initial_size
            || !cache.partition_owners.is_empty() && members as u64 >= partition_count
            || now.since(leading_since) > INITIAL_JOIN_TIMEOUT
    }

    /// Handles the reply to a write of grants.
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

//! The committed states of the zones, as far as a controller may act on them.
//!
//! A record is valid while the leader that committed it leads, and for a limited time afterwards.

use crate::health::ZoneState;
use crate::record::{ZoneRecord, ZonesRecord};
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::{Revision, ZoneId};
use std::collections::BTreeMap;

/// Time for which a record remains valid after its leader has lost the leadership. If zone failover
/// is enabled on the next leader, that leader commits the record anew with its first evaluation.
const ORPHANED_RECORD_TTL: Micros = Micros::from_millis(10_000);

/// The states of the zones that this controller may act on.
#[derive(Debug, Default)]
pub struct ZoneView {
    record: Option<ZonesRecord>,
    /// When this controller learned that the leader of the record no longer leads; `None` while
    /// that leader leads, and if there is no record.
    orphaned_since: Option<Micros>,
}

impl ZoneView {
    /// Updates the view with the contents of the store.
    ///
    /// `record` is `None` if there is no record or if it cannot be read. `leader` is the revision
    /// of the leader's key, or `None` if there is no leader.
    pub fn sync(&mut self, now: Micros, record: Option<&ZonesRecord>, leader: Option<Revision>) {
        let leader_still_leads = record.is_some_and(|record| Some(record.leader) == leader);
        if leader_still_leads || record.is_none() {
            self.orphaned_since = None;
        } else {
            self.orphaned_since = self.orphaned_since.or(Some(now));
        }
        if self.record.as_ref() != record {
            self.record = record.cloned();
        }
    }

    /// Returns the record if it is valid at `now`.
    fn current(&self, now: Micros) -> Option<&ZonesRecord> {
        // Guards against a zone that stays lost for ever: a leader that has zone failover disabled,
        // or runs an earlier version, never replaces the record.
        let is_valid = self
            .orphaned_since
            .is_none_or(|since| now.since(since) < ORPHANED_RECORD_TTL);
        self.record.as_ref().filter(|_| is_valid)
    }

    /// Returns the record of a zone. `None` means that the zone is healthy and was never lost, or
    /// that there is no valid record.
    pub fn zone(&self, now: Micros, id: &ZoneId) -> Option<&ZoneRecord> {
        self.current(now)?.zones.get(id)
    }

    /// Returns the state of a zone. A zone without a record is healthy.
    pub fn state(&self, now: Micros, id: &ZoneId) -> ZoneState {
        self.zone(now, id)
            .map_or(ZoneState::Healthy, |zone| zone.state)
    }

    /// Returns the zones that are not healthy, with their records.
    pub fn unhealthy(&self, now: Micros) -> BTreeMap<ZoneId, ZoneRecord> {
        let zones = self
            .current(now)
            .into_iter()
            .flat_map(|record| &record.zones);
        zones
            .filter(|(_, zone)| zone.state != ZoneState::Healthy)
            .map(|(id, zone)| (id.clone(), zone.clone()))
            .collect()
    }

    /// Returns the zones that were lost and are healthy again, with their records.
    pub fn recovered(&self, now: Micros) -> BTreeMap<ZoneId, ZoneRecord> {
        let zones = self
            .current(now)
            .into_iter()
            .flat_map(|record| &record.zones);
        zones
            .filter(|(_, zone)| zone.state == ZoneState::Healthy && zone.epoch > 0)
            .map(|(id, zone)| (id.clone(), zone.clone()))
            .collect()
    }
}

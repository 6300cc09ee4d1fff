//! What a controller may rely on of the committed zone record.

use crate::health::ZoneState;
use crate::record::{ZoneRecord, ZonesRecord};
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::{Revision, ZoneId};
use std::collections::BTreeMap;

/// After a change of leader, the record of the one before counts for so long: the next one
/// commits it anew with its first evaluation, if it has this subsystem on.
const ORPHANED_RECORD_TTL: Micros = Micros::from_millis(10_000);

/// The zones as this controller may rely on them.
#[derive(Debug, Default)]
pub struct ZoneView {
    record: Option<ZonesRecord>,
    /// Since when the leader that committed it does not lead any more.
    orphaned_since: Option<Micros>,
}

impl ZoneView {
    /// Takes in what was read of the store: the record, as far as it can be read, and the
    /// revision of the leader's key, if there is a leader.
    pub fn sync(&mut self, now: Micros, record: Option<&ZonesRecord>, leader: Option<Revision>) {
        let led = record.is_some_and(|record| Some(record.leader) == leader);
        if led || record.is_none() {
            self.orphaned_since = None;
        } else {
            self.orphaned_since = self.orphaned_since.or(Some(now));
        }
        if self.record.as_ref() != record {
            self.record = record.cloned();
        }
    }

    fn current(&self, now: Micros) -> Option<&ZonesRecord> {
        // Guards against a zone that stays lost for ever: a leader without this subsystem,
        // or of an earlier version, never takes the record back.
        let counts = self
            .orphaned_since
            .is_none_or(|since| now.since(since) < ORPHANED_RECORD_TTL);
        self.record.as_ref().filter(|_| counts)
    }

    /// What is recorded of a zone, if it is not as at the start.
    pub fn zone(&self, now: Micros, id: &ZoneId) -> Option<&ZoneRecord> {
        self.current(now)?.zones.get(id)
    }

    /// The state of a zone.
    pub fn state(&self, now: Micros, id: &ZoneId) -> ZoneState {
        self.zone(now, id)
            .map_or(ZoneState::Healthy, |zone| zone.state)
    }

    /// Zones that are not healthy, with what is recorded of them.
    pub fn troubled(&self, now: Micros) -> BTreeMap<ZoneId, ZoneRecord> {
        let zones = self
            .current(now)
            .into_iter()
            .flat_map(|record| &record.zones);
        zones
            .filter(|(_, zone)| zone.state != ZoneState::Healthy)
            .map(|(id, zone)| (id.clone(), zone.clone()))
            .collect()
    }

    /// Zones that were lost and are healthy again, with what is recorded of them.
    pub fn returned(&self, now: Micros) -> BTreeMap<ZoneId, ZoneRecord> {
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

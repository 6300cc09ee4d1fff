//! The evidence that every controller collects about the zones, and its combination at the
//! leader.

use crate::health::ZoneObservation;
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::{Label, Revision, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The counts that one controller observes for one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneCounts {
    /// The zone that is counted.
    pub zone: ZoneId,
    /// Number of machines in the partitions that the controller owns that have been up.
    pub machines: u32,
    /// Number of those machines whose heartbeats do not arrive.
    pub silent: u32,
    /// Number of other controllers in the zone.
    pub peers: u32,
    /// Number of those controllers whose heartbeats do not arrive.
    pub silent_peers: u32,
    /// Number of displaced tasks and silent machines that wait for a further evacuation wave.
    pub waiting: u32,
}

/// The evidence of one controller about all zones, which it sends to its peers in every gossip
/// round.
///
/// A controller that may itself be isolated sends no counts, because its isolation looks like the
/// loss of every zone but its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEvidence {
    /// The controller that sends the evidence.
    pub from: Label,
    /// The incarnation of that controller.
    pub incarnation: Revision,
    /// Sequence number, which rises with every message of this incarnation.
    pub sequence: u64,
    /// The counts of every zone that the controller has evidence about.
    pub zones: Vec<ZoneCounts>,
}

/// Age at which evidence expires and is ignored.
pub const EVIDENCE_TTL: Micros = Micros::from_millis(3_000);

/// Evidence and the time at which it arrived.
#[derive(Debug)]
struct Received {
    at: Micros,
    evidence: ZoneEvidence,
}

/// The newest evidence of every controller, by its label.
#[derive(Debug, Default)]
pub struct EvidenceTable {
    by_observer: BTreeMap<Label, Received>,
    /// Number of messages that were dropped because they were not newer than the stored evidence.
    outdated: u64,
}

impl EvidenceTable {
    /// Stores the evidence of a message. Drops the message if it is delayed or a duplicate, that
    /// is, not newer than the evidence already stored for its sender.
    pub fn receive(&mut self, now: Micros, evidence: ZoneEvidence) {
        let order = |evidence: &ZoneEvidence| (evidence.incarnation, evidence.sequence);
        let known = self.by_observer.get(&evidence.from);
        if known.is_some_and(|known| order(&known.evidence) >= order(&evidence)) {
            // Guards against messages that a network partition delayed: the zones that they report
            // as down may be up again.
            self.outdated += 1;
            return;
        }
        let received = Received { at: now, evidence };
        self.by_observer
            .insert(received.evidence.from.clone(), received);
    }

    /// Returns how many messages were dropped as delayed or duplicate.
    pub fn outdated(&self) -> u64 {
        self.outdated
    }

    /// Combines the evidence of all controllers that has not expired, by zone.
    pub fn observe(&self, now: Micros) -> BTreeMap<ZoneId, ZoneObservation> {
        let mut observations: BTreeMap<ZoneId, ZoneObservation> = BTreeMap::new();
        let fresh = self
            .by_observer
            .values()
            .filter(|received| now.since(received.at) < EVIDENCE_TTL);
        for counts in fresh.flat_map(|received| &received.evidence.zones) {
            match observations.get_mut(&counts.zone) {
                Some(observation) => observation.add(counts),
                None => {
                    observations.insert(counts.zone.clone(), ZoneObservation::of(counts));
                }
            }
        }
        observations
    }
}

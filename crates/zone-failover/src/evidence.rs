//! What each controller sees of the zones, and the sum of it at the leader.

use crate::health::ZoneObservation;
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::{Label, Revision, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one controller sees of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneCounts {
    /// The zone.
    pub zone: ZoneId,
    /// Machines of the controller's own partitions that have been up.
    pub machines: u32,
    /// Those of them that are silent.
    pub silent: u32,
    /// Other controllers in the zone.
    pub peers: u32,
    /// Those of them whose heartbeats do not arrive.
    pub silent_peers: u32,
    /// Displaced tasks and silent machines that wait for a further wave.
    pub waiting: u32,
}

/// What one controller sees of all zones, sent to its peers every so often.
///
/// A controller that may be cut off itself sends no counts: its own isolation looks like
/// the loss of every zone but its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEvidence {
    /// Who sends it.
    pub from: Label,
    /// Which incarnation of it.
    pub incarnation: Revision,
    /// Rises with each message of this incarnation.
    pub sequence: u64,
    /// The zones that it has evidence about.
    pub zones: Vec<ZoneCounts>,
}

/// Evidence older than this is ignored.
pub const EVIDENCE_TTL: Micros = Micros::from_millis(3_000);

#[derive(Debug)]
struct Received {
    at: Micros,
    evidence: ZoneEvidence,
}

/// The newest evidence of every controller.
#[derive(Debug, Default)]
pub struct EvidenceTable {
    by_observer: BTreeMap<Label, Received>,
    /// Messages that were older than what was known: late or repeated copies.
    outdated: u64,
}

impl EvidenceTable {
    /// Takes a message in, unless it is a late or repeated copy.
    pub fn receive(&mut self, now: Micros, evidence: ZoneEvidence) {
        let order = |evidence: &ZoneEvidence| (evidence.incarnation, evidence.sequence);
        let known = self.by_observer.get(&evidence.from);
        if known.is_some_and(|known| order(&known.evidence) >= order(&evidence)) {
            // Guards against a copy that a cut held back: its zones may be up again.
            self.outdated += 1;
            return;
        }
        let received = Received { at: now, evidence };
        self.by_observer
            .insert(received.evidence.from.clone(), received);
    }

    /// How many messages were dropped as late or repeated copies.
    pub fn outdated(&self) -> u64 {
        self.outdated
    }

    /// What all controllers together see of each zone now.
    pub fn observe(&self, now: Micros) -> BTreeMap<ZoneId, ZoneObservation> {
        let mut all: BTreeMap<ZoneId, ZoneObservation> = BTreeMap::new();
        let fresh = self
            .by_observer
            .values()
            .filter(|received| now.since(received.at) < EVIDENCE_TTL);
        for counts in fresh.flat_map(|received| &received.evidence.zones) {
            match all.get_mut(&counts.zone) {
                Some(observation) => observation.add(counts),
                None => {
                    all.insert(counts.zone.clone(), ZoneObservation::of(counts));
                }
            }
        }
        all
    }
}

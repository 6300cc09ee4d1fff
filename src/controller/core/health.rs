//! Whether users should come here, and which members show signs of life.

use super::*;

/// Without a reading for so long, a controller is unhealthy if a peer has one. Longer than
/// [`STALE`], so that in an outage all have told that they lost the store, too.
const UNHEALTHY_AFTER: Micros = Micros::from_millis(5_500);
pub(super) const SILENT_PEER: Micros = Micros::from_millis(5_000);

impl Core {
    /// Whether users should come here: not while we lack the store and another
    /// node has it. In an outage all lack it, and nobody gains from a removal.
    pub(super) fn healthy(&self, now: Micros) -> bool {
        if !self.cache.loaded {
            return false;
        }
        if now.since(self.read) < UNHEALTHY_AFTER {
            return true;
        }
        let mut fresh = self
            .peers
            .values()
            .filter(|(at, _)| now.since(*at) < Micros::from_millis(3_000))
            .peekable();
        // Without the store and without any peer we can't tell an outage from a cut
        // of our own, and being the odd one out is the likelier.
        let alone = fresh.peek().is_none() && !self.settings.seeds.is_empty();
        !alone && !fresh.any(|(_, n)| n.store_reachable)
    }

    pub(super) fn store_ok(&self, now: Micros) -> bool {
        self.cache.loaded && now.since(self.read) < STALE
    }

    /// Whether a member shows signs of life and hears its workers.
    pub(super) fn fit(&self, now: Micros, label: &Label) -> bool {
        if *label == self.settings.label {
            return now >= self.partitioned_until;
        }
        let joined = self.joined.get(label).map_or(Micros::ZERO, |(_, at)| *at);
        match self.peers.get(label) {
            Some((at, news)) => {
                let able = news.workers_reachable && news.store_reachable;
                now.since((*at).max(joined)) < SILENT_PEER && (able || joined > *at)
            }
            None => now.since(joined) < SILENT_PEER,
        }
    }

    /// Others are members, but none of them is heard: we may be cut off.
    pub(super) fn isolated(&self, now: Micros) -> bool {
        let mut others = self
            .cache
            .members
            .keys()
            .filter(|l| **l != self.settings.label)
            .peekable();
        let since = self.leading_since.unwrap_or(self.started).max(self.started);
        others.peek().is_some()
            && now.since(since) > Micros::from_millis(8_000)
            && others.all(|l| {
                self.peers
                    .get(l)
                    .is_none_or(|(at, _)| now.since(*at) > Micros::from_millis(8_000))
            })
    }
}

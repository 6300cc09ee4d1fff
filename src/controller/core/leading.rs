//! Standing for leader and leading; telling the peers; handing blocks back.

use super::*;
use crate::fleet::manager::FleetSnapshot;
use zone_failover::leader::RentalAccess;

/// So many conditions for each change that a transaction may have.
const CONDS_PER_CHANGE: usize = 4;

impl Core {
    /// The leader clears what ended jobs left behind, a little at a time.
    pub(super) fn tidy(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now.since(self.last_collection) < COLLECT_EVERY {
            return;
        }
        self.last_collection = now;
        let Some(leader) = self.leading() else {
            return;
        };
        let most = (self.settings.most_changes() / 2).min(8);
        let garbage = self.mirror.garbage(most);
        if garbage.is_empty() {
            return;
        }
        // Ids of ended jobs never come back, so these pages are nobody's.
        let mut conds = vec![leader];
        conds.extend(
            garbage
                .iter()
                .map(|(id, _)| cond(keys::job(id), Revision(0))),
        );
        let ops = garbage
            .iter()
            .map(|(id, page)| store::delete(keys::page(id, *page)))
            .collect();
        out.push(Effect::Store {
            tag: StoreOperation::GarbageCollection,
            request: Request::Txn { conds, ops },
            urgency: Urgency::Spare,
        });
    }

    /// Standing for leader, granting, and the fleet.
    pub(super) fn lead(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let label = self.settings.label.clone();
        let Some(incarnation) = self.member.incarnation() else {
            return;
        };
        if (self.leaderless.is_some() || self.leading().is_some())
            && let Some(request) = self.leading_lease.step(now)
        {
            out.push(Effect::Store {
                tag: StoreOperation::LeaderLease,
                request,
                urgency: Urgency::Vital,
            });
        }
        if let Some(since) = self.leaderless {
            let Some(lease_id) = self.leading_lease.alive(now) else {
                return;
            };
            let standing = if now < self.partitioned_until {
                leader::Standing::Isolated
            } else if !self.isolated(now) {
                leader::Standing::Heard
            } else if self.held.is_empty() {
                leader::Standing::Isolated
            } else {
                leader::Standing::IsolatedHolder
            };
            if leader::candidacy(&self.mirror, &label, incarnation, since, now, standing)
                && self.claim(now, "candidacy")
            {
                let conds = vec![
                    cond(keys::LEADER.into(), Revision(0)),
                    cond(keys::member(&label), incarnation),
                ];
                let ops = vec![store::set_leased(
                    keys::LEADER.into(),
                    &LeaderRecord {
                        holder: label.clone(),
                        incarnation,
                    },
                    lease_id,
                )];
                out.push(vital(StoreOperation::Candidacy, conds, ops));
            }
            return;
        }
        let before = self
            .mirror
            .leader
            .as_ref()
            .filter(|(_, r)| r.holder == label && r.incarnation != incarnation)
            .map(|(revision, _)| *revision);
        if let Some(revision) = before
            && self.claim(now, "step_down")
        {
            // Our earlier incarnation led; that process is dead, since it was us.
            let conds = vec![cond(keys::LEADER.into(), revision)];
            out.push(vital(
                StoreOperation::StepDown,
                conds,
                vec![store::delete(keys::LEADER.into())],
            ));
            return;
        }
        let Some(leader_cond) = self.leading() else {
            return;
        };
        if self.isolated(now) && self.claim(now, "step_down") {
            // Behind a cut a leader still reaches the store, but not those it leads.
            tracing::info!("no other member is heard: stepping down");
            out.push(vital(
                StoreOperation::StepDown,
                vec![leader_cond],
                vec![store::delete(keys::LEADER.into())],
            ));
            return;
        }
        let since = self.leading_since.unwrap_or(now);
        let members = self.mirror.members.len();
        let blocks = self.policy.blocks(&self.settings);
        // At the very start, and after an end of all, others are about to join: one
        // member alone would get what is too much for one.
        if members >= self.settings.platform.initial_size
            || !self.mirror.holders.is_empty() && members as u64 >= blocks
            || now.since(since) > Micros::from_millis(2_000)
        {
            let fit = |l: &Label| self.fit(now, l);
            let grants = leader::grants(
                &self.mirror,
                leader_cond.clone(),
                &self.settings,
                blocks,
                &fit,
            );
            if let Some((conds, ops)) = grants
                && self.claim(now, "grants")
            {
                out.push(vital(StoreOperation::Grants, conds, ops));
            }
        }
        self.raise_format(now, &leader_cond, out);
        if let Some(types) = self.types.clone() {
            if now.since(self.last_types) > Micros::from_millis(60_000) && self.claim(now, "types")
            {
                // Spot prices move.
                self.last_types = now;
                out.push(Effect::Cloud(CloudRequest::Types));
            }
            let news = self.all_block_states(now);
            let leader_revision = self.mirror.leader.as_ref().map_or(Revision(0), |(s, _)| *s);
            let zones = self.zones.as_ref();
            let access = |zone: &str| {
                zones.map_or(RentalAccess::Open, |zones| zones.rental_access(now, zone))
            };
            let fleet = FleetSnapshot {
                mirror: &self.mirror,
                leader: &leader_cond,
                seen: self.seen,
                types: &types,
                news: &news,
                access: &access,
            };
            let effects = self.manager.step(now, &fleet);
            self.note_probes(now, &effects);
            for e in effects {
                out.push(match e {
                    manager::Effect::Cloud(request) => Effect::Cloud(request),
                    manager::Effect::Txn(write, conds, ops) => Effect::Store {
                        tag: StoreOperation::Manager(leader_revision, write),
                        request: Request::Txn { conds, ops },
                        urgency: Urgency::Prompt,
                    },
                });
            }
        }
    }

    /// Records the format level that every controller of the deployment has been seen with,
    /// once. Guards against a job that is accepted with others before it while a controller
    /// of an earlier version may still come to hold its block, and would start it at once.
    fn raise_format(&mut self, now: Micros, leader: &store::Cond, out: &mut Vec<Effect>) {
        let known = self.mirror.format_level();
        let seen = |l: &Label| self.formats.get(l).copied().unwrap_or_default();
        let level = self.settings.controllers().map(seen).min();
        let Some(level) = level.filter(|l| *l > known) else {
            return;
        };
        if !self.claim(now, "format") {
            return;
        }
        let revision = self.mirror.format.map_or(Revision(0), |(r, _)| r);
        let mut conds = vec![leader.clone(), cond(keys::FORMAT.into(), revision)];
        // As many controllers as a transaction can name must be as they were seen.
        let most = CONDS_PER_CHANGE * self.settings.most_changes() - conds.len();
        let members = self.settings.controllers().take(most).map(|label| {
            let member = self.mirror.members.get(label);
            cond(keys::member(label), member.map_or(Revision(0), |m| m.0))
        });
        conds.extend(members);
        tracing::info!(
            level = level.0,
            "every controller has been seen with this format level"
        );
        let ops = vec![store::set(keys::FORMAT.into(), &FormatRecord { level })];
        out.push(vital(StoreOperation::Format, conds, ops));
    }

    /// The newest word on every block, our own included.
    fn all_block_states(&self, now: Micros) -> BTreeMap<BlockId, BlockState> {
        let mut all: BTreeMap<BlockId, BlockState> = BTreeMap::new();
        let theirs = self.peers.values().flat_map(|(at, n)| {
            n.blocks.iter().map(move |b| BlockState {
                at: *at,
                ..b.clone()
            })
        });
        for n in theirs.chain(self.own_block_states(now)) {
            if all
                .get(&n.block)
                .is_none_or(|o| (o.term, o.at) < (n.term, n.at))
            {
                all.insert(n.block, n);
            }
        }
        all
    }

    fn own_block_states(&self, now: Micros) -> Vec<BlockState> {
        let news = |h: &Holder| BlockState {
            at: now,
            block: h.block,
            term: h.term,
            needs: self.needs.get(&h.block).cloned().unwrap_or_default(),
            dead: h.dead(now),
        };
        self.held.values().map(news).collect()
    }

    fn peer_state(&self, now: Micros, blocks: Vec<BlockState>) -> Effect {
        Effect::Mesh(Message::PeerState(PeerState {
            from: self.settings.label.clone(),
            incarnation: self.member.incarnation().unwrap_or_default(),
            store_ok: self.store_ok(now),
            hears_workers: now >= self.partitioned_until,
            blocks,
        }))
    }

    /// Whether the peers are to be told something now; if so, next after a while.
    fn telling_is_due(&mut self, now: Micros) -> bool {
        let due = now.since(self.last_told) >= TELL_EVERY;
        if due {
            self.last_told = now;
        }
        due
    }

    /// Tells the peers that we are there, and nothing of the blocks. Guards against an
    /// outage of the store in which all controllers stop acting, think that they are alone,
    /// and turn unhealthy: users were not even refused.
    pub(super) fn tell_alive(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.telling_is_due(now) {
            out.push(self.peer_state(now, Vec::new()));
        }
    }

    /// Tells the peers, gives up what is idle, and writes the sums.
    pub(super) fn tell(&mut self, now: Micros, day: Micros, out: &mut Vec<Effect>) {
        if !self.telling_is_due(now) {
            return;
        }
        let fleet = self.fleet;
        self.needs = self
            .held
            .iter()
            .map(|(b, h)| (*b, h.needs(now, day, fleet)))
            .collect();
        let blocks = self.own_block_states(now);
        for n in blocks.iter().filter(|n| !n.dead.is_empty()) {
            if let Some(h) = self.held.get_mut(&n.block) {
                h.condemn(&n.dead);
            }
        }
        out.push(self.peer_state(now, blocks));
        out.extend(self.zone_evidence(now));
        let all = self.all_block_states(now);
        let until = self.member.acts_until(self.read);
        for (b, h) in &mut self.held {
            let others: Vec<Need> = all
                .iter()
                .filter(|(o, n)| *o != b && now.since(n.at) < Micros::from_millis(3_000))
                .flat_map(|(_, n)| n.needs.iter().cloned())
                .collect();
            let own = self.needs.get(b).map(Vec::as_slice).unwrap_or_default();
            if let Some(e) = h.give_up(now, &self.mirror, own, &others) {
                out.push(holder_effect(*b, h.term, until, e));
            }
        }
        if now.since(self.last_sums) >= SUMS_EVERY {
            self.last_sums = now;
            let mut sums = BTreeMap::new();
            for h in self.held.values_mut() {
                h.log_use(now);
                sums.extend(h.sums(fleet));
            }
            let ops = vec![store::set(keys::sums(&self.settings.label), &sums)];
            let request = Request::Txn { conds: vec![], ops };
            out.push(Effect::Store {
                tag: StoreOperation::Sums,
                request,
                urgency: Urgency::Spare,
            });
        }
    }

    /// Hands blocks back: all if we hear no machine, one if others hold fewer.
    pub(super) fn resign(&mut self, now: Micros, out: &mut Vec<Effect>) {
        // Guards against a block stuck with a holder that hears neither its machines
        // nor any peer: that others are in, the store says, too.
        let alone = self.mirror.members.len() < 2;
        if !alone && self.held.values().any(|h| h.partitioned(now)) {
            if now >= self.partitioned_until {
                tracing::info!("none of our machines is heard: handing our blocks back");
            }
            self.partitioned_until = now + Micros::from_millis(30_000);
            if self.claim(now, "hand back") {
                self.hand_back(now, |_| true, out);
            }
            return;
        }
        // What was asked for without an answer must be settled one way or the other.
        self.hand_back(now, Holder::resigns, out);
        let others = self
            .mirror
            .members
            .keys()
            .filter(|l| **l != self.settings.label);
        let counts: Vec<usize> = others
            .filter(|l| self.fit(now, l) && self.peers.contains_key(*l))
            .map(|l| {
                self.mirror
                    .holders
                    .values()
                    .filter(|(_, r)| r.holder == *l && self.mirror.holder_alive(r))
                    .count()
            })
            .collect();
        let Some(least) = counts.iter().min() else {
            return;
        };
        let settled = self
            .held
            .values()
            .all(|h| !h.recovery() && now.since(h.granted) > Micros::from_millis(5_000));
        if self.held.len() >= least + 2
            && settled
            && now.since(self.last_resign) > Micros::from_millis(10_000)
        {
            self.last_resign = now;
            if let Some(last) = self.held.keys().next_back().copied() {
                tracing::info!(block = %last, "another member holds fewer blocks: handing one over");
                self.hand_back(now, |h| h.block == last, out);
            }
        }
    }

    fn hand_back(&mut self, now: Micros, which: impl Fn(&Holder) -> bool, out: &mut Vec<Effect>) {
        for h in self.held.values_mut().filter(|h| which(h)) {
            if let Some((conds, ops)) = h.resign(now) {
                out.push(vital(StoreOperation::Resign(h.block, h.term), conds, ops));
            }
        }
    }
}

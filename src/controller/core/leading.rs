//! Standing for leader and leading; telling the peers; handing partitions back.

use super::*;
use crate::autoscaler::FleetSnapshot;
use zone_failover::leader::ScaleOutAccess;

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
        let most = (self.settings.max_mutations() / 2).min(8);
        let garbage = self.cache.garbage(most);
        if garbage.is_empty() {
            return;
        }
        // Ids of ended jobs never come back, so these pages are nobody's.
        let mut compares = vec![leader];
        compares.extend(
            garbage
                .iter()
                .map(|(id, _)| compare(keys::job(id), Revision(0))),
        );
        let mutations = garbage
            .iter()
            .map(|(id, page)| store::delete(keys::progress_page(id, *page)))
            .collect();
        out.push(Effect::StoreRequest {
            operation: StoreOperation::GarbageCollection,
            request: Request::CompareAndSwap {
                compares,
                mutations,
            },
            priority: RequestPriority::Background,
        });
    }

    /// Standing for leader, granting, and the fleet.
    pub(super) fn lead(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let label = self.settings.label.clone();
        let Some(incarnation) = self.member.incarnation() else {
            return;
        };
        if (self.leaderless.is_some() || self.leading().is_some())
            && let Some(request) = self.leading_lease.next_request(now)
        {
            out.push(Effect::StoreRequest {
                operation: StoreOperation::LeaderLease,
                request,
                priority: RequestPriority::Critical,
            });
        }
        if let Some(since) = self.leaderless {
            let Some(lease_id) = self.leading_lease.valid_lease_id(now) else {
                return;
            };
            let candidate_state = if now < self.partitioned_until {
                leader::CandidateState::Isolated
            } else if !self.isolated(now) {
                leader::CandidateState::Connected
            } else if self.held.is_empty() {
                leader::CandidateState::Isolated
            } else {
                leader::CandidateState::IsolatedOwner
            };
            if leader::candidacy(
                &self.cache,
                &label,
                incarnation,
                since,
                now,
                candidate_state,
            ) && self.claim(now, "candidacy")
            {
                let compares = vec![
                    compare(keys::LEADER.into(), Revision(0)),
                    compare(keys::member(&label), incarnation),
                ];
                let mutations = vec![store::put_with_lease(
                    keys::LEADER.into(),
                    &LeaderRecord {
                        leader: label.clone(),
                        incarnation,
                    },
                    lease_id,
                )];
                out.push(vital(StoreOperation::Candidacy, compares, mutations));
            }
            return;
        }
        let before = self
            .cache
            .leader
            .as_ref()
            .filter(|(_, r)| r.leader == label && r.incarnation != incarnation)
            .map(|(revision, _)| *revision);
        if let Some(revision) = before
            && self.claim(now, "step_down")
        {
            // Our earlier incarnation led; that process is dead, since it was us.
            let compares = vec![compare(keys::LEADER.into(), revision)];
            out.push(vital(
                StoreOperation::StepDown,
                compares,
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
        let members = self.cache.members.len();
        let partitions = self.policy.partition_count(&self.settings);
        // At the very start, and after an end of all, others are about to join: one
        // member alone would get what is too much for one.
        if members >= self.settings.platform.initial_size
            || !self.cache.partition_owners.is_empty() && members as u64 >= partitions
            || now.since(since) > Micros::from_millis(2_000)
        {
            let fit = |l: &Label| self.fit(now, l);
            let grants = leader::grants(
                &self.cache,
                leader_cond.clone(),
                &self.settings,
                partitions,
                &fit,
            );
            if let Some((compares, mutations)) = grants
                && self.claim(now, "grants")
            {
                out.push(vital(StoreOperation::PartitionGrants, compares, mutations));
            }
        }
        self.raise_format(now, &leader_cond, out);
        if let Some(types) = self.types.clone() {
            if now.since(self.last_types) > Micros::from_millis(60_000) && self.claim(now, "types")
            {
                // Spot prices move.
                self.last_types = now;
                out.push(Effect::Cloud(CloudRequest::MachineTypes));
            }
            let news = self.all_partition_states(now);
            let leader_revision = self.cache.leader.as_ref().map_or(Revision(0), |(s, _)| *s);
            let zones = self.zones.as_ref();
            let access = |zone: &str| {
                zones.map_or(ScaleOutAccess::Open, |zones| zones.rental_access(now, zone))
            };
            let fleet = FleetSnapshot {
                cache: &self.cache,
                leader: &leader_cond,
                applied_revision: self.seen,
                machine_types: &types,
                partition_states: &news,
                scale_out_access: &access,
            };
            let effects = self.manager.step(now, &fleet);
            self.note_probes(now, &effects);
            for e in effects {
                out.push(match e {
                    autoscaler::Effect::Cloud(request) => Effect::Cloud(request),
                    autoscaler::Effect::CompareAndSwap {
                        write,
                        compares,
                        mutations,
                    } => Effect::StoreRequest {
                        operation: StoreOperation::Autoscaler(leader_revision, write),
                        request: Request::CompareAndSwap {
                            compares,
                            mutations,
                        },
                        priority: RequestPriority::Normal,
                    },
                });
            }
        }
    }

    /// Records the format level that every controller of the deployment has been seen with,
    /// once. Guards against a job that is accepted with others before it while a controller
    /// of an earlier version may still come to hold its partition, and would start it at once.
    fn raise_format(&mut self, now: Micros, leader: &store::Compare, out: &mut Vec<Effect>) {
        let known = self.cache.format_level();
        let seen = |l: &Label| self.formats.get(l).copied().unwrap_or_default();
        let level = self.settings.controllers().map(seen).min();
        let Some(level) = level.filter(|l| *l > known) else {
            return;
        };
        if !self.claim(now, "format") {
            return;
        }
        let revision = self.cache.format.map_or(Revision(0), |(r, _)| r);
        let mut compares = vec![leader.clone(), compare(keys::FORMAT.into(), revision)];
        // As many controllers as a transaction can name must be as they were seen.
        let most = CONDS_PER_CHANGE * self.settings.max_mutations() - compares.len();
        let members = self.settings.controllers().take(most).map(|label| {
            let member = self.cache.members.get(label);
            compare(keys::member(label), member.map_or(Revision(0), |m| m.0))
        });
        compares.extend(members);
        tracing::info!(
            level = level.0,
            "every controller has been seen with this format level"
        );
        let mutations = vec![store::put(keys::FORMAT.into(), &FormatRecord { level })];
        out.push(vital(StoreOperation::FormatLevel, compares, mutations));
    }

    /// The newest word on every partition, our own included.
    fn all_partition_states(&self, now: Micros) -> BTreeMap<PartitionId, PartitionState> {
        let mut all: BTreeMap<PartitionId, PartitionState> = BTreeMap::new();
        let theirs = self.peers.values().flat_map(|(at, n)| {
            n.partitions.iter().map(move |b| PartitionState {
                received_at: *at,
                ..b.clone()
            })
        });
        for n in theirs.chain(self.own_partition_states(now)) {
            if all
                .get(&n.partition)
                .is_none_or(|o| (o.term, o.received_at) < (n.term, n.received_at))
            {
                all.insert(n.partition, n);
            }
        }
        all
    }

    fn own_partition_states(&self, now: Micros) -> Vec<PartitionState> {
        let news = |h: &OwnedPartition| PartitionState {
            received_at: now,
            partition: h.id,
            term: h.term,
            capacity_requests: self.needs.get(&h.id).cloned().unwrap_or_default(),
            releasable_machines: h.releasable_machines(now),
        };
        self.held.values().map(news).collect()
    }

    fn peer_state(&self, now: Micros, partitions: Vec<PartitionState>) -> Effect {
        Effect::Mesh(Message::PeerState(PeerState {
            sender: self.settings.label.clone(),
            incarnation: self.member.incarnation().unwrap_or_default(),
            store_reachable: self.store_ok(now),
            workers_reachable: now >= self.partitioned_until,
            partitions,
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

    /// Tells the peers that we are there, and nothing of the partitions. Guards against an
    /// outage of the store in which all controllers stop acting, think that they are alone,
    /// and turn unhealthy: users were not even refused.
    pub(super) fn tell_alive(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.telling_is_due(now) {
            out.push(self.peer_state(now, Vec::new()));
        }
    }

    /// Tells the peers, gives up what is idle, and writes the sums.
    pub(super) fn tell(&mut self, now: Micros, wall_clock: Micros, out: &mut Vec<Effect>) {
        if !self.telling_is_due(now) {
            return;
        }
        let fleet = self.fleet;
        self.needs = self
            .held
            .iter()
            .map(|(b, h)| (*b, h.capacity_requests(now, wall_clock, fleet)))
            .collect();
        let partitions = self.own_partition_states(now);
        for n in partitions
            .iter()
            .filter(|n| !n.releasable_machines.is_empty())
        {
            if let Some(h) = self.held.get_mut(&n.partition) {
                h.cordon(&n.releasable_machines);
            }
        }
        out.push(self.peer_state(now, partitions));
        out.extend(self.zone_evidence(now));
        let all = self.all_partition_states(now);
        let until = self.member.may_act_until(self.read);
        for (b, h) in &mut self.held {
            let others: Vec<CapacityRequest> = all
                .iter()
                .filter(|(o, n)| *o != b && now.since(n.received_at) < Micros::from_millis(3_000))
                .flat_map(|(_, n)| n.capacity_requests.iter().cloned())
                .collect();
            let own = self.needs.get(b).map(Vec::as_slice).unwrap_or_default();
            if let Some(e) = h.release_idle_machines(now, &self.cache, own, &others) {
                out.push(holder_effect(*b, h.term, until, e));
            }
        }
        if now.since(self.last_sums) >= SUMS_EVERY {
            self.last_sums = now;
            let mut sums = BTreeMap::new();
            for h in self.held.values_mut() {
                h.log_usage(now);
                sums.extend(h.team_heaviness(fleet));
            }
            let mutations = vec![store::put(keys::team_usage(&self.settings.label), &sums)];
            let request = Request::CompareAndSwap {
                compares: vec![],
                mutations,
            };
            out.push(Effect::StoreRequest {
                operation: StoreOperation::TeamUsage,
                request,
                priority: RequestPriority::Background,
            });
        }
    }

    /// Hands partitions back: all if we hear no machine, one if others hold fewer.
    pub(super) fn resign(&mut self, now: Micros, out: &mut Vec<Effect>) {
        // Guards against a partition stuck with an owner that hears neither its machines
        // nor any peer: that others are in, the store says, too.
        let alone = self.cache.members.len() < 2;
        if !alone && self.held.values().any(|h| h.is_isolated(now)) {
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
        self.hand_back(now, OwnedPartition::is_being_handed_back, out);
        let others = self
            .cache
            .members
            .keys()
            .filter(|l| **l != self.settings.label);
        let counts: Vec<usize> = others
            .filter(|l| self.fit(now, l) && self.peers.contains_key(*l))
            .map(|l| {
                self.cache
                    .partition_owners
                    .values()
                    .filter(|(_, r)| r.owner == *l && self.cache.is_owner_alive(r))
                    .count()
            })
            .collect();
        let Some(least) = counts.iter().min() else {
            return;
        };
        let settled = self
            .held
            .values()
            .all(|h| !h.is_recovering() && now.since(h.granted_at) > Micros::from_millis(5_000));
        if self.held.len() >= least + 2
            && settled
            && now.since(self.last_resign) > Micros::from_millis(10_000)
        {
            self.last_resign = now;
            if let Some(last) = self.held.keys().next_back().copied() {
                tracing::info!(partition = %last, "another member holds fewer blocks: handing one over");
                self.hand_back(now, |h| h.id == last, out);
            }
        }
    }

    fn hand_back(
        &mut self,
        now: Micros,
        which: impl Fn(&OwnedPartition) -> bool,
        out: &mut Vec<Effect>,
    ) {
        for h in self.held.values_mut().filter(|h| which(h)) {
            if let Some((compares, mutations)) = h.hand_back(now) {
                out.push(vital(
                    StoreOperation::HandBackPartition(h.id, h.term),
                    compares,
                    mutations,
                ));
            }
        }
    }
}

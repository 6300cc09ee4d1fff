//! What was read of the store, and what follows from it: the partitions held, the dependency
//! graph, and what the users' side is told.

use super::*;

impl Core {
    pub(super) fn changes(
        &mut self,
        now: Micros,
        log: Vec<WatchEvent>,
        revision: u64,
        sent: Micros,
        out: &mut Vec<Effect>,
    ) {
        self.read = sent;
        let quiet = log.is_empty();
        let (mut jobs, mut machines, mut pages) = (Vec::new(), Vec::new(), Vec::new());
        let mut others = false;
        for change in log {
            match self.cache.apply_event(change) {
                CacheChange::Job(id) => jobs.push(id),
                CacheChange::Shard(b, shard) => machines.push((b, shard)),
                CacheChange::ProgressPage(id, page) => pages.push((id, page)),
                CacheChange::PartitionOwner(_) | CacheChange::Other => others = true,
            }
        }
        self.seen = Revision(revision.max(self.seen.0));
        for id in &jobs {
            self.dependencies.reconcile_job(now, id, &self.cache.jobs);
        }
        self.answer_reading(sent, out);
        if quiet {
            return;
        }
        // Grants first: a partition that is no longer ours must not be told of jobs.
        if others || !machines.is_empty() {
            self.changed(now, out);
        }
        let types = self.types.clone().unwrap_or_default();
        for h in self.held.values_mut() {
            for id in &jobs {
                h.reconcile_job(id, &self.cache);
            }
            for (id, page) in &pages {
                h.reconcile_progress_page(id, *page, &self.cache);
            }
            let partition = h.id;
            for (_, shard) in machines.iter().filter(|(b, _)| *b == partition) {
                h.reconcile_shard(now, *shard, &self.cache, &types, false);
            }
        }
        self.stop_cancelled();
        self.sync_dependencies(now, out);
    }

    pub(super) fn answer_reading(&mut self, sent: Micros, out: &mut Vec<Effect>) {
        let asked = self
            .read_index
            .reading(sent, &self.cache, &self.dependencies);
        out.extend(asked.into_iter().map(read_index_effect));
    }

    /// The held partitions learn what changed in the dependency graph, and ends that it lacks
    /// are read.
    pub(super) fn sync_dependencies(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let changed = self.dependencies.refresh(&self.cache.jobs);
        if std::mem::take(&mut self.dependencies_unsynced) || changed {
            for h in self.held.values_mut() {
                h.update_dependencies(&self.dependencies);
            }
        }
        let reads = self.dependencies.take_end_reads(now);
        let read = |id: JobId| read_ended(StoreOperation::DependencyEnd(id.clone()), &id);
        out.extend(reads.into_iter().map(read));
    }

    /// After the cache or our membership changed: what we hold, and the view.
    pub(super) fn changed(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if let Some((_, t)) = &self.cache.types
            && self.types.as_ref().is_none_or(|old| **old != *t)
        {
            self.types = Some(Arc::new(t.clone()));
        }
        for (label, (revision, member)) in &self.cache.members {
            self.formats.insert(label.clone(), member.format);
            if self.joined.get(label).is_none_or(|(s, _)| s != revision) {
                self.joined.insert(label.clone(), (*revision, now));
            }
        }
        self.leaderless = if self.cache.leader.is_some() {
            None
        } else {
            self.leaderless.or(Some(now))
        };
        let leading = self.leading().is_some();
        if leading && self.leading_since.is_none() {
            tracing::info!("leading");
        }
        self.leading_since = leading.then(|| self.leading_since.unwrap_or(now));
        let ours = |rec: &crate::partitions::PartitionOwnerRecord| {
            rec.owner == self.settings.label && Some(rec.incarnation) == self.member.incarnation()
        };
        let cache = &self.cache;
        self.held.retain(|b, h| {
            let keep = cache
                .partition_owners
                .get(b)
                .is_some_and(|(_, rec)| ours(rec) && rec.term == h.term);
            if !keep {
                tracing::info!(partition = %b, term = %h.term, "block is no longer ours");
            }
            keep
        });
        if let Some(types) = self.types.clone() {
            for (b, (revision, rec)) in &self.cache.partition_owners {
                if ours(rec) && !self.held.contains_key(b) {
                    tracing::info!(partition = %b, term = %rec.term, "block is ours");
                    let mut h =
                        OwnedPartition::new(*b, rec, *revision, &self.settings, &self.policy, now);
                    h.fail_over(now, &self.cache, &types);
                    self.held.insert(*b, h);
                    self.dependencies_unsynced = true;
                }
            }
            let mut fleet = Resources::default();
            for (_, _, m) in self.cache.all_machines() {
                if let Some(t) = types.iter().find(|t| t.name == m.machine_type) {
                    fleet += t.capacity();
                }
            }
            self.fleet = fleet;
        }
        if let Some(zones) = &mut self.zones {
            zones.sync(now, &self.cache);
        }
        self.sync_zones(now);
        self.publish(now, out);
    }

    pub(super) fn publish(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.last_publish = now;
        let s = &self.settings;
        let partitions = self.policy.partition_count(s);
        let teams = (0..s.platform.teams.len())
            .map(|t| {
                let b = leader::block_of(&self.cache, s, partitions, t);
                let rec = self.cache.partition_owners.get(&b);
                rec.map_or((b, Revision(0), Term(0)), |(revision, rec)| {
                    (b, *revision, rec.term)
                })
            })
            .collect();
        let view = ApiView {
            types: self.types.clone(),
            teams,
            healthy: self.healthy(now),
            format: self.cache.format_level(),
        };
        if view != *self.view {
            self.view = Arc::new(view);
            out.push(Effect::PublishView(self.view.clone()));
        }
    }
}

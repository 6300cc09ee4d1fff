//! All of a controller's decisions, told the time and spoken to by messages.
//!
//! It composes the slices' cores; it knows no socket and reads no clock.

mod effects;
mod health;
mod leading;
mod readings;
mod replies;
mod zones;

use crate::api::ports::{ApiView, HeartbeatAnswer};
use crate::api::read_index::{self, ReadIndex};
use crate::autoscaler::{self, Autoscaler, MachineTypes};
use crate::clock::Micros;
use crate::cloud::{CloudReply, CloudRequest};
use crate::controller::messages::{DirectAnswer, Effect, Input, StoreOperation};
use crate::fairness::Resources;
use crate::ids::{JobId, Label, PartitionId, Revision, Term};
use crate::jobs::dependencies::{DependencyGraph, JobEnd};
use crate::leader;
use crate::mesh::{Message, PartitionState, PeerState};
use crate::partition_owner::{self, OwnedPartition};
use crate::partitions::lease::Lease;
use crate::partitions::membership::Membership;
use crate::partitions::{FormatLevel, FormatRecord, LeaderRecord};
use crate::placement::CapacityRequest;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::store::{self, Reply, Request, RequestPriority, WatchEvent, compare, keys};
use crate::subsystems::Subsystems;
use crate::watch_cache::{CacheChange, WatchCache};
use crate::workers::Heartbeat;
use crate::zones::ZoneFailover;
use effects::{holder_effect, read_ended, read_index_effect, vital};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

/// A controller's state and all of its decisions.
pub struct Core {
    settings: Rc<Settings>,
    policy: Rc<Policy>,
    cache: WatchCache,
    /// The store's revision that the cache has reached, and when the reading
    /// that reached it was asked for.
    seen: Revision,
    read: Micros,
    member: Membership,
    /// For the leader's key alone.
    leading_lease: Lease,
    manager: Autoscaler,
    held: BTreeMap<PartitionId, OwnedPartition>,
    read_index: ReadIndex,
    dependencies: DependencyGraph,
    /// A partition has come to us, and its jobs know nothing of the graph yet.
    dependencies_unsynced: bool,
    /// The newest format that each controller was seen with.
    formats: BTreeMap<Label, FormatLevel>,
    types: Option<MachineTypes>,
    peers: BTreeMap<Label, (Micros, PeerState)>,
    joined: BTreeMap<Label, (Revision, Micros)>,
    /// Cancelled at revisions that our reading has not reached.
    cancelled: BTreeSet<(Revision, JobId)>,
    /// When it was last seen that there is no leader.
    leaderless: Option<Micros>,
    leading_since: Option<Micros>,
    out: BTreeMap<&'static str, Micros>,
    started: Micros,
    partitioned_until: Micros,
    last_told: Micros,
    last_sums: Micros,
    last_types: Micros,
    last_resign: Micros,
    last_publish: Micros,
    last_collection: Micros,
    fleet: Resources,
    view: Arc<ApiView>,
    needs: BTreeMap<PartitionId, Vec<CapacityRequest>>,
    /// None: zone failover is off.
    zones: Option<ZoneFailover>,
}

const LEADER_LEASE: Micros = Micros::from_millis(6_000);
const TELL_EVERY: Micros = Micros::from_millis(700);
const SUMS_EVERY: Micros = Micros::from_millis(10_000);
const PUBLISH_EVERY: Micros = Micros::from_millis(250);
const COLLECT_EVERY: Micros = Micros::from_millis(3_000);
/// Without a reading of the store for so long, questions are refused at once.
const STALE: Micros = Micros::from_millis(3_000);
/// Cancellations that are remembered until our reading has come so far.
const MOST_CANCELLED: usize = 4_096;
/// A single request of a kind that was never answered is given up after this.
const OUT_FOR: Micros = Micros::from_millis(6_000);

impl Core {
    /// A controller that has just started and knows nothing of the store.
    pub fn new(settings: Rc<Settings>, policy: Rc<Policy>, now: Micros) -> Self {
        let member = Membership::new(
            settings.label.clone(),
            settings.mesh_addr.to_string(),
            settings.lease(),
            settings.lease_validity(),
        );
        Core {
            leading_lease: Lease::new(LEADER_LEASE.min(settings.lease())),
            manager: Autoscaler::new(&settings, &policy),
            settings,
            policy,
            cache: WatchCache::default(),
            seen: Revision(0),
            read: Micros::ZERO,
            member,
            held: BTreeMap::new(),
            read_index: ReadIndex::default(),
            dependencies: DependencyGraph::default(),
            dependencies_unsynced: false,
            formats: BTreeMap::new(),
            types: None,
            peers: BTreeMap::new(),
            joined: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            leaderless: None,
            leading_since: None,
            out: BTreeMap::new(),
            started: now,
            partitioned_until: Micros::ZERO,
            last_told: Micros::ZERO,
            last_sums: now,
            last_types: Micros::ZERO,
            last_resign: Micros::ZERO,
            last_publish: Micros::ZERO,
            last_collection: Micros::ZERO,
            fleet: Resources::default(),
            view: Arc::default(),
            needs: BTreeMap::new(),
            zones: None,
        }
    }

    /// The same with the subsystems that are on.
    pub fn with_subsystems(mut self, subsystems: &Subsystems) -> Self {
        let on = subsystems.zone_failover.as_ref();
        self.zones = on.map(|config| ZoneFailover::new(config.clone(), &self.settings));
        self
    }

    fn acting(&self, now: Micros) -> bool {
        // Outside its lease an owner must not act: another may hold the partition.
        now < self.member.may_act_until(self.read)
    }

    /// Takes one message in and says what is to be done. `now` is the steady clock, `day` the time of day.
    pub fn handle(&mut self, now: Micros, wall_clock: Micros, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.tick(now, wall_clock, &mut out),
            Input::Loaded {
                entries: rows,
                revision,
                requested_at: sent,
            } => {
                self.cache.load(rows);
                self.seen = Revision(revision);
                self.read = sent;
                // Guards against a picture made anew under the same term: its tokens
                // and attempts would repeat, and copies of old reports would count.
                let before: Vec<PartitionId> = self.held.keys().copied().collect();
                self.dependencies.reload(now, &self.cache.jobs);
                self.changed(now, &mut out);
                let types = self.types.clone().unwrap_or_default();
                for b in before {
                    if let Some(h) = self.held.get_mut(&b) {
                        h.reload(now, &self.cache, &types);
                    }
                }
                self.stop_cancelled();
                self.dependencies_unsynced = true;
                self.sync_dependencies(now, &mut out);
                self.answer_reading(sent, &mut out);
            }
            Input::Changes {
                events: log,
                revision,
                requested_at: sent,
            } => self.changes(now, log, revision, sent, &mut out),
            Input::StoreReply {
                operation: tag,
                reply,
            } => self.stored(now, tag, &reply, &mut out),
            Input::Heartbeat {
                heartbeat: report,
                request_id,
            } => {
                let answer = self.check_in(now, wall_clock, &report);
                out.push(Effect::AnswerHeartbeat { request_id, answer });
            }
            Input::JobLookup { id, request_id } => {
                // Without a reading of late there is none to wait for.
                let hopeful = self.cache.loaded && now.since(self.read) < STALE;
                let asked = self.read_index.ask(now, id, request_id, hopeful);
                out.extend(asked.map(read_index_effect));
            }
            Input::DirectCommandReply {
                partition,
                term,
                machine,
                answer,
            } => {
                if let Some(h) = self.held.get_mut(&partition).filter(|h| h.term == term) {
                    match answer {
                        DirectAnswer::Heartbeat(r) => {
                            h.handle_direct_command_reply(now, &machine, Some(r))
                        }
                        DirectAnswer::Indeterminate => {
                            h.handle_direct_command_reply(now, &machine, None)
                        }
                        DirectAnswer::NotSent => h.handle_direct_command_not_sent(now, &machine),
                    }
                }
            }
            Input::CloudReply { request, reply } => self.cloud(now, request, reply, &mut out),
            Input::Mesh(message) => self.hear(now, message),
            Input::Cancelled { job, revision } => {
                self.dependencies.record_end(&job, JobEnd::Cancelled);
                self.sync_dependencies(now, &mut out);
                self.cancelled(job.clone(), revision);
                out.push(Effect::Mesh(Message::Cancelled { job, revision }));
            }
        }
        out
    }

    /// Takes a peer's message in.
    pub fn hear(&mut self, now: Micros, message: Message) {
        match message {
            Message::PeerState(news) => {
                self.peers.insert(news.sender.clone(), (now, news));
            }
            Message::Cancelled { job, revision } => self.cancelled(job, revision),
            Message::ZoneEvidence(evidence) => {
                if let Some(zones) = &mut self.zones {
                    zones.record_evidence(now, evidence);
                }
            }
        }
    }

    /// The store has cancelled a job: nothing more of it starts here, whether or not
    /// our reading has come so far. Until it has, the job may still come to a partition of
    /// ours, so it is remembered.
    fn cancelled(&mut self, job: JobId, revision: Revision) {
        if revision <= self.seen {
            return;
        }
        self.cancelled.insert((revision, job));
        while self.cancelled.len() > MOST_CANCELLED {
            self.cancelled.pop_first();
        }
        self.stop_cancelled();
    }

    fn stop_cancelled(&mut self) {
        let seen = self.seen;
        self.cancelled.retain(|(revision, _)| *revision > seen);
        for (_, job) in &self.cancelled {
            for h in self.held.values_mut() {
                h.cancel_job(job);
            }
        }
    }

    /// Decisions and writes of the held partitions. Not after each message: what many
    /// messages changed is decided once.
    fn drive(&mut self, now: Micros, wall_clock: Micros, out: &mut Vec<Effect>) {
        let fleet = self.fleet;
        let until = self.member.may_act_until(self.read);
        for (b, h) in &mut self.held {
            h.tick(now, wall_clock, fleet);
            let term = h.term;
            let mut effects = h.take_direct_commands(now);
            effects.extend(h.take_writes(now, wall_clock));
            effects.extend(h.take_ended_job_reads(now));
            effects.extend(h.record_used_machines(now, &self.cache));
            out.extend(
                effects
                    .into_iter()
                    .map(|e| holder_effect(*b, term, until, e)),
            );
        }
    }

    fn check_in(&mut self, now: Micros, wall_clock: Micros, r: &Heartbeat) -> HeartbeatAnswer {
        // Not recorded in a partition, or given up: nobody may answer with a token. A
        // report alone never makes a machine one of ours: it may be a late copy.
        let found = self.cache.machine(&r.machine);
        let Some(((b, _), _)) = found.filter(|(_, m)| m.release_reason.is_none()) else {
            return HeartbeatAnswer::Unavailable;
        };
        let Some((_, rec)) = self.cache.partition_owners.get(&b) else {
            return HeartbeatAnswer::Unavailable;
        };
        if rec.owner != self.settings.label {
            let alive = self.cache.is_owner_alive(rec);
            return if alive {
                HeartbeatAnswer::Redirect(rec.owner.clone())
            } else {
                HeartbeatAnswer::Unavailable
            };
        }
        let until = self.member.may_act_until(self.read);
        if now >= until {
            return HeartbeatAnswer::Unavailable;
        }
        let fleet = self.fleet;
        let orders = self
            .held
            .get_mut(&b)
            .and_then(|h| h.handle_heartbeat(now, wall_clock, fleet, until, r));
        orders.map_or(HeartbeatAnswer::Unavailable, HeartbeatAnswer::Accepted)
    }

    /// One request of a kind at a time; a kind that hangs is freed in the end.
    fn claim(&mut self, now: Micros, kind: &'static str) -> bool {
        if self
            .out
            .get(kind)
            .is_some_and(|at| now.since(*at) < OUT_FOR)
        {
            return false;
        }
        self.out.insert(kind, now);
        true
    }

    fn tick(&mut self, now: Micros, wall_clock: Micros, out: &mut Vec<Effect>) {
        if let Some(request) = self.member.next_request(now) {
            out.push(Effect::StoreRequest {
                operation: StoreOperation::Membership,
                request,
                priority: RequestPriority::Critical,
            });
        }
        if now.since(self.last_publish) >= PUBLISH_EVERY {
            self.publish(now, out);
        }
        out.extend(
            self.read_index
                .expire(now)
                .into_iter()
                .map(read_index_effect),
        );
        self.sync_dependencies(now, out);
        if self.cache.loaded && self.types.is_none() && self.claim(now, "types") {
            out.push(Effect::Cloud(CloudRequest::MachineTypes));
        }
        if !self.acting(now) {
            self.tell_alive(now, out);
            return;
        }
        self.sync_zones(now);
        self.lead(now, out);
        self.lead_zones(now, wall_clock, out);
        self.drive(now, wall_clock, out);
        self.tell(now, wall_clock, out);
        self.resign(now, out);
        self.tidy(now, out);
    }

    /// Machines that were compared with a class of work so far: what passes cost.
    pub fn machines_compared(&self) -> usize {
        self.held.values().map(|h| h.machines_compared).sum()
    }

    fn leading(&self) -> Option<store::Compare> {
        leader::as_leader(&self.cache, &self.settings.label, self.member.incarnation())
    }
}

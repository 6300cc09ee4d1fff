//! All of a controller's decisions, told the time and spoken to by messages.
//!
//! It composes the slices' cores; it knows no socket and reads no clock.

mod leading;

use crate::api::read_index::{self, ReadIndex};
use crate::blocks::holder::{self, Holder};
use crate::blocks::lease::Lease;
use crate::blocks::member::Member;
use crate::blocks::{FormatLevel, FormatRecord, LeaderRecord, leader};
use crate::clock::Micros;
use crate::controller::messages::{Answer, DirectAnswer, Effect, Input, StoreOperation, View};
use crate::fairness::Resources;
use crate::fleet::manager::{self, Manager, Types};
use crate::fleet::{CloudReply, CloudRequest};
use crate::ids::{BlockId, JobId, Label, Revision, Term};
use crate::jobs::Standing;
use crate::jobs::dependencies::{DependencyGraph, JobEnd};
use crate::mesh::{BlockState, Message, PeerState};
use crate::placement::Need;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::store::mirror::{Mirror, Touched};
use crate::store::{self, Change, Reply, Request, Urgency, cond, keys};
use crate::workers::Report;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

/// A controller's state and all of its decisions.
pub struct Core {
    settings: Rc<Settings>,
    policy: Rc<Policy>,
    mirror: Mirror,
    /// The store's revision that the mirror has reached, and when the reading
    /// that reached it was asked for.
    seen: Revision,
    read: Micros,
    member: Member,
    /// For the leader's key alone.
    leading_lease: Lease,
    manager: Manager,
    held: BTreeMap<BlockId, Holder>,
    read_index: ReadIndex,
    dependencies: DependencyGraph,
    /// A block has come to us, and its jobs know nothing of the graph yet.
    dependencies_unsynced: bool,
    /// The newest format that each controller was seen with.
    formats: BTreeMap<Label, FormatLevel>,
    types: Option<Types>,
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
    view: Arc<View>,
    needs: BTreeMap<BlockId, Vec<Need>>,
}

const LEADER_LEASE: Micros = Micros::from_millis(6_000);
const TELL_EVERY: Micros = Micros::from_millis(700);
const SUMS_EVERY: Micros = Micros::from_millis(10_000);
const PUBLISH_EVERY: Micros = Micros::from_millis(250);
const COLLECT_EVERY: Micros = Micros::from_millis(3_000);
/// Without a reading of the store for so long, questions are refused at once.
const STALE: Micros = Micros::from_millis(3_000);
/// Without a reading for so long, a controller is unhealthy if a peer has one. Longer than
/// [`STALE`], so that in an outage all have told that they lost the store, too.
const UNHEALTHY_AFTER: Micros = Micros::from_millis(5_500);
const SILENT_PEER: Micros = Micros::from_millis(5_000);
/// Cancellations that are remembered until our reading has come so far.
const MOST_CANCELLED: usize = 4_096;
/// A single request of a kind that was never answered is given up after this.
const OUT_FOR: Micros = Micros::from_millis(6_000);

impl Core {
    /// A controller that has just started and knows nothing of the store.
    pub fn new(settings: Rc<Settings>, policy: Rc<Policy>, now: Micros) -> Self {
        let member = Member::new(
            settings.label.clone(),
            settings.mesh_addr.to_string(),
            settings.lease(),
            settings.act_for(),
        );
        Core {
            leading_lease: Lease::new(LEADER_LEASE.min(settings.lease())),
            manager: Manager::new(&settings, &policy),
            settings,
            policy,
            mirror: Mirror::default(),
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
        }
    }

    fn acting(&self, now: Micros) -> bool {
        // Outside its lease a holder must not act: another may hold the block.
        now < self.member.acts_until(self.read)
    }

    /// Takes one message in and says what is to be done. `now` is the steady clock, `day` the time of day.
    pub fn handle(&mut self, now: Micros, day: Micros, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        match input {
            Input::Tick => self.tick(now, day, &mut out),
            Input::Loaded { rows, ledger, sent } => {
                self.mirror.load(rows);
                self.seen = Revision(ledger);
                self.read = sent;
                // Guards against a picture made anew under the same term: its tokens
                // and attempts would repeat, and copies of old reports would count.
                let before: Vec<BlockId> = self.held.keys().copied().collect();
                self.dependencies.reload(now, &self.mirror.jobs);
                self.changed(now, &mut out);
                let types = self.types.clone().unwrap_or_default();
                for b in before {
                    if let Some(h) = self.held.get_mut(&b) {
                        h.reload(now, &self.mirror, &types);
                    }
                }
                self.stop_cancelled();
                self.dependencies_unsynced = true;
                self.sync_dependencies(now, &mut out);
                self.answer_reading(sent, &mut out);
            }
            Input::Changes { log, ledger, sent } => self.changes(now, log, ledger, sent, &mut out),
            Input::Stored { tag, reply } => self.stored(now, tag, &reply, &mut out),
            Input::CheckIn { report, ticket } => {
                let answer = self.check_in(now, day, &report);
                out.push(Effect::Answer { ticket, answer });
            }
            Input::Ask { id, ticket } => {
                // Without a reading of late there is none to wait for.
                let hopeful = self.mirror.loaded && now.since(self.read) < STALE;
                let asked = self.read_index.ask(now, id, ticket, hopeful);
                out.extend(asked.map(read_index_effect));
            }
            Input::DirectAnswer {
                block,
                term,
                machine,
                answer,
            } => {
                if let Some(h) = self.held.get_mut(&block).filter(|h| h.term == term) {
                    match answer {
                        DirectAnswer::Report(r) => h.direct_answer(now, &machine, Some(r)),
                        DirectAnswer::Lost => h.direct_answer(now, &machine, None),
                        DirectAnswer::NotSent => h.direct_not_sent(now, &machine),
                    }
                }
            }
            Input::Cloud { request, reply } => self.cloud(now, request, reply, &mut out),
            Input::Mesh(message) => self.hear(now, message),
            Input::Cancelled { job, revision } => {
                self.dependencies.end_stored(&job, JobEnd::Cancelled);
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
                self.peers.insert(news.from.clone(), (now, news));
            }
            Message::Cancelled { job, revision } => self.cancelled(job, revision),
        }
    }

    /// The store has cancelled a job: nothing more of it starts here, whether or not
    /// our reading has come so far. Until it has, the job may still come to a block of
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
                h.cancelled(job);
            }
        }
    }

    /// Decisions and writes of the held blocks. Not after each message: what many
    /// messages changed is decided once.
    fn drive(&mut self, now: Micros, day: Micros, out: &mut Vec<Effect>) {
        let fleet = self.fleet;
        let until = self.member.acts_until(self.read);
        for (b, h) in &mut self.held {
            h.tick(now, day, fleet);
            let term = h.term;
            let mut effects = h.directs(now);
            effects.extend(h.writes(now, day));
            effects.extend(h.reads(now));
            effects.extend(h.open(now, &self.mirror));
            out.extend(
                effects
                    .into_iter()
                    .map(|e| holder_effect(*b, term, until, e)),
            );
        }
    }

    fn check_in(&mut self, now: Micros, day: Micros, r: &Report) -> Answer {
        // Not recorded in a block, or given up: nobody may answer with a token. A
        // report alone never makes a machine one of ours: it may be a late copy.
        let found = self.mirror.machine(&r.machine);
        let Some(((b, _), _)) = found.filter(|(_, m)| m.freed.is_none()) else {
            return Answer::NotNow;
        };
        let Some((_, rec)) = self.mirror.holders.get(&b) else {
            return Answer::NotNow;
        };
        if rec.holder != self.settings.label {
            let alive = self.mirror.holder_alive(rec);
            return if alive {
                Answer::Elsewhere(rec.holder.clone())
            } else {
                Answer::NotNow
            };
        }
        let until = self.member.acts_until(self.read);
        if now >= until {
            return Answer::NotNow;
        }
        let fleet = self.fleet;
        let orders = self
            .held
            .get_mut(&b)
            .and_then(|h| h.check_in(now, day, fleet, until, r));
        orders.map_or(Answer::NotNow, Answer::Orders)
    }

    fn changes(
        &mut self,
        now: Micros,
        log: Vec<Change>,
        ledger: u64,
        sent: Micros,
        out: &mut Vec<Effect>,
    ) {
        self.read = sent;
        let quiet = log.is_empty();
        let (mut jobs, mut machines, mut pages) = (Vec::new(), Vec::new(), Vec::new());
        let mut others = false;
        for change in log {
            match self.mirror.change(change) {
                Touched::Job(id) => jobs.push(id),
                Touched::Machines(b, shard) => machines.push((b, shard)),
                Touched::Page(id, page) => pages.push((id, page)),
                Touched::Holder(_) | Touched::Other => others = true,
            }
        }
        self.seen = Revision(ledger.max(self.seen.0));
        for id in &jobs {
            self.dependencies.sync_job(now, id, &self.mirror.jobs);
        }
        self.answer_reading(sent, out);
        if quiet {
            return;
        }
        // Grants first: a block that is no longer ours must not be told of jobs.
        if others || !machines.is_empty() {
            self.changed(now, out);
        }
        let types = self.types.clone().unwrap_or_default();
        for h in self.held.values_mut() {
            for id in &jobs {
                h.sync_job(id, &self.mirror);
            }
            for (id, page) in &pages {
                h.sync_page(id, *page, &self.mirror);
            }
            let block = h.block;
            for (_, shard) in machines.iter().filter(|(b, _)| *b == block) {
                h.sync_shard(now, *shard, &self.mirror, &types, false);
            }
        }
        self.stop_cancelled();
        self.sync_dependencies(now, out);
    }

    fn answer_reading(&mut self, sent: Micros, out: &mut Vec<Effect>) {
        let asked = self
            .read_index
            .reading(sent, &self.mirror, &self.dependencies);
        out.extend(asked.into_iter().map(read_index_effect));
    }

    /// The held blocks learn what changed in the dependency graph, and ends that it lacks
    /// are read.
    fn sync_dependencies(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let changed = self.dependencies.refresh(&self.mirror.jobs);
        if std::mem::take(&mut self.dependencies_unsynced) || changed {
            for h in self.held.values_mut() {
                h.sync_dependencies(&self.dependencies);
            }
        }
        let reads = self.dependencies.reads(now);
        let read = |id: JobId| read_ended(StoreOperation::DependencyEnd(id.clone()), &id);
        out.extend(reads.into_iter().map(read));
    }

    /// After the mirror or our membership changed: what we hold, and the view.
    fn changed(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if let Some((_, t)) = &self.mirror.types
            && self.types.as_ref().is_none_or(|old| **old != *t)
        {
            self.types = Some(Arc::new(t.clone()));
        }
        for (label, (revision, member)) in &self.mirror.members {
            self.formats.insert(label.clone(), member.format);
            if self.joined.get(label).is_none_or(|(s, _)| s != revision) {
                self.joined.insert(label.clone(), (*revision, now));
            }
        }
        self.leaderless = if self.mirror.leader.is_some() {
            None
        } else {
            self.leaderless.or(Some(now))
        };
        let leading = self.leading().is_some();
        if leading && self.leading_since.is_none() {
            tracing::info!("leading");
        }
        self.leading_since = leading.then(|| self.leading_since.unwrap_or(now));
        let ours = |rec: &crate::blocks::HolderRecord| {
            rec.holder == self.settings.label && Some(rec.incarnation) == self.member.incarnation()
        };
        let mirror = &self.mirror;
        self.held.retain(|b, h| {
            let keep = mirror
                .holders
                .get(b)
                .is_some_and(|(_, rec)| ours(rec) && rec.term == h.term);
            if !keep {
                tracing::info!(block = %b, term = %h.term, "block is no longer ours");
            }
            keep
        });
        if let Some(types) = self.types.clone() {
            for (b, (revision, rec)) in &self.mirror.holders {
                if ours(rec) && !self.held.contains_key(b) {
                    tracing::info!(block = %b, term = %rec.term, "block is ours");
                    let mut h = Holder::new(*b, rec, *revision, &self.settings, &self.policy, now);
                    h.take_over(now, &self.mirror, &types);
                    self.held.insert(*b, h);
                    self.dependencies_unsynced = true;
                }
            }
            let mut fleet = Resources::default();
            for (_, _, m) in self.mirror.all_machines() {
                if let Some(t) = types.iter().find(|t| t.name == m.build) {
                    fleet += t.capacity();
                }
            }
            self.fleet = fleet;
        }
        self.publish(now, out);
    }

    fn publish(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.last_publish = now;
        let s = &self.settings;
        let blocks = self.policy.blocks(s);
        let teams = (0..s.platform.teams.len())
            .map(|t| {
                let b = leader::block_of(&self.mirror, s, blocks, t);
                let rec = self.mirror.holders.get(&b);
                rec.map_or((b, Revision(0), Term(0)), |(revision, rec)| {
                    (b, *revision, rec.term)
                })
            })
            .collect();
        let view = View {
            types: self.types.clone(),
            teams,
            healthy: self.healthy(now),
            format: self.mirror.format_level(),
        };
        if view != *self.view {
            self.view = Arc::new(view);
            out.push(Effect::View(self.view.clone()));
        }
    }

    /// Whether users should come here: not while we lack the store and another
    /// node has it. In an outage all lack it, and nobody gains from a removal.
    fn healthy(&self, now: Micros) -> bool {
        if !self.mirror.loaded {
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
        !alone && !fresh.any(|(_, n)| n.store_ok)
    }

    fn store_ok(&self, now: Micros) -> bool {
        self.mirror.loaded && now.since(self.read) < STALE
    }

    /// Whether a member shows signs of life and hears its workers.
    fn fit(&self, now: Micros, label: &Label) -> bool {
        if *label == self.settings.label {
            return now >= self.partitioned_until;
        }
        let joined = self.joined.get(label).map_or(Micros::ZERO, |(_, at)| *at);
        match self.peers.get(label) {
            Some((at, news)) => {
                let able = news.hears_workers && news.store_ok;
                now.since((*at).max(joined)) < SILENT_PEER && (able || joined > *at)
            }
            None => now.since(joined) < SILENT_PEER,
        }
    }

    /// Others are members, but none of them is heard: we may be cut off.
    fn isolated(&self, now: Micros) -> bool {
        let mut others = self
            .mirror
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

    fn tick(&mut self, now: Micros, day: Micros, out: &mut Vec<Effect>) {
        if let Some(request) = self.member.step(now) {
            out.push(Effect::Store {
                tag: StoreOperation::Member,
                request,
                urgency: Urgency::Vital,
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
        if self.mirror.loaded && self.types.is_none() && self.claim(now, "types") {
            out.push(Effect::Cloud(CloudRequest::Types));
        }
        if !self.acting(now) {
            self.tell_alive(now, out);
            return;
        }
        self.lead(now, out);
        self.drive(now, day, out);
        self.tell(now, day, out);
        self.resign(now, out);
        self.tidy(now, out);
    }

    /// Machines that were compared with a class of work so far: what passes cost.
    pub fn machines_compared(&self) -> usize {
        self.held.values().map(|h| h.machines_compared).sum()
    }

    fn leading(&self) -> Option<store::Cond> {
        leader::as_leader(
            &self.mirror,
            &self.settings.label,
            self.member.incarnation(),
        )
    }

    fn stored(&mut self, now: Micros, tag: StoreOperation, reply: &Reply, out: &mut Vec<Effect>) {
        match tag {
            StoreOperation::Member => {
                let before = self.member.incarnation();
                self.member.reply(now, reply);
                if self.member.incarnation() != before {
                    tracing::info!(incarnation = ?self.member.incarnation(), "membership");
                    self.changed(now, out);
                }
            }
            StoreOperation::LeaderLease => self.leading_lease.reply(now, reply),
            StoreOperation::Candidacy => {
                self.out.remove("candidacy");
            }
            StoreOperation::StepDown => {
                self.out.remove("step_down");
            }
            StoreOperation::Grants => {
                // Until the mirror shows them, the same grants would be tried again.
                if !matches!(reply, Reply::Committed(_)) {
                    self.out.remove("grants");
                } else {
                    self.out
                        .insert("grants", (now + Micros::from_millis(600)).since(OUT_FOR));
                }
            }
            StoreOperation::Types => {
                self.out.remove("types");
            }
            StoreOperation::Resign(b, term) => {
                if let Some(h) = self.held.get_mut(&b).filter(|h| h.term == term) {
                    h.resigned(reply);
                }
            }
            // Until the mirror shows it, the same would be written again.
            StoreOperation::Format if matches!(reply, Reply::Committed(_)) => {}
            StoreOperation::Format => {
                self.out.remove("format");
            }
            StoreOperation::Sums | StoreOperation::GarbageCollection => {}
            StoreOperation::DependencyEnd(id) => {
                self.dependencies.end_read(now, &id, reply);
                self.sync_dependencies(now, out);
            }
            StoreOperation::Ended(id) => {
                let asked = self.read_index.ended(id, reply);
                out.extend(asked.into_iter().map(read_index_effect));
            }
            StoreOperation::UnknownJob(b, term, id) => {
                if let Some(h) = self.held.get_mut(&b).filter(|h| h.term == term) {
                    h.read_ended(now, &id, reply);
                }
            }
            StoreOperation::Holder(b, term, write) => {
                self.ends_stored(&write, reply);
                if let Some(h) = self.held.get_mut(&b).filter(|h| h.term == term) {
                    h.stored(now, write, reply);
                }
                self.sync_dependencies(now, out);
            }
            StoreOperation::Manager(leader_revision, write) => {
                // An earlier leadership's answers mean nothing to this one.
                if self
                    .mirror
                    .leader
                    .as_ref()
                    .is_some_and(|(s, _)| *s == leader_revision)
                {
                    self.manager.stored(now, write, reply);
                }
            }
        }
    }

    /// Ends that the store has confirmed are known without another read.
    fn ends_stored(&mut self, write: &holder::Write, reply: &Reply) {
        let (holder::Write::Ends { ends, at, .. }, Reply::Committed(_)) = (write, reply) else {
            return;
        };
        for (id, standing) in ends {
            let end = match standing {
                Standing::Done => JobEnd::Done(Some(*at)),
                _ => JobEnd::Cancelled,
            };
            self.dependencies.end_stored(id, end);
        }
    }

    fn cloud(
        &mut self,
        now: Micros,
        request: CloudRequest,
        reply: CloudReply,
        out: &mut Vec<Effect>,
    ) {
        if request != CloudRequest::Types {
            self.manager.cloud(now, request, reply);
            return;
        }
        let CloudReply::Types(types) = reply else {
            // Asked again after a while, or read from the store where another node
            // had more luck.
            self.out
                .insert("types", (now + Micros::from_millis(1_000)).since(OUT_FOR));
            return;
        };
        self.out.remove("types");
        let (revision, old) = self
            .mirror
            .types
            .as_ref()
            .map_or((Revision(0), &[][..]), |(s, t)| (*s, t.as_slice()));
        if old != types.as_slice() {
            let ops = vec![store::set(keys::TYPES.into(), &types)];
            let request = Request::Txn {
                conds: vec![cond(keys::TYPES.into(), revision)],
                ops,
            };
            out.push(Effect::Store {
                tag: StoreOperation::Types,
                request,
                urgency: Urgency::Prompt,
            });
        }
        self.types = Some(Arc::new(types));
        self.changed(now, out);
    }
}

fn vital(tag: StoreOperation, conds: Vec<store::Cond>, ops: Vec<store::Op>) -> Effect {
    Effect::Store {
        tag,
        request: Request::Txn { conds, ops },
        urgency: Urgency::Vital,
    }
}

fn read_ended(tag: StoreOperation, id: &JobId) -> Effect {
    Effect::Store {
        tag,
        request: Request::Get {
            key: keys::ended(id),
        },
        urgency: Urgency::Prompt,
    }
}

fn read_index_effect(e: read_index::Effect) -> Effect {
    match e {
        read_index::Effect::Found(ticket, found) => Effect::Found { ticket, found },
        read_index::Effect::ReadEnded(id) => read_ended(StoreOperation::Ended(id.clone()), &id),
    }
}

fn holder_effect(block: BlockId, term: Term, until: Micros, e: holder::Effect) -> Effect {
    match e {
        holder::Effect::Do(machine, addr, direct) => Effect::Do {
            block,
            term,
            machine,
            addr,
            direct,
            until,
        },
        holder::Effect::ReadEnded(id) => {
            read_ended(StoreOperation::UnknownJob(block, term, id.clone()), &id)
        }
        holder::Effect::Txn(write, conds, ops) => Effect::Store {
            // Where changes are short, progress waits for all the others.
            urgency: match write {
                holder::Write::Progress { .. } => Urgency::Spare,
                _ => Urgency::Prompt,
            },
            tag: StoreOperation::Holder(block, term, write),
            request: Request::Txn { conds, ops },
        },
    }
}

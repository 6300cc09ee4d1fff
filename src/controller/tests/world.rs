//! A scripted store, cloud and workers around the cores, under a fake clock.

use super::super::core::Core;
use super::super::messages::{DirectAnswer, Effect, Input, StoreOperation};
use super::characterization::WireRecorder;
use crate::api::ports::{ApiView, HeartbeatAnswer};
use crate::api::read_index::JobLookup;
use crate::clock::Micros;
use crate::cloud::{CloudMachine, CloudReply, CloudRequest, InstanceState, MachineType};
use crate::ids::{FencingToken, JobId, Label, LeaseId, MachineId, PartitionId, Revision, TaskId};
use crate::jobs::tests::types;
use crate::jobs::{EndedRecord, JobDesc, JobRecord, JobState};
use crate::policy::tests::standard;
use crate::settings::Settings;
use crate::settings::tests::example;
use crate::store::{self, Compare, KeyValue, Mutation, Reply, Request, WatchEvent, compare, keys};
use crate::subsystems::Subsystems;
use crate::workers::{DirectCommand, Heartbeat, WorkerCommand};
use serde_json::{Value, json};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

pub fn secs(s: f64) -> Micros {
    Micros::from_secs(s)
}

/// What the state service takes.
pub struct StoreLimits {
    pub value_bytes: usize,
    pub txn_ops: usize,
}

impl Default for StoreLimits {
    /// As the settings of these tests say.
    fn default() -> Self {
        StoreLimits {
            value_bytes: 16 * 1024,
            txn_ops: 16,
        }
    }
}

/// A state service in memory, as its page describes it.
#[derive(Default)]
pub struct FakeStore {
    pub limits: StoreLimits,
    pub revision: u64,
    pub keys: BTreeMap<String, (u64, Value, Option<u64>)>,
    pub leases: BTreeMap<u64, (Micros, Micros)>,
    pub log: Vec<WatchEvent>,
    pub next_lease: u64,
    pub down: bool,
    /// Changes asked for, refused ones included.
    pub changes: usize,
}

impl FakeStore {
    pub fn expire(&mut self, now: Micros) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end_lease(id);
        }
    }

    pub fn end_lease(&mut self, id: u64) -> Reply {
        if self.leases.remove(&id).is_none() {
            return Reply::LeaseExpired;
        }
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, v)| v.2 == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        self.commit(keys.into_iter().map(store::delete).collect());
        Reply::Acknowledged
    }

    pub fn commit(&mut self, mutations: Vec<Mutation>) -> Reply {
        self.revision += 1;
        for op in mutations {
            match op {
                Mutation::Set {
                    key,
                    value,
                    lease_id,
                } => {
                    self.log.push(WatchEvent {
                        set: Some(key.clone()),
                        delete: None,
                        value: value.clone(),
                        revision: Revision(self.revision),
                    });
                    self.keys
                        .insert(key, (self.revision, value, lease_id.map(|t| t.0)));
                }
                Mutation::Delete { key } => {
                    if self.keys.remove(&key).is_some() {
                        self.log.push(WatchEvent {
                            set: None,
                            delete: Some(key),
                            value: Value::Null,
                            revision: Revision(self.revision),
                        });
                    }
                }
            }
        }
        Reply::Committed(Revision(self.revision))
    }

    /// A transaction beyond the limits is malformed.
    pub fn check_limits(&mut self, compares: &[Compare], mutations: &[Mutation]) {
        let most = self.limits.txn_ops;
        assert!(
            mutations.len() <= most && compares.len() <= 4 * most,
            "{} {}",
            mutations.len(),
            compares.len()
        );
        let mut bytes = 0;
        for op in mutations {
            if let Mutation::Set { key, value, .. } = op {
                let long = value.to_string().len();
                assert!(long <= self.limits.value_bytes, "{key} has {long} bytes");
                bytes += long;
            }
        }
        assert!(bytes < 60 * 1024, "{bytes} bytes in a transaction");
        self.changes += mutations.len();
    }

    pub fn txn(&mut self, compares: &[Compare], mutations: Vec<Mutation>) -> Reply {
        self.check_limits(compares, &mutations);
        let revision = |k: &str| self.keys.get(k).map_or(0, |v| v.0);
        let failed: Vec<String> = compares
            .iter()
            .filter(|c| revision(&c.key) != c.revision.0)
            .map(|c| c.key.clone())
            .collect();
        let dead = mutations.iter().any(
            |op| matches!(op, Mutation::Set { lease_id: Some(t), .. } if !self.leases.contains_key(&t.0)),
        );
        if dead {
            return Reply::LeaseExpired;
        }
        if failed.is_empty() {
            self.commit(mutations)
        } else {
            Reply::Conflict(failed)
        }
    }

    pub fn answer(&mut self, now: Micros, request: Request) -> Reply {
        if self.down {
            return Reply::Rejected;
        }
        self.expire(now);
        match request {
            Request::Get { key } => match self.keys.get(&key) {
                Some((revision, value, _)) => Reply::Value(KeyValue {
                    key,
                    value: value.clone(),
                    revision: Revision(*revision),
                }),
                None => Reply::NotFound,
            },
            Request::CompareAndSwap {
                compares,
                mutations,
            } => self.txn(&compares, mutations),
            Request::GrantLease { ttl: life } => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (life, now + life));
                Reply::LeaseGranted(LeaseId(self.next_lease))
            }
            Request::RenewLease { lease_id } => match self.leases.get_mut(&lease_id.0) {
                Some((life, end)) => {
                    *end = now + *life;
                    Reply::Acknowledged
                }
                None => Reply::LeaseExpired,
            },
            Request::RevokeLease { lease_id } => self.end_lease(lease_id.0),
            Request::List { .. } => Reply::Rejected,
        }
    }

    pub fn rows(&self) -> Vec<KeyValue> {
        let below = self.keys.iter().filter(|(k, _)| k.starts_with(store::ROOT));
        below
            .map(|(k, v)| KeyValue {
                key: k.clone(),
                value: v.1.clone(),
                revision: Revision(v.0),
            })
            .collect()
    }
}

/// A worker with instant images whose tasks run until the script ends them.
pub struct FakeWorker {
    pub id: MachineId,
    pub machine_type: &'static str,
    pub zone: &'static str,
    pub agent_epoch: u64,
    pub heartbeat_sequence: u64,
    pub fencing_token: FencingToken,
    /// The token that its last report showed.
    pub shown_token: FencingToken,
    pub tasks: BTreeMap<String, (u64, String, Option<String>)>,
    pub node: Option<usize>,
    pub cut: bool,
    /// Its reports arrive, but answers and commands don't reach it.
    pub unreachable: bool,
    /// Its reports don't arrive, but commands reach it.
    pub unheard: bool,
    /// It stands still: it does nothing, and what is sent to it waits.
    pub hung: bool,
    waiting: Vec<DirectCommand>,
    /// Of an attempt that it has begun, and of those that it refused for its room.
    pub launched: Vec<(String, u64)>,
    /// When each running task began.
    pub began: BTreeMap<String, Micros>,
    pub last_answer: Micros,
    /// When it reports next.
    pub due: Micros,
}

impl FakeWorker {
    pub fn new(n: usize, machine_type: &'static str, zone: &'static str, now: Micros) -> Self {
        FakeWorker {
            id: MachineId::from(format!("m-{n:06}")),
            machine_type,
            zone,
            agent_epoch: 1,
            heartbeat_sequence: 0,
            fencing_token: FencingToken(0),
            shown_token: FencingToken(0),
            tasks: BTreeMap::new(),
            node: None,
            cut: false,
            unreachable: false,
            unheard: false,
            hung: false,
            waiting: vec![],
            launched: vec![],
            began: BTreeMap::new(),
            last_answer: now,
            due: now,
        }
    }

    pub fn report(&mut self) -> Heartbeat {
        self.heartbeat_sequence += 1;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|(h, (n, standing, cause))| json!({"hand": h, "try": n, "standing": standing, "cause": cause}))
            .collect();
        serde_json::from_value(json!({"rig": self.id, "addr": format!("{}:1", self.id), "build": self.machine_type, "yard": self.zone,
            "loaners": false, "shift": self.agent_epoch, "tally": self.heartbeat_sequence, "baton": self.fencing_token, "hands": tasks}))
        .expect("a report")
    }

    pub fn run(&mut self, orders: &[WorkerCommand]) {
        for o in orders {
            match o {
                WorkerCommand::Launch { task, attempt } => {
                    let new = (attempt.0, "running".into(), None);
                    if let Entry::Vacant(free) = self.tasks.entry(task.clone()) {
                        free.insert(new);
                        self.launched.push((task.clone(), attempt.0));
                    }
                }
                WorkerCommand::Stop { task, attempt, .. } => {
                    if let Some(h) = self
                        .tasks
                        .get_mut(task)
                        .filter(|h| h.0 == attempt.0 && h.1 == "running")
                    {
                        *h = (h.0, "exited".into(), Some("stopped".into()));
                    }
                }
                WorkerCommand::Reap { task, .. } => {
                    self.tasks.remove(task);
                }
            }
        }
    }

    /// Its tasks that run and begin with this.
    pub fn running<'a>(&'a self, begins: &'a str) -> impl Iterator<Item = &'a str> {
        let runs = self.tasks.iter().filter(|(_, h)| h.1 == "running");
        runs.map(|(task, _)| task.as_str())
            .filter(move |task| task.starts_with(begins))
    }

    pub fn direct(&mut self, d: &DirectCommand) -> Heartbeat {
        if d.fencing_token >= self.fencing_token && d.agent_epoch == self.agent_epoch {
            self.fencing_token = d.fencing_token;
            self.run(&d.commands);
        }
        self.report()
    }
}

pub struct Node {
    pub core: Option<Core>,
    pub settings: Rc<Settings>,
    pub since: u64,
    pub loaded: bool,
    /// It does not reach the store.
    pub no_store: bool,
    /// The store refuses it alone.
    pub refused: bool,
    /// Its transactions get no answer and are carried out when this is over.
    pub late: bool,
    /// Its transactions are carried out, but their answers are lost.
    pub unanswered: bool,
    /// It does not reach the other controllers.
    pub no_peers: bool,
    /// It does not reach the workers, nor they it.
    pub no_workers: bool,
    /// It stands still while its clock runs on.
    pub frozen: bool,
    /// What it has on when it starts next.
    pub subsystems: Subsystems,
    pub view: Arc<ApiView>,
}

pub struct World {
    pub now: Micros,
    pub store: FakeStore,
    pub nodes: Vec<Node>,
    pub workers: Vec<FakeWorker>,
    /// Machines that the cloud has returned.
    pub returned: Vec<MachineId>,
    pub cloud_down: bool,
    /// The cloud has machines to rent, up after three seconds.
    pub renting: bool,
    rented: BTreeMap<String, Vec<MachineId>>,
    /// Machines that do not come up, and since when they have been booting.
    pub booting: BTreeMap<MachineId, Micros>,
    /// When users were told that a job is cancelled.
    pub cancelled: BTreeMap<JobId, Micros>,
    /// Which attempt numbers were launched, and where: they never repeat.
    attempts: BTreeMap<u64, (String, MachineId)>,
    /// Of nodes that start from now on.
    pub idle_return: Micros,
    /// Transactions and direct commands held back by a cut, to be let go later.
    pub held_txns: Vec<(Vec<Compare>, Vec<Mutation>)>,
    pub hold_job_txns: bool,
    pub held_directs: Vec<(usize, DirectCommand)>,
    pub hold_directs: bool,
    /// Reports are copied, and those that a cut stops are kept, to come late.
    pub copying: bool,
    pub copies: Vec<Heartbeat>,
    /// Jobs submitted with a mistake: each task fails a second after its start.
    pub mistaken: BTreeSet<JobId>,
    /// Those that were carried out: a copy of any may come again.
    pub done_directs: Vec<(usize, DirectCommand)>,
    /// How long tasks run; none: until the script ends them.
    pub task_time: Option<Micros>,
    pub submitted: BTreeMap<JobId, JobDesc>,
    /// What users were told of jobs: by which node, on which question.
    pub found: Vec<(usize, u64, JobLookup)>,
    pub types: Vec<MachineType>,
    /// The cloud refuses to rent anything there.
    pub no_capacity: BTreeSet<&'static str>,
    /// What is rented there is behind a cut, too.
    pub cut_zones: BTreeSet<&'static str>,
    /// What was rented, in its order: the zone and how many.
    pub rentals: Vec<(String, u32)>,
    /// Records all effects, if the history is to be compared.
    pub recorder: Option<WireRecorder>,
}

impl World {
    pub fn new(nodes: usize, machines: usize) -> World {
        World::with(nodes, machines, |_| {})
    }

    /// With settings changed by `change`.
    pub fn with(nodes: usize, machines: usize, change: impl Fn(&mut Value)) -> World {
        let mut all = Vec::new();
        for i in 0..nodes {
            let mut v = example();
            v["label"] = format!("c{i}").into();
            let seed = |j| json!({"label": format!("c{j}"), "addr": "127.0.0.1:9003"});
            v["seeds"] = (0..nodes).filter(|j| *j != i).map(seed).collect();
            v["settings"]["initial_size"] = nodes.into();
            change(&mut v);
            let s: Settings = serde_json::from_value(v).expect("settings");
            all.push(Node {
                core: None,
                settings: Rc::new(s),
                since: 0,
                loaded: false,
                no_store: false,
                refused: false,
                late: false,
                unanswered: false,
                no_peers: false,
                no_workers: false,
                frozen: false,
                subsystems: Subsystems::default(),
                view: Arc::default(),
            });
        }
        let workers = (0..machines)
            .map(|n| FakeWorker::new(n, "big", "x", secs(1.0)))
            .collect();
        let mut w = World {
            now: secs(1.0),
            store: FakeStore::default(),
            nodes: all,
            workers,
            returned: vec![],
            cloud_down: false,
            renting: false,
            rented: BTreeMap::new(),
            booting: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            attempts: BTreeMap::new(),
            idle_return: secs(10_000.0),
            held_txns: vec![],
            hold_job_txns: false,
            held_directs: vec![],
            hold_directs: false,
            copying: false,
            copies: vec![],
            mistaken: BTreeSet::new(),
            done_directs: vec![],
            found: vec![],
            task_time: None,
            submitted: BTreeMap::new(),
            types: types(),
            no_capacity: BTreeSet::new(),
            cut_zones: BTreeSet::new(),
            rentals: vec![],
            recorder: None,
        };
        for i in 0..nodes {
            w.start(i);
        }
        w
    }

    pub fn start(&mut self, i: usize) {
        let n = &mut self.nodes[i];
        // Nothing idle is returned here, unless a test wants it.
        let mut policy = standard();
        policy.spot_idle_timeout = self.idle_return;
        policy.on_demand_idle_timeout = self.idle_return;
        let core = Core::new(n.settings.clone(), Rc::new(policy), self.now);
        n.core = Some(core.with_subsystems(&n.subsystems));
        n.loaded = false;
    }

    pub fn crash(&mut self, i: usize) {
        self.nodes[i].core = None;
    }

    pub fn feed(&mut self, i: usize, input: Input) -> Option<HeartbeatAnswer> {
        let now = self.now;
        let mut inputs = vec![input];
        let mut told = None;
        while let Some(input) = inputs.pop() {
            let core = self.nodes[i].core.as_mut()?;
            for effect in core.handle(now, now, input) {
                if let Some(recorder) = &mut self.recorder {
                    recorder.record(now, i, &effect);
                }
                match effect {
                    Effect::StoreRequest {
                        operation: tag,
                        request,
                        ..
                    } => {
                        let reply = self.ask(i, &tag, request);
                        inputs.push(Input::StoreReply {
                            operation: tag,
                            reply,
                        });
                    }
                    Effect::AnswerHeartbeat { answer, .. } => told = Some(answer),
                    Effect::SendDirectCommand {
                        partition,
                        term,
                        machine,
                        command: direct,
                        ..
                    } => {
                        let answer = if self.nodes[i].no_workers {
                            DirectAnswer::NotSent
                        } else {
                            self.direct(&machine, direct)
                        };
                        inputs.push(Input::DirectCommandReply {
                            partition,
                            term,
                            machine,
                            answer,
                        });
                    }
                    Effect::Cloud(request) => {
                        let reply = self.cloud(&request);
                        inputs.push(Input::CloudReply { request, reply });
                    }
                    Effect::Mesh(message) => {
                        for j in (0..self.nodes.len()).filter(|j| *j != i) {
                            if self.nodes[i].no_peers || self.nodes[j].no_peers {
                                continue;
                            }
                            if let Some(peer) = self.nodes[j].core.as_mut() {
                                // What peers do about it, they do at their next tick.
                                peer.hear(now, message.clone());
                            }
                        }
                    }
                    Effect::AnswerJobLookup {
                        request_id,
                        lookup: found,
                    } => self.found.push((i, request_id, found)),
                    Effect::PublishView(view) => self.nodes[i].view = view,
                }
            }
        }
        told
    }

    pub fn ask(&mut self, i: usize, tag: &StoreOperation, request: Request) -> Reply {
        let n = &self.nodes[i];
        if n.no_store {
            return Reply::Indeterminate;
        }
        if n.refused {
            return Reply::Rejected;
        }
        if n.late
            && let Request::CompareAndSwap {
                compares,
                mutations,
            } = &request
        {
            self.held_txns.push((compares.clone(), mutations.clone()));
            return Reply::Indeterminate;
        }
        if n.unanswered && matches!(request, Request::CompareAndSwap { .. }) {
            self.store.answer(self.now, request);
            return Reply::Indeterminate;
        }
        if self.hold_job_txns
            && let (
                StoreOperation::OwnedPartition(..),
                Request::CompareAndSwap {
                    compares,
                    mutations,
                },
            ) = (tag, &request)
        {
            self.held_txns.push((compares.clone(), mutations.clone()));
            return Reply::Indeterminate;
        }
        self.store.answer(self.now, request)
    }

    pub fn direct(&mut self, machine: &MachineId, d: DirectCommand) -> DirectAnswer {
        let Some(at) = self.workers.iter().position(|w| w.id == *machine) else {
            return DirectAnswer::NotSent;
        };
        if self.hold_directs {
            self.held_directs.push((at, d));
            return DirectAnswer::Indeterminate;
        }
        let w = &self.workers[at];
        if w.cut || w.unreachable || self.returned.contains(machine) {
            return DirectAnswer::NotSent;
        }
        if w.hung {
            self.workers[at].waiting.push(d);
            return DirectAnswer::Indeterminate;
        }
        self.done_directs.push((at, d.clone()));
        DirectAnswer::Heartbeat(self.workers[at].direct(&d))
    }

    pub fn cloud(&mut self, request: &CloudRequest) -> CloudReply {
        if self.cloud_down && *request != CloudRequest::MachineTypes {
            return CloudReply::Indeterminate;
        }
        match request {
            CloudRequest::MachineTypes => CloudReply::MachineTypes(self.types.clone()),
            CloudRequest::Machines => {
                let there = self
                    .workers
                    .iter()
                    .filter(|w| !self.returned.contains(&w.id));
                CloudReply::Machines(
                    there
                        .map(|w| CloudMachine {
                            id: w.id.clone(),
                            addr: Some(format!("{}:1", w.id)),
                            machine_type: w.machine_type.into(),
                            zone: w.zone.into(),
                            spot: false,
                            state: if self.booting.contains_key(&w.id) {
                                InstanceState::Booting
                            } else {
                                InstanceState::Running
                            },
                            age_s: self
                                .booting
                                .get(&w.id)
                                .map_or(1.0, |at| self.now.since(*at).as_secs()),
                        })
                        .collect(),
                )
            }
            CloudRequest::ScaleOut(..) if !self.renting => CloudReply::NoCapacity,
            CloudRequest::ScaleOut(_, rental)
                if self.no_capacity.contains(rental.zone.as_str()) =>
            {
                CloudReply::NoCapacity
            }
            CloudRequest::ScaleOut(name, rental) => {
                let now = self.now;
                let machine_type = if rental.machine_type == "big" {
                    "big"
                } else {
                    "small"
                };
                let zone = match rental.zone.as_str() {
                    "y" => "y",
                    "z" => "z",
                    _ => "x",
                };
                let workers = &mut self.workers;
                let rentals = &mut self.rentals;
                let is_cut = self.cut_zones.contains(zone);
                let ids = self.rented.entry(name.clone()).or_insert_with(|| {
                    rentals.push((zone.to_owned(), rental.count));
                    let new = |n| {
                        let mut w = FakeWorker::new(n, machine_type, zone, now + secs(3.0));
                        w.last_answer = now + secs(3.0);
                        w.cut = is_cut;
                        w
                    };
                    let first = workers.len();
                    let count = rental.count as usize;
                    workers.extend((first..first + count).map(new));
                    workers[first..].iter().map(|w| w.id.clone()).collect()
                });
                CloudReply::Rented(ids.clone())
            }
            CloudRequest::Release(ids) => {
                self.returned.extend(ids.iter().cloned());
                for w in self.workers.iter_mut().filter(|w| ids.contains(&w.id)) {
                    w.tasks.clear();
                }
                CloudReply::Released
            }
        }
    }

    /// Lets time pass in steps of 100 ms.
    pub fn pass(&mut self, s: f64) {
        let until = self.now + secs(s);
        while self.now < until {
            self.now = self.now + Micros::from_millis(100);
            self.store.expire(self.now);
            for i in 0..self.nodes.len() {
                if self.nodes[i].core.is_none() || self.nodes[i].frozen {
                    continue;
                }
                let n = &self.nodes[i];
                if !n.no_store && !n.refused && !self.store.down {
                    self.sync(i);
                }
                self.feed(i, Input::Tick);
            }
            for at in 0..self.workers.len() {
                self.work(at);
                if self.now >= self.workers[at].due {
                    self.workers[at].due = self.now + secs(2.0);
                    self.check_in(at);
                }
            }
            self.check_rules();
        }
    }

    /// What happens on a machine by itself: its lease ends, its tasks end.
    fn work(&mut self, at: usize) {
        let over = secs(self.nodes[0].settings.platform.workers.lease_s);
        let (now, time, mistaken) = (self.now, self.task_time, &self.mistaken);
        let w = &mut self.workers[at];
        if w.hung {
            return;
        }
        if now.since(w.last_answer) > over {
            w.agent_epoch += 1;
            w.tasks.clear();
            w.last_answer = now;
        }
        // What waited while it stood still is carried out if it still matches.
        for d in std::mem::take(&mut w.waiting) {
            w.direct(&d);
        }
        let Some(time) = time else { return };
        w.began
            .retain(|h, _| w.tasks.get(h).is_some_and(|h| h.1 == "running"));
        for (task, state) in w.tasks.iter_mut().filter(|(_, s)| s.1 == "running") {
            let began = *w.began.entry(task.clone()).or_insert(now);
            let task = TaskId::parse(task).expect("a task");
            let (time, cause) = if mistaken.contains(&task.job) {
                (secs(1.0), "error")
            } else {
                (time, "done")
            };
            if now.since(began) >= time {
                *state = (state.0, "exited".into(), Some(cause.into()));
                w.due = w.due.min(now + secs(0.3));
            }
        }
    }

    /// The rules that hold at every moment.
    pub fn check_rules(&mut self) {
        self.check_launches();
        self.check_machines();
    }

    /// What was launched since the last look: an attempt's number never repeats, and
    /// its task may be where it is.
    fn check_launches(&mut self) {
        for at in 0..self.workers.len() {
            for (task, attempt) in std::mem::take(&mut self.workers[at].launched) {
                let w = &self.workers[at];
                let here = (task.clone(), w.id.clone());
                let first = self.attempts.entry(attempt).or_insert_with(|| here.clone());
                assert_eq!(*first, here, "attempt {attempt} is given twice");
                let task = TaskId::parse(&task).expect("a task");
                let Some(d) = self.submitted.get(&task.job) else {
                    continue;
                };
                assert!(
                    d.allows(w.machine_type, w.zone, false),
                    "{task} on {} in {}",
                    w.machine_type,
                    w.zone
                );
                for before in &d.dependencies {
                    let end = self.ended(before.as_str());
                    assert_eq!(end, Some(JobState::Done), "{task} starts before {before}");
                }
                let begins = format!("{}/", task.job);
                let in_zone = |zone: &str| -> usize {
                    let there = self.alive().filter(|o| o.zone == zone);
                    there.map(|o| o.running(&begins).count()).sum()
                };
                if d.single_zone {
                    let others = ["x", "y", "z"].into_iter().filter(|z| *z != w.zone);
                    let elsewhere: usize = others.map(in_zone).sum();
                    assert_eq!(elsewhere, 0, "{task} in {}: not in one zone", w.zone);
                }
                if d.anti_affinity {
                    let most = d.tasks.div_ceil(2) as usize;
                    assert!(in_zone(w.zone) <= most, "{task} in {}: not apart", w.zone);
                }
            }
        }
    }

    fn alive(&self) -> impl Iterator<Item = &FakeWorker> {
        self.workers
            .iter()
            .filter(|w| !self.returned.contains(&w.id))
    }

    /// No task runs on two machines, no team uses more than its limit, cancelled tasks
    /// included, and those are gone in time.
    fn check_machines(&self) {
        let platform = &self.nodes[0].settings.platform;
        let mut at: BTreeMap<&str, &MachineId> = BTreeMap::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        // A machine that stands still may go on at any moment within its lease, and runs
        // nothing after it: that is over before anything else when it goes on.
        let lease = secs(platform.workers.lease_s);
        let may_go_on = |w: &&FakeWorker| !w.hung || self.now.since(w.last_answer) <= lease;
        for w in self.alive().filter(may_go_on) {
            for task in w.running("") {
                let other = at.insert(task, &w.id);
                assert!(other.is_none(), "{task} runs on {} and {other:?}", w.id);
                let job = task.split('/').next().expect("a job").into();
                if let Some(d) = self.submitted.get(&job) {
                    *used.entry(&d.team).or_default() += d.cores;
                }
                // A machine that stands still runs nothing, until it goes on.
                if let Some(told) = self.cancelled.get(&job).filter(|_| !w.hung) {
                    let since = self.now.since(*told).as_secs();
                    let most = platform.workers.cancellation_timeout_s;
                    assert!(
                        since <= most,
                        "{task} on {} is cancelled since {since}",
                        w.id
                    );
                }
            }
        }
        for (team, cores) in used {
            let team = platform.teams.iter().find(|t| t.name == team);
            let team = team.expect("a team");
            let most = team.limit().cores;
            assert!(cores <= most + 1e-6, "{} uses {cores}", team.name);
        }
    }

    /// All machines that have not reported yet never will: they do not come up.
    pub fn keep_booting(&mut self) {
        let new = self
            .workers
            .iter_mut()
            .filter(|w| w.heartbeat_sequence == 0);
        for w in new {
            w.hung = true;
            self.booting.insert(w.id.clone(), self.now);
        }
    }

    /// The worker's process begins anew: it has forgotten everything.
    pub fn reborn(&mut self, at: usize) {
        let now = self.now;
        let w = &mut self.workers[at];
        (w.agent_epoch, w.heartbeat_sequence, w.fencing_token) = (1, 0, FencingToken(0));
        (w.last_answer, w.due) = (now, now);
        w.tasks.clear();
    }

    /// A copy of a report reaches a node late: nobody reads the answer.
    pub fn late_copy(&mut self, node: usize, report: &Heartbeat) -> Option<HeartbeatAnswer> {
        let report = report.clone();
        self.feed(
            node,
            Input::Heartbeat {
                heartbeat: report,
                request_id: 9,
            },
        )
    }

    /// Asks a node how a job stands; `pass` a little to have the answer in `found`.
    pub fn ask_for(&mut self, node: usize, id: &str, request_id: u64) {
        let id = id.into();
        self.feed(node, Input::JobLookup { id, request_id });
    }

    pub fn cancel_s(&self) -> f64 {
        self.nodes[0]
            .settings
            .platform
            .workers
            .cancellation_timeout_s
    }

    /// Machines that were compared with a class of work so far, by the first node.
    pub fn machines_compared(&self) -> usize {
        self.nodes[0]
            .core
            .as_ref()
            .map_or(0, Core::machines_compared)
    }

    /// Machines come up that nobody expected.
    pub fn add_machines(&mut self, count: usize) {
        let first = self.workers.len();
        let new = (first..first + count).map(|n| FakeWorker::new(n, "big", "x", self.now));
        self.workers.extend(new);
    }

    pub fn started_ever(&self, id: &str) -> bool {
        let begins = |h: &String| h.starts_with(&format!("{id}/"));
        self.ended(id) == Some(JobState::Done)
            || self.workers.iter().any(|w| w.tasks.keys().any(begins))
    }

    pub fn sync(&mut self, i: usize) {
        let sent = self.now;
        let revision = self.store.revision;
        let input = if self.nodes[i].loaded {
            let since = self.nodes[i].since;
            let new = self.store.log.partition_point(|c| c.revision.0 <= since);
            let log: Vec<WatchEvent> = self.store.log[new..].to_vec();
            Input::Changes {
                events: log,
                revision,
                requested_at: sent,
            }
        } else {
            self.nodes[i].loaded = true;
            Input::Loaded {
                entries: self.store.rows(),
                revision,
                requested_at: sent,
            }
        };
        self.nodes[i].since = revision;
        self.feed(i, input);
    }

    pub fn check_in(&mut self, at: usize) {
        if self.returned.contains(&self.workers[at].id) {
            return;
        }
        let w = &self.workers[at];
        if w.hung {
            return;
        }
        if w.cut || w.unheard {
            if self.copying {
                let report = self.workers[at].report();
                self.copies.push(report);
            }
            return;
        }
        let order: Vec<usize> = self.workers[at]
            .node
            .into_iter()
            .chain(0..self.nodes.len())
            .filter(|i| {
                let n = &self.nodes[*i];
                n.core.is_some() && !n.no_workers && !n.frozen
            })
            .collect();
        if self.workers[at].unreachable {
            // It waits in vain for an answer, and then tries the next node.
            let next = self.workers[at]
                .node
                .map_or(0, |n| (n + 1) % self.nodes.len());
            self.workers[at].node = Some(next);
            self.workers[at].due = self.now + secs(if self.nodes.len() > 1 { 5.0 } else { 2.0 });
            let report = self.workers[at].report();
            self.feed(
                next,
                Input::Heartbeat {
                    heartbeat: report,
                    request_id: 1,
                },
            );
            return;
        }
        for i in order {
            let report = self.workers[at].report();
            if self.copying {
                self.copies.push(report.clone());
            }
            match self.feed(
                i,
                Input::Heartbeat {
                    heartbeat: report,
                    request_id: 1,
                },
            ) {
                Some(HeartbeatAnswer::Accepted(o)) => {
                    let w = &mut self.workers[at];
                    if o.fencing_token > w.fencing_token || !o.commands.is_empty() {
                        // A change is reported soon.
                        w.due = self.now + secs(0.5);
                    }
                    if o.fencing_token >= w.fencing_token {
                        w.fencing_token = o.fencing_token;
                        w.last_answer = self.now;
                        w.node = Some(i);
                        w.run(&o.commands);
                    }
                    return;
                }
                _ => self.workers[at].node = None,
            }
        }
    }

    pub fn submit(&mut self, desc: &JobDesc) {
        self.submit_to(desc, 0);
    }

    /// To the partition that its team is in.
    pub fn submit_to(&mut self, desc: &JobDesc, partition: u64) {
        self.submitted.insert(desc.id.clone(), desc.clone());
        let key = keys::partition_owner(PartitionId(partition));
        let owner = self
            .store
            .keys
            .get(&key)
            .map_or((0, Value::Null), |v| (v.0, v.1.clone()));
        let born = serde_json::from_value(owner.1["term"].clone()).unwrap_or_default();
        let rec = JobRecord {
            desc: desc.clone(),
            accepted_at: self.now,
            accepted_term: born,
        };
        let compares = [
            compare(keys::job(&desc.id), Revision(0)),
            compare(key, Revision(owner.0)),
        ];
        let reply = self
            .store
            .txn(&compares, vec![store::put(keys::job(&desc.id), &rec)]);
        assert!(matches!(reply, Reply::Committed(_)), "{reply:?}");
    }

    pub fn cancel(&mut self, id: &str) {
        let id = JobId::from(id);
        let ended = EndedRecord {
            state: JobState::Cancelled,
            tasks: 1,
            footprint: self.submitted.get(&id).map(JobDesc::footprint),
            ended_at: Some(self.now),
        };
        self.cancelled.insert(id.clone(), self.now);
        self.store.commit(vec![
            store::delete(keys::job(&id)),
            store::put(keys::ended(&id), &ended),
        ]);
    }

    /// Whether a job was cancelled, itself or with one before it.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        let needs = self.submitted.get(id).map(|d| d.dependencies.as_slice());
        self.cancelled.contains_key(id)
            || needs
                .unwrap_or_default()
                .iter()
                .any(|before| self.is_cancelled(before))
    }

    pub fn ended(&self, id: &str) -> Option<JobState> {
        let rec = self.store.keys.get(&keys::ended(&JobId::from(id)))?;
        serde_json::from_value::<EndedRecord>(rec.1.clone())
            .ok()
            .map(|e| e.state)
    }

    /// Where a task's attempts run now.
    pub fn running(&self, task: &str) -> Vec<usize> {
        let runs = |w: &FakeWorker| w.tasks.get(task).is_some_and(|h| h.1 == "running");
        (0..self.workers.len())
            .filter(|at| runs(&self.workers[*at]))
            .collect()
    }

    pub fn all_running(&self) -> usize {
        self.workers
            .iter()
            .map(|w| w.tasks.values().filter(|h| h.1 == "running").count())
            .sum()
    }

    /// One task is done, wherever it runs.
    pub fn finish(&mut self, task: &str) {
        for m in &mut self.workers {
            if let Some(h) = m.tasks.get_mut(task) {
                (h.1, h.2) = ("exited".into(), Some("done".into()));
            }
        }
    }

    pub fn finish_all(&mut self) {
        self.finish_all_of("");
    }

    /// All tasks that run and begin with this are done.
    pub fn finish_all_of(&mut self, begins: &str) {
        let tasks = self.workers.iter_mut().flat_map(|w| w.tasks.iter_mut());
        for (_, h) in tasks.filter(|(task, h)| task.starts_with(begins) && h.1 == "running") {
            h.1 = "exited".into();
            h.2 = Some("done".into());
        }
    }

    pub fn owner(&self) -> usize {
        let rec = &self.store.keys["r/blocks/0/holder"].1;
        let label: Label = serde_json::from_value(rec["holder"].clone()).expect("a holder");
        self.nodes
            .iter()
            .position(|n| n.settings.label == label)
            .expect("a node")
    }
}

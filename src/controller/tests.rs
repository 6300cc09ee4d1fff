//! Whole days in small: cores against a scripted store, cloud and workers,
//! under a fake clock. Each test names the failure that it guards against.

use super::core::{Answer, Core, DirectAnswer, Effect, Input, Tag};
use crate::api::desk::Found;
use crate::clock::Micros;
use crate::fleet::{CloudReply, CloudRequest, CloudStanding, Listed, MachineType};
use crate::ids::{Attempt, JobId, Label, MachineId, Stamp, Tenure, Token};
use crate::jobs::tests::{desc, types};
use crate::jobs::{EndedRec, JobDesc, JobRec, Standing};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::settings::tests::{example, settings};
use crate::store::{self, Change, Cond, Op, Reply, Request, Row, cond, keys};
use crate::workers::{Direct, Order, Report};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;

fn secs(s: f64) -> Micros {
    Micros::from_secs(s)
}

/// A state service in memory, as its page describes it.
#[derive(Default)]
struct FakeStore {
    ledger: u64,
    keys: BTreeMap<String, (u64, Value, Option<u64>)>,
    leases: BTreeMap<u64, (Micros, Micros)>,
    log: Vec<Change>,
    next_lease: u64,
    down: bool,
    /// Changes asked for, refused ones included.
    changes: usize,
}

impl FakeStore {
    fn expire(&mut self, now: Micros) {
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

    fn end_lease(&mut self, id: u64) -> Reply {
        if self.leases.remove(&id).is_none() {
            return Reply::LeaseGone;
        }
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, v)| v.2 == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        self.commit(keys.into_iter().map(store::delete).collect());
        Reply::Done
    }

    fn commit(&mut self, ops: Vec<Op>) -> Reply {
        self.ledger += 1;
        for op in ops {
            match op {
                Op::Set { key, value, tenure } => {
                    self.log.push(Change {
                        set: Some(key.clone()),
                        delete: None,
                        value: value.clone(),
                        stamp: Stamp(self.ledger),
                    });
                    self.keys
                        .insert(key, (self.ledger, value, tenure.map(|t| t.0)));
                }
                Op::Delete { key } => {
                    if self.keys.remove(&key).is_some() {
                        self.log.push(Change {
                            set: None,
                            delete: Some(key),
                            value: Value::Null,
                            stamp: Stamp(self.ledger),
                        });
                    }
                }
            }
        }
        Reply::Committed(Stamp(self.ledger))
    }

    /// What the settings of these tests allow; a transaction beyond it is malformed.
    fn check_limits(&mut self, conds: &[Cond], ops: &[Op]) {
        assert!(
            ops.len() <= 16 && conds.len() <= 64,
            "{} {}",
            ops.len(),
            conds.len()
        );
        let mut bytes = 0;
        for op in ops {
            if let Op::Set { key, value, .. } = op {
                let long = value.to_string().len();
                assert!(long <= 16 * 1024, "{key} has {long} bytes");
                bytes += long;
            }
        }
        assert!(bytes < 60 * 1024, "{bytes} bytes in a transaction");
        self.changes += ops.len();
    }

    fn txn(&mut self, conds: &[Cond], ops: Vec<Op>) -> Reply {
        self.check_limits(conds, &ops);
        let stamp = |k: &str| self.keys.get(k).map_or(0, |v| v.0);
        let failed: Vec<String> = conds
            .iter()
            .filter(|c| stamp(&c.key) != c.stamp.0)
            .map(|c| c.key.clone())
            .collect();
        let dead = ops.iter().any(
            |op| matches!(op, Op::Set { tenure: Some(t), .. } if !self.leases.contains_key(&t.0)),
        );
        if dead {
            return Reply::LeaseGone;
        }
        if failed.is_empty() {
            self.commit(ops)
        } else {
            Reply::Conflict(failed)
        }
    }

    fn answer(&mut self, now: Micros, request: Request) -> Reply {
        if self.down {
            return Reply::Refused;
        }
        self.expire(now);
        match request {
            Request::Get { key } => match self.keys.get(&key) {
                Some((stamp, value, _)) => Reply::Found(Row {
                    key,
                    value: value.clone(),
                    stamp: Stamp(*stamp),
                }),
                None => Reply::Missing,
            },
            Request::Txn { conds, ops } => self.txn(&conds, ops),
            Request::NewLease { life } => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (life, now + life));
                Reply::Leased(Tenure(self.next_lease))
            }
            Request::Renew { tenure } => match self.leases.get_mut(&tenure.0) {
                Some((life, end)) => {
                    *end = now + *life;
                    Reply::Done
                }
                None => Reply::LeaseGone,
            },
            Request::EndLease { tenure } => self.end_lease(tenure.0),
            Request::List { .. } => Reply::Refused,
        }
    }

    fn rows(&self) -> Vec<Row> {
        let below = self.keys.iter().filter(|(k, _)| k.starts_with(store::ROOT));
        below
            .map(|(k, v)| Row {
                key: k.clone(),
                value: v.1.clone(),
                stamp: Stamp(v.0),
            })
            .collect()
    }
}

/// A worker with instant images whose tasks run until the script ends them.
struct FakeWorker {
    id: MachineId,
    shift: u64,
    tally: u64,
    baton: Token,
    hands: BTreeMap<String, (u64, String, Option<String>)>,
    node: Option<usize>,
    cut: bool,
    last_answer: Micros,
    /// When it reports next.
    due: Micros,
}

impl FakeWorker {
    fn report(&mut self) -> Report {
        self.tally += 1;
        let hands: Vec<Value> = self
            .hands
            .iter()
            .map(|(h, (n, standing, cause))| json!({"hand": h, "try": n, "standing": standing, "cause": cause}))
            .collect();
        serde_json::from_value(json!({"rig": self.id, "addr": format!("{}:1", self.id), "build": "big", "yard": "x",
            "loaners": false, "shift": self.shift, "tally": self.tally, "baton": self.baton, "hands": hands}))
        .expect("a report")
    }

    fn run(&mut self, orders: &[Order]) {
        for o in orders {
            match o {
                Order::Launch { hand, attempt } => {
                    self.hands
                        .entry(hand.clone())
                        .or_insert((attempt.0, "running".into(), None));
                }
                Order::Halt { hand, attempt, .. } => {
                    if let Some(h) = self
                        .hands
                        .get_mut(hand)
                        .filter(|h| h.0 == attempt.0 && h.1 == "running")
                    {
                        *h = (h.0, "exited".into(), Some("stopped".into()));
                    }
                }
                Order::Reap { hand, .. } => {
                    self.hands.remove(hand);
                }
            }
        }
    }

    fn direct(&mut self, d: &Direct) -> Report {
        if d.baton >= self.baton && d.shift == self.shift {
            self.baton = d.baton;
            self.run(&d.orders);
        }
        self.report()
    }
}

struct Node {
    core: Option<Core>,
    settings: Rc<Settings>,
    since: u64,
    loaded: bool,
    /// It does not reach the store.
    no_store: bool,
}

struct World {
    now: Micros,
    store: FakeStore,
    nodes: Vec<Node>,
    workers: Vec<FakeWorker>,
    /// Machines that the cloud has returned.
    returned: Vec<MachineId>,
    cloud_down: bool,
    /// Transactions and direct commands held back by a cut, to be let go later.
    held_txns: Vec<(Vec<Cond>, Vec<Op>)>,
    hold_job_txns: bool,
    held_directs: Vec<(usize, Direct)>,
    hold_directs: bool,
    /// What users were told of jobs: by which node, on which question.
    found: Vec<(usize, u64, Found)>,
}

impl World {
    fn new(nodes: usize, machines: usize) -> World {
        let mut all = Vec::new();
        for i in 0..nodes {
            let mut v = example();
            v["label"] = format!("c{i}").into();
            v["seeds"] = json!([]);
            v["settings"]["initial_size"] = nodes.into();
            let s: Settings = serde_json::from_value(v).expect("settings");
            all.push(Node {
                core: None,
                settings: Rc::new(s),
                since: 0,
                loaded: false,
                no_store: false,
            });
        }
        let workers = (0..machines)
            .map(|i| FakeWorker {
                id: MachineId::from(format!("m-{i:06}")),
                shift: 1,
                tally: 0,
                baton: Token(0),
                hands: BTreeMap::new(),
                node: None,
                cut: false,
                last_answer: secs(1.0),
                due: secs(1.0),
            })
            .collect();
        let mut w = World {
            now: secs(1.0),
            store: FakeStore::default(),
            nodes: all,
            workers,
            returned: vec![],
            cloud_down: false,
            held_txns: vec![],
            hold_job_txns: false,
            held_directs: vec![],
            hold_directs: false,
            found: vec![],
        };
        for i in 0..nodes {
            w.start(i);
        }
        w
    }

    fn start(&mut self, i: usize) {
        let n = &mut self.nodes[i];
        // Nothing idle is returned here, unless a test wants it.
        let policy = Policy {
            idle_return: secs(10_000.0),
            ..Policy::default()
        };
        n.core = Some(Core::new(n.settings.clone(), Rc::new(policy), self.now));
        n.loaded = false;
    }

    fn crash(&mut self, i: usize) {
        self.nodes[i].core = None;
    }

    fn feed(&mut self, i: usize, input: Input) -> Option<Answer> {
        let now = self.now;
        let mut inputs = vec![input];
        let mut told = None;
        while let Some(input) = inputs.pop() {
            let core = self.nodes[i].core.as_mut()?;
            for effect in core.handle(now, now, input) {
                match effect {
                    Effect::Store { tag, request, .. } => {
                        let reply = self.ask(i, &tag, request);
                        inputs.push(Input::Stored { tag, reply });
                    }
                    Effect::Answer { answer, .. } => told = Some(answer),
                    Effect::Do {
                        block,
                        term,
                        machine,
                        direct,
                        ..
                    } => {
                        let answer = self.direct(&machine, direct);
                        inputs.push(Input::DirectAnswer {
                            block,
                            term,
                            machine,
                            answer,
                        });
                    }
                    Effect::Cloud(request) => {
                        let reply = self.cloud(&request);
                        inputs.push(Input::Cloud { request, reply });
                    }
                    Effect::News(news) => {
                        for j in (0..self.nodes.len()).filter(|j| *j != i) {
                            if let Some(peer) = self.nodes[j].core.as_mut() {
                                // What peers do about it, they do at their next tick.
                                peer.note(now, news.clone());
                            }
                        }
                    }
                    Effect::Found { ticket, found } => self.found.push((i, ticket, found)),
                    Effect::View(_) => {}
                }
            }
        }
        told
    }

    fn ask(&mut self, i: usize, tag: &Tag, request: Request) -> Reply {
        if self.nodes[i].no_store {
            return Reply::Unknown;
        }
        if self.hold_job_txns
            && let (Tag::Holder(..), Request::Txn { conds, ops }) = (tag, &request)
        {
            self.held_txns.push((conds.clone(), ops.clone()));
            return Reply::Unknown;
        }
        self.store.answer(self.now, request)
    }

    fn direct(&mut self, machine: &MachineId, d: Direct) -> DirectAnswer {
        let Some(at) = self.workers.iter().position(|w| w.id == *machine) else {
            return DirectAnswer::NotSent;
        };
        if self.hold_directs {
            self.held_directs.push((at, d));
            return DirectAnswer::Lost;
        }
        if self.workers[at].cut || self.returned.contains(machine) {
            return DirectAnswer::NotSent;
        }
        DirectAnswer::Report(self.workers[at].direct(&d))
    }

    fn cloud(&mut self, request: &CloudRequest) -> CloudReply {
        if self.cloud_down && *request != CloudRequest::Types {
            return CloudReply::Unknown;
        }
        match request {
            CloudRequest::Types => CloudReply::Types(types()),
            CloudRequest::List => {
                let there = self
                    .workers
                    .iter()
                    .filter(|w| !self.returned.contains(&w.id));
                CloudReply::List(
                    there
                        .map(|w| Listed {
                            id: w.id.clone(),
                            addr: Some(format!("{}:1", w.id)),
                            build: "big".into(),
                            zone: "x".into(),
                            spot: false,
                            standing: CloudStanding::Running,
                            age_s: 1.0,
                        })
                        .collect(),
                )
            }
            CloudRequest::Rent(..) => CloudReply::NoCapacity,
            CloudRequest::Return(ids) => {
                self.returned.extend(ids.iter().cloned());
                for w in self.workers.iter_mut().filter(|w| ids.contains(&w.id)) {
                    w.hands.clear();
                }
                CloudReply::Returned
            }
        }
    }

    /// Lets time pass in steps of 100 ms.
    fn pass(&mut self, s: f64) {
        let until = self.now + secs(s);
        while self.now < until {
            self.now = self.now + Micros::from_millis(100);
            self.store.expire(self.now);
            for i in 0..self.nodes.len() {
                if self.nodes[i].core.is_none() {
                    continue;
                }
                if !self.nodes[i].no_store && !self.store.down {
                    self.sync(i);
                }
                self.feed(i, Input::Tick);
            }
            for at in 0..self.workers.len() {
                if self.now >= self.workers[at].due {
                    self.workers[at].due = self.now + secs(2.0);
                    self.check_in(at);
                }
            }
        }
    }

    fn sync(&mut self, i: usize) {
        let sent = self.now;
        let ledger = self.store.ledger;
        let input = if self.nodes[i].loaded {
            let since = self.nodes[i].since;
            let log: Vec<Change> = self
                .store
                .log
                .iter()
                .filter(|c| c.stamp.0 > since)
                .cloned()
                .collect();
            Input::Changes { log, ledger, sent }
        } else {
            self.nodes[i].loaded = true;
            Input::Loaded {
                rows: self.store.rows(),
                ledger,
                sent,
            }
        };
        self.nodes[i].since = ledger;
        self.feed(i, input);
    }

    fn check_in(&mut self, at: usize) {
        if self.returned.contains(&self.workers[at].id) {
            return;
        }
        let over = secs(self.nodes[0].settings.platform.workers.lease_s);
        if self.now.since(self.workers[at].last_answer) > over {
            let w = &mut self.workers[at];
            w.shift += 1;
            w.hands.clear();
            w.last_answer = self.now;
        }
        if self.workers[at].cut {
            return;
        }
        let order: Vec<usize> = self.workers[at]
            .node
            .into_iter()
            .chain(0..self.nodes.len())
            .collect();
        for i in order {
            let report = self.workers[at].report();
            match self.feed(i, Input::CheckIn { report, ticket: 1 }) {
                Some(Answer::Orders(o)) => {
                    let w = &mut self.workers[at];
                    if o.baton > w.baton || !o.orders.is_empty() {
                        // A change is reported soon.
                        w.due = self.now + secs(0.5);
                    }
                    if o.baton >= w.baton {
                        w.baton = o.baton;
                        w.last_answer = self.now;
                        w.node = Some(i);
                        w.run(&o.orders);
                    }
                    return;
                }
                _ => self.workers[at].node = None,
            }
        }
    }

    fn submit(&mut self, desc: &JobDesc) {
        let holder = self
            .store
            .keys
            .get("r/blocks/0/holder")
            .map_or((0, Value::Null), |v| (v.0, v.1.clone()));
        let born = serde_json::from_value(holder.1["term"].clone()).unwrap_or_default();
        let rec = JobRec {
            desc: desc.clone(),
            at: self.now,
            born,
        };
        let conds = [
            cond(keys::job(&desc.id), Stamp(0)),
            cond("r/blocks/0/holder".into(), Stamp(holder.0)),
        ];
        let reply = self
            .store
            .txn(&conds, vec![store::set(keys::job(&desc.id), &rec)]);
        assert!(matches!(reply, Reply::Committed(_)), "{reply:?}");
    }

    fn cancel(&mut self, id: &str) {
        let id = JobId::from(id);
        let ended = EndedRec {
            standing: Standing::Cancelled,
            tasks: 1,
        };
        self.store.commit(vec![
            store::delete(keys::job(&id)),
            store::set(keys::ended(&id), &ended),
        ]);
    }

    fn ended(&self, id: &str) -> Option<Standing> {
        let rec = self.store.keys.get(&keys::ended(&JobId::from(id)))?;
        serde_json::from_value::<EndedRec>(rec.1.clone())
            .ok()
            .map(|e| e.standing)
    }

    /// Where a task's attempts run now.
    fn running(&self, hand: &str) -> Vec<usize> {
        let runs = |w: &FakeWorker| w.hands.get(hand).is_some_and(|h| h.1 == "running");
        (0..self.workers.len())
            .filter(|at| runs(&self.workers[*at]))
            .collect()
    }

    fn all_running(&self) -> usize {
        self.workers
            .iter()
            .map(|w| w.hands.values().filter(|h| h.1 == "running").count())
            .sum()
    }

    fn finish_all(&mut self) {
        for h in self
            .workers
            .iter_mut()
            .flat_map(|w| w.hands.values_mut())
            .filter(|h| h.1 == "running")
        {
            h.1 = "exited".into();
            h.2 = Some("done".into());
        }
    }

    fn holder(&self) -> usize {
        let rec = &self.store.keys["r/blocks/0/holder"].1;
        let label: Label = serde_json::from_value(rec["holder"].clone()).expect("a holder");
        self.nodes
            .iter()
            .position(|n| n.settings.label == label)
            .expect("a node")
    }
}

fn started(nodes: usize, machines: usize) -> World {
    let mut w = World::new(nodes, machines);
    w.pass(6.0);
    w
}

#[test]
fn a_job_runs_is_recorded_and_only_then_forgotten_by_its_worker() {
    let mut w = started(2, 1);
    w.submit(&desc("j-1", 3));
    w.pass(3.0);
    assert_eq!(w.all_running(), 3);
    w.hold_job_txns = true;
    w.finish_all();
    w.pass(3.0);
    assert_eq!(
        w.workers[0].hands.len(),
        3,
        "not reaped before its end is stored"
    );
    w.hold_job_txns = false;
    w.pass(6.0);
    assert_eq!(w.ended("j-1"), Some(Standing::Done));
    assert!(w.workers[0].hands.is_empty(), "reaped");
}

#[test]
fn a_late_transaction_changes_nothing_and_done_stays_done() {
    let mut w = started(1, 1);
    w.submit(&desc("j-1", 2));
    w.pass(3.0);
    w.hold_job_txns = true;
    w.finish_all();
    w.pass(3.0);
    w.hold_job_txns = false;
    w.pass(5.0);
    assert_eq!(w.ended("j-1"), Some(Standing::Done));
    for (conds, ops) in std::mem::take(&mut w.held_txns) {
        assert!(
            matches!(w.store.txn(&conds, ops), Reply::Conflict(_)),
            "its stamps have moved on"
        );
    }
    assert_eq!(w.ended("j-1"), Some(Standing::Done));
}

#[test]
fn a_take_over_adopts_what_runs_and_starts_nothing_twice() {
    let mut w = started(2, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    assert_eq!(w.all_running(), 4);
    let before = w.holder();
    w.crash(before);
    w.pass(40.0);
    assert_ne!(w.holder(), before);
    for i in 0..4 {
        assert_eq!(w.running(&format!("j-1/{i}")).len(), 1);
    }
    w.finish_all();
    w.pass(4.0);
    assert_eq!(w.ended("j-1"), Some(Standing::Done));
}

#[test]
fn after_a_take_over_old_jobs_wait_for_silent_machines() {
    let mut w = started(2, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    let with = w.running("j-1/0")[0];
    w.workers[with].cut = true;
    w.cloud_down = true;
    let before = w.holder();
    w.crash(before);
    // The old holder's lease is over, but not yet the worker's.
    w.pass(25.0);
    assert_ne!(w.holder(), before);
    w.submit(&desc("j-2", 1));
    w.pass(3.0);
    assert_eq!(
        w.running("j-1/0"),
        vec![with],
        "it may still run behind the cut"
    );
    assert!(
        w.running("j-2/0").is_empty(),
        "the silent machine may use up the whole limit"
    );
    w.pass(40.0);
    assert_eq!(w.running("j-1/0").len(), 1);
    assert_ne!(
        w.running("j-1/0"),
        vec![with],
        "the worker's lease is surely over"
    );
}

#[test]
fn a_silent_machine_counts_against_the_teams_limit() {
    let mut w = started(2, 3);
    // 16 cores are the limit; 8 tasks of 2 cores use it up.
    w.submit(&desc("j-1", 8));
    w.pass(3.0);
    assert_eq!(w.all_running(), 8);
    for at in w.running("j-1/0") {
        w.workers[at].cut = true;
    }
    w.cloud_down = true;
    let before = w.holder();
    w.crash(before);
    w.pass(25.0);
    w.submit(&desc("j-2", 8));
    w.pass(3.0);
    assert!(
        w.all_running() <= 8,
        "{} tasks of 2 cores for 16 cores",
        w.all_running()
    );
}

#[test]
fn a_delayed_direct_command_is_fenced() {
    let mut w = started(1, 1);
    w.hold_directs = true;
    w.submit(&desc("j-1", 1));
    w.pass(3.0);
    assert_eq!(w.held_directs.len(), 1, "lost on its way");
    w.hold_directs = false;
    w.pass(2.5);
    assert_eq!(w.running("j-1/0").len(), 1, "launched by an answer instead");
    w.finish_all();
    w.pass(6.0);
    assert_eq!(w.ended("j-1"), Some(Standing::Done));
    let (at, late) = w.held_directs.remove(0);
    w.workers[at].direct(&late);
    assert_eq!(
        w.all_running(),
        0,
        "its token is older than what the worker has seen"
    );
}

#[test]
fn a_cancelled_job_whose_launch_may_still_arrive_never_runs() {
    let mut w = started(1, 1);
    w.hold_directs = true;
    w.workers[0].cut = true;
    w.submit(&desc("j-1", 1));
    w.pass(0.4);
    w.cancel("j-1");
    w.pass(1.0);
    w.hold_directs = false;
    w.workers[0].cut = false;
    w.pass(5.0);
    for (at, late) in std::mem::take(&mut w.held_directs) {
        w.workers[at].direct(&late);
    }
    assert_eq!(w.all_running(), 0);
    w.submit(&desc("j-2", 1));
    w.pass(4.0);
    assert_eq!(w.running("j-2/0").len(), 1, "the machine goes on");
}

#[test]
fn a_cancellation_during_a_cut_is_over_within_its_time() {
    let mut w = started(2, 1);
    w.submit(&desc("j-1", 1));
    w.pass(3.0);
    let holder = w.holder();
    // The holder still reaches its worker, but not the store.
    w.nodes[holder].no_store = true;
    w.cancel("j-1");
    let cancel_s = w.nodes[0].settings.platform.workers.cancel_s;
    w.pass(cancel_s - 1.0);
    assert_eq!(w.all_running(), 0);
}

#[test]
fn outside_its_lease_a_holder_answers_no_worker_and_starts_nothing() {
    let mut w = started(1, 1);
    w.store.down = true;
    w.pass(10.0);
    let answer = {
        let r = w.workers[0].report();
        w.feed(
            0,
            Input::CheckIn {
                report: r,
                ticket: 1,
            },
        )
    };
    assert!(
        matches!(answer, Some(Answer::Orders(_))),
        "an outage shorter than the lease"
    );
    w.pass(15.0);
    let r = w.workers[0].report();
    assert_eq!(
        w.feed(
            0,
            Input::CheckIn {
                report: r,
                ticket: 1
            }
        ),
        Some(Answer::NotNow)
    );
    // The store is back; it goes on under a lease, old or new.
    w.store.down = false;
    w.pass(5.0);
    w.submit(&desc("j-1", 1));
    w.pass(4.0);
    assert_eq!(w.all_running(), 1);
}

#[test]
fn all_controllers_restart_and_go_on_with_what_runs() {
    let mut w = started(3, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    let terms = |w: &World| w.store.keys[keys::TERM].1["last"].as_u64();
    let before = terms(&w);
    for i in 0..3 {
        w.crash(i);
    }
    w.pass(2.0);
    for i in 0..3 {
        w.start(i);
    }
    w.pass(6.0);
    assert!(terms(&w) > before, "a new term for a new grant");
    assert_eq!(w.all_running(), 4);
    w.finish_all();
    w.pass(4.0);
    assert_eq!(w.ended("j-1"), Some(Standing::Done));
}

#[test]
fn machines_are_answered_by_their_holder_only() {
    let mut w = started(2, 1);
    let other = 1 - w.holder();
    let label = w.nodes[w.holder()].settings.label.clone();
    let r = w.workers[0].report();
    assert_eq!(
        w.feed(
            other,
            Input::CheckIn {
                report: r,
                ticket: 1
            }
        ),
        Some(Answer::Elsewhere(label))
    );
    // A machine that no block has is answered by nobody.
    let mut r = w.workers[0].report();
    r.machine = MachineId::from("m-999999");
    assert_eq!(
        w.feed(
            other,
            Input::CheckIn {
                report: r,
                ticket: 1
            }
        ),
        Some(Answer::NotNow)
    );
}

#[test]
fn a_gone_machines_tasks_start_again_once_the_cloud_has_said_so() {
    let mut w = started(1, 3);
    w.submit(&desc("j-1", 1));
    w.pass(3.0);
    let with = w.running("j-1/0")[0];
    w.workers[with].cut = true;
    w.pass(8.0);
    assert_eq!(w.running("j-1/0"), vec![with]);
    w.pass(8.0);
    assert!(w.returned.contains(&w.workers[with].id));
    assert_eq!(w.running("j-1/0").len(), 1);
    assert_ne!(w.running("j-1/0"), vec![with]);
}

#[test]
fn zones_and_limits_hold_for_every_task() {
    let mut w = started(1, 3);
    let mut one = desc("j-1", 100);
    one.one_zone = true;
    w.submit(&one);
    let mut apart = desc("j-2", 5);
    apart.apart = true;
    apart.team = "blue".into();
    w.submit(&apart);
    w.pass(4.0);
    let of = |w: &World, job: &str| {
        let mine = |h: &&String| h.starts_with(job);
        w.workers
            .iter()
            .map(|m| m.hands.keys().filter(mine).count())
            .sum::<usize>()
    };
    assert_eq!(of(&w, "j-1/"), 8, "16 cores for tasks of 2");
    // All machines are in one zone: at most half of five, rounded up.
    assert_eq!(of(&w, "j-2/"), 3);
}

#[test]
fn a_mistaken_job_condemns_no_machine() {
    let mut w = started(1, 2);
    w.submit(&desc("j-1", 4));
    for _ in 0..20 {
        w.pass(1.0);
        for h in w
            .workers
            .iter_mut()
            .flat_map(|m| m.hands.values_mut())
            .filter(|h| h.1 == "running")
        {
            *h = (h.0, "exited".into(), Some("error".into()));
        }
    }
    assert!(w.returned.is_empty());
    w.submit(&desc("j-2", 2));
    w.pass(4.0);
    assert_eq!(w.running("j-2/0").len(), 1);
}

#[test]
fn attempts_never_repeat_over_a_take_over() {
    let mut w = started(2, 1);
    w.submit(&desc("j-1", 1));
    w.pass(3.0);
    let first = w.workers[0].hands["j-1/0"].0;
    w.crash(w.holder());
    w.pass(25.0);
    w.finish_all();
    w.submit(&desc("j-2", 1));
    w.pass(4.0);
    let second = w.workers[0].hands["j-2/0"].0;
    assert!(Attempt(second) > Attempt(first));
}

#[test]
fn the_first_machine_type_list_is_shared_through_the_store() {
    let w = started(2, 1);
    let stored: Vec<MachineType> =
        serde_json::from_value(w.store.keys[keys::TYPES].1.clone()).expect("types");
    assert_eq!(stored, types());
    assert_eq!(settings().platform.initial_size, 2);
}

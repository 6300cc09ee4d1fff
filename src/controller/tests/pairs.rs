//! Two troubles at a time, drawn by a seed: which, whom, when and for how long, beside
//! users who submit, cancel and ask. All steady checks of the world are on, and once
//! the troubles are over everything ends, and every node tells the truth.
//!
//! `PAIRS=1000..1400 cargo test pairs` plays other seeds. One that fails becomes a
//! named test.

use super::characterization::WireRecorder;
use super::world::{World, secs};
use crate::api::read_index::JobLookup;
use crate::clock::Micros;
use crate::controller::messages::Input;
use crate::ids::{JobId, Revision};
use crate::jobs::JobState;
use crate::jobs::tests::desc;
use crate::subsystems::Subsystems;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    NoStore,
    Refused,
    Outage,
    LateWrites,
    LostAnswers,
    NoPeers,
    NoWorkers,
    /// It loses the store and its peers, not its workers.
    Alone,
    Standstill,
    Crash,
    EndOfAll,
    /// A node ends, and is back at once, again and again.
    Roll,
    /// Its watch is too old: it reads everything anew.
    Reload,
    Cut,
    ZoneCut,
    ReportsLost,
    CommandsLost,
    Hang,
    Reborn,
    LateCommands,
    LateReports,
    NoCloud,
    CancelAll,
}

const TROUBLES: [Trouble; 23] = [
    Trouble::NoStore,
    Trouble::Refused,
    Trouble::Outage,
    Trouble::LateWrites,
    Trouble::LostAnswers,
    Trouble::NoPeers,
    Trouble::NoWorkers,
    Trouble::Alone,
    Trouble::Standstill,
    Trouble::Crash,
    Trouble::EndOfAll,
    Trouble::Roll,
    Trouble::Reload,
    Trouble::Cut,
    Trouble::ZoneCut,
    Trouble::ReportsLost,
    Trouble::CommandsLost,
    Trouble::Hang,
    Trouble::Reborn,
    Trouble::LateCommands,
    Trouble::LateReports,
    Trouble::NoCloud,
    Trouble::CancelAll,
];

/// A trouble with whom it meets.
#[derive(Debug)]
struct Plan {
    trouble: Trouble,
    node: usize,
    machines: Vec<usize>,
    from: Micros,
    until: Micros,
}

/// What is special about a run of pairs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Kind {
    Plain,
    /// Jobs name others that have to be done before them.
    Chains,
    /// Zone failover is on, and a zone is cut off in each pair.
    Zones,
}

/// There are only six machines, two of them in the smaller zone.
const ZONES_ON: &str = "[zone-failover]\nenabled = true\n[zone-failover.health]\n\
                        least-machines = 2\n[zone-failover.waves]\nmachines = 1\ntasks = 2\n\
                        [zone-failover.return]\nmove-running = true";

struct Day {
    w: World,
    rng: StdRng,
    plans: Vec<Plan>,
    jobs: Vec<JobId>,
    kind: Kind,
    /// How each job was last said to have ended.
    told: BTreeMap<usize, JobState>,
}

const NODES: usize = 3;
const MACHINES: usize = 6;

impl Day {
    fn new(seed: u64, kind: Kind) -> Day {
        let mut w = World::new(NODES, MACHINES);
        w.renting = true;
        w.task_time = Some(secs(6.0));
        for at in 0..2 {
            (w.workers[at].machine_type, w.workers[at].zone) = ("small", "y");
        }
        if kind == Kind::Zones {
            let file = Subsystems::parse(ZONES_ON, &w.nodes[0].settings).expect("a file");
            for i in 0..NODES {
                w.nodes[i].subsystems = file.clone();
                w.start(i);
            }
        }
        w.pass(6.0);
        Day {
            w,
            rng: StdRng::seed_from_u64(seed),
            plans: Vec::new(),
            jobs: Vec::new(),
            kind,
            told: BTreeMap::new(),
        }
    }

    fn draw(&mut self, trouble: Trouble, from: Micros) -> Plan {
        let of_owner = self.rng.random_bool(0.6);
        let any = self.rng.random_range(0..NODES);
        let machines = (0..self.w.workers.len()).filter(|_| self.rng.random_bool(0.4));
        let machines = machines.collect();
        // Around the leases as well as much shorter and longer.
        let long = [0.3, 2.0, 6.0, 15.0, 25.0, 40.0, 70.0];
        let long = long.choose(&mut self.rng).copied().unwrap_or(1.0);
        Plan {
            trouble,
            node: if of_owner { self.w.owner() } else { any },
            machines,
            from,
            until: from + secs(long),
        }
    }

    fn set(&mut self, plan: &Plan, on: bool) {
        let (i, w) = (plan.node, &mut self.w);
        match plan.trouble {
            Trouble::NoStore => w.nodes[i].no_store = on,
            Trouble::Refused => w.nodes[i].refused = on,
            Trouble::Outage => w.store.down = on,
            Trouble::LateWrites => {
                w.nodes[i].late = on;
                if !on {
                    for (compares, mutations) in std::mem::take(&mut w.held_txns) {
                        w.store.txn(&compares, mutations);
                    }
                }
            }
            Trouble::LostAnswers => w.nodes[i].unanswered = on,
            Trouble::NoPeers => w.nodes[i].no_peers = on,
            Trouble::NoWorkers => w.nodes[i].no_workers = on,
            Trouble::Alone => {
                w.nodes[i].no_store = on;
                w.nodes[i].no_peers = on;
            }
            Trouble::Standstill => w.nodes[i].frozen = on,
            Trouble::Crash if on => w.crash(i),
            Trouble::Crash => w.start(i),
            Trouble::EndOfAll if on => (0..NODES).for_each(|i| w.crash(i)),
            Trouble::EndOfAll => (0..NODES).for_each(|i| w.start(i)),
            Trouble::Roll => {
                w.crash(i);
                w.start(i);
            }
            Trouble::Reload => w.nodes[i].loaded = false,
            Trouble::Cut => plan.machines.iter().for_each(|m| w.workers[*m].cut = on),
            Trouble::ZoneCut => {
                let there = w.workers.iter_mut().filter(|w| w.zone == "x");
                there.for_each(|m| m.cut = on);
            }
            Trouble::ReportsLost => plan
                .machines
                .iter()
                .for_each(|m| w.workers[*m].unheard = on),
            Trouble::CommandsLost => plan
                .machines
                .iter()
                .for_each(|m| w.workers[*m].unreachable = on),
            Trouble::Hang => plan.machines.iter().for_each(|m| w.workers[*m].hung = on),
            Trouble::Reborn => {
                let there = plan.machines.iter().filter(|_| on);
                there.for_each(|m| w.reborn(*m));
            }
            Trouble::LateCommands => {
                w.hold_directs = on;
                for (at, late) in std::mem::take(&mut w.held_directs) {
                    if !w.returned.contains(&w.workers[at].id) {
                        w.workers[at].direct(&late);
                    }
                }
            }
            Trouble::LateReports => w.copying = on,
            Trouble::NoCloud => w.cloud_down = on,
            Trouble::CancelAll if on => {
                for id in self.jobs.clone() {
                    self.cancel(&id);
                }
            }
            Trouble::CancelAll => {}
        }
    }

    fn submit(&mut self) {
        let mut d = desc(&format!("j-{}", 100 + self.jobs.len()), 1);
        d.tasks = *[1, 2, 3, 5].choose(&mut self.rng).expect("one");
        d.cores = *[1.0, 2.0, 4.0, 8.0].choose(&mut self.rng).expect("one");
        d.team = ["red", "blue"][self.rng.random_range(0..2)].into();
        d.deadline_s = self.rng.random_bool(0.5).then_some(60.0);
        d.checkpoint_interval_s = if self.rng.random_bool(0.3) { 5.0 } else { 0.0 };
        match self.rng.random_range(0..8) {
            0 => d.single_zone = true,
            1 if d.cores <= 4.0 => d.anti_affinity = true,
            2 => d.zone = Some("x".into()),
            3 => d.machine_types = Some(vec!["big".into()]),
            4 if self.rng.random_bool(0.3) => {
                self.w.mistaken.insert(d.id.clone());
            }
            _ => {}
        }
        if self.kind == Kind::Chains && !self.jobs.is_empty() && self.rng.random_bool(0.6) {
            // Mostly what was submitted just now, of whatever team and however it stands.
            let last = self.jobs.len().saturating_sub(4);
            let before: Vec<JobId> = (0..2)
                .filter_map(|_| self.jobs[last..].choose(&mut self.rng).cloned())
                .collect();
            d.dependencies = before;
            d.dependencies.dedup();
        }
        self.jobs.push(d.id.clone());
        self.w.submit(&d);
    }

    /// Through a node that reaches the store: it tells its peers.
    fn cancel(&mut self, id: &JobId) {
        let lives = self.w.store.keys.contains_key(&crate::store::keys::job(id));
        let able = |n: &super::world::Node| n.core.is_some() && !n.no_store && !n.refused;
        let by = (0..NODES).find(|i| able(&self.w.nodes[*i]) && !self.w.nodes[*i].frozen);
        if let Some(by) = by.filter(|_| lives && !self.w.store.down) {
            self.w.cancel(id.as_str());
            let (job, revision) = (id.clone(), Revision(self.w.store.revision));
            self.w.feed(by, Input::Cancelled { job, revision });
        }
    }

    /// Ten tenths of a second of users.
    fn second(&mut self, submits: bool) {
        let granted = self.w.store.keys.contains_key("r/blocks/0/holder");
        if submits && granted && !self.w.store.down && self.rng.random_bool(0.25) {
            self.submit();
        }
        if self.rng.random_bool(0.05)
            && let Some(id) = self.jobs.choose(&mut self.rng).cloned()
        {
            self.cancel(&id);
        }
        if !self.jobs.is_empty() {
            let n = self.rng.random_range(0..self.jobs.len());
            let node = self.rng.random_range(0..NODES);
            if self.w.nodes[node].core.is_some() && !self.w.nodes[node].frozen {
                self.w
                    .ask_for(node, self.jobs[n].clone().as_str(), n as u64);
            }
        }
        if !self.w.copies.is_empty() && self.rng.random_bool(0.7) {
            let n = self.rng.random_range(0..self.w.copies.len());
            let copy = self.w.copies.swap_remove(n);
            let node = self.rng.random_range(0..NODES);
            if self.w.nodes[node].core.is_some() && !self.w.nodes[node].no_workers {
                self.w.late_copy(node, &copy);
            }
        }
        self.w.pass(1.0);
        self.listen();
    }

    /// No answer goes back, and none is forgotten.
    fn listen(&mut self) {
        for (node, request_id, found) in std::mem::take(&mut self.w.found) {
            let n = request_id as usize;
            let id = &self.jobs[n];
            match found {
                JobLookup::Unavailable => {}
                JobLookup::NotFound => panic!("{id} is forgotten by node {node}"),
                JobLookup::Live { .. } => {
                    assert_eq!(self.told.get(&n), None, "{id} went back at node {node}");
                    // Cancellations of this second came before its questions.
                    let orphaned = self.w.is_cancelled(id);
                    assert!(!orphaned, "{id} is cancelled, but not at node {node}");
                }
                JobLookup::Ended(rec) => {
                    let first = *self.told.entry(n).or_insert(rec.state);
                    assert_eq!(first, rec.state, "{id} at node {node}");
                    let cancelled = self.w.is_cancelled(id);
                    assert_eq!(cancelled, rec.state == JobState::Cancelled, "{id}");
                }
            }
        }
    }

    fn play(&mut self, plans: Vec<Plan>) {
        self.plans = plans;
        let mut begun = vec![false; self.plans.len()];
        while let Some(last) = self.plans.iter().map(|p| p.until).max() {
            let now = self.w.now;
            for (i, p) in std::mem::take(&mut self.plans).into_iter().enumerate() {
                if !begun[i] && now >= p.from {
                    begun[i] = true;
                    self.set(&p, true);
                }
                self.plans.push(p);
            }
            let over = |p: &Plan| now >= p.until;
            if now >= last {
                break;
            }
            let ends: Vec<usize> = (0..self.plans.len())
                .filter(|i| over(&self.plans[*i]) && begun[*i])
                .collect();
            for i in ends.into_iter().rev() {
                let p = self.plans.remove(i);
                begun.remove(i);
                self.set(&p, false);
            }
            self.second(true);
        }
        for p in std::mem::take(&mut self.plans) {
            self.set(&p, false);
        }
        self.aftermath();
    }

    /// The troubles are over: jobs with a mistake are called off, all others end, and
    /// every node knows of every job.
    fn aftermath(&mut self) {
        self.w.copying = false;
        self.second(true);
        for _ in 0..30 {
            self.second(false);
        }
        for id in self.w.mistaken.clone() {
            self.cancel(&id);
        }
        let mut left = 240;
        while self.waiting().is_some() && left > 0 {
            self.second(false);
            left -= 1;
        }
        assert_eq!(self.waiting(), None, "not over {left}");
        self.w.found.clear();
        for node in 0..NODES {
            for n in 0..self.jobs.len() {
                let id = self.jobs[n].clone();
                self.w.ask_for(node, id.as_str(), n as u64);
            }
        }
        self.w.pass(1.0);
        assert_eq!(self.w.found.len(), NODES * self.jobs.len());
        let dumb = |f: &&(usize, u64, JobLookup)| f.2 == JobLookup::Unavailable;
        assert_eq!(self.w.found.iter().find(dumb), None);
        self.listen();
    }

    fn waiting(&self) -> Option<&JobId> {
        self.jobs
            .iter()
            .find(|id| self.w.ended(id.as_str()).is_none())
    }
}

/// A pair that overlaps, the second a little after the first.
fn pair(seed: u64, kind: Kind) {
    play_pair(Day::new(seed, kind), seed, kind);
}

/// A pair whose effects are all recorded.
pub(super) fn recorded_pair(seed: u64, kind: Kind) -> WireRecorder {
    let mut day = Day::new(seed, kind);
    day.w.recorder = Some(WireRecorder::default());
    let day = play_pair(day, seed, kind);
    day.w.recorder.expect("a recorder")
}

fn play_pair(mut day: Day, seed: u64, kind: Kind) -> Day {
    let [a, b] = [(); 2].map(|()| *TROUBLES.choose(&mut day.rng).expect("one"));
    let a = if kind == Kind::Zones {
        Trouble::ZoneCut
    } else {
        a
    };
    for _ in 0..12 {
        day.second(true);
    }
    let from = day.w.now;
    let first = day.draw(a, from);
    let gap = [0.2, 1.0, 4.0, 14.0].choose(&mut day.rng).copied();
    let second = day.draw(b, from + secs(gap.unwrap_or(1.0)));
    println!("seed {seed}: {first:?}, {second:?}");
    day.play(vec![first, second]);
    day
}

/// The seeds of one of so many tests, so that they run side by side.
fn pairs(part: u64, kind: Kind) {
    let range = std::env::var("PAIRS").ok();
    let range = range.as_deref().and_then(|r| r.split_once(".."));
    let number = |s: &str| s.parse().expect("a number");
    let (from, to) = range.map_or((0, 96), |(a, b)| (number(a), number(b)));
    for seed in (from..to).filter(|s| s % 4 == part) {
        pair(seed, kind);
    }
}

#[test]
fn pairs_of_troubles_break_no_rule_part_1() {
    pairs(0, Kind::Plain);
}

#[test]
fn pairs_of_troubles_break_no_rule_part_2() {
    pairs(1, Kind::Plain);
}

#[test]
fn pairs_of_troubles_break_no_rule_part_3() {
    pairs(2, Kind::Plain);
}

#[test]
fn pairs_of_troubles_break_no_rule_part_4() {
    pairs(3, Kind::Plain);
}

#[test]
fn pairs_of_troubles_break_no_chain_part_1() {
    pairs(0, Kind::Chains);
}

#[test]
fn pairs_of_troubles_break_no_chain_part_2() {
    pairs(1, Kind::Chains);
}

#[test]
fn pairs_of_troubles_break_no_chain_part_3() {
    pairs(2, Kind::Chains);
}

#[test]
fn pairs_of_troubles_break_no_chain_part_4() {
    pairs(3, Kind::Chains);
}

#[test]
fn pairs_of_troubles_with_a_lost_zone_break_no_rule_part_1() {
    pairs(0, Kind::Zones);
}

#[test]
fn pairs_of_troubles_with_a_lost_zone_break_no_rule_part_2() {
    pairs(1, Kind::Zones);
}

#[test]
fn pairs_of_troubles_with_a_lost_zone_break_no_rule_part_3() {
    pairs(2, Kind::Zones);
}

#[test]
fn pairs_of_troubles_with_a_lost_zone_break_no_rule_part_4() {
    pairs(3, Kind::Zones);
}

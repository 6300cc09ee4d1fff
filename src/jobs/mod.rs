//! Jobs: what users ask for, what is recorded, and where each task stands.

pub mod ranges;

use crate::clock::Micros;
use crate::fairness::Res;
use crate::fleet::MachineType;
use crate::ids::{JobId, Label, MachineId, Stamp, Term};
use crate::settings::Settings;
use crate::store::{self, Op, keys};
use ranges::RangeSet;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub const MOST_TASKS: u32 = 100_000;
/// Finished tasks of a larger job are kept in pages of this many, so that even
/// the worst pattern of ranges stays below what a value may hold.
pub const PAGE: u32 = 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    Idle,
    Standard,
    High,
    Production,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// Independent tasks.
    Sweep,
    /// Runs until it is cancelled (see docs/questions.md).
    Service,
}

/// A job as its user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobDesc {
    pub id: JobId,
    #[serde(rename = "lot")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    pub form: Form,
    pub rank: Rank,
    #[serde(rename = "hands")]
    pub tasks: u32,
    pub cores: f64,
    pub cards: f64,
    #[serde(rename = "memGb")]
    pub mem: f64,
    #[serde(rename = "deck")]
    pub image: String,
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    #[serde(default)]
    pub builds: Option<Vec<String>>,
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    #[serde(rename = "oneZone")]
    pub one_zone: bool,
    pub apart: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "reckonS")]
    pub estimate_s: f64,
    #[serde(rename = "markS")]
    pub checkpoint_s: f64,
    #[serde(rename = "stowS")]
    pub save_s: f64,
    #[serde(rename = "dueS", default)]
    pub due_s: Option<f64>,
}

/// Why a submission is refused for good.
#[derive(Debug, Clone, PartialEq)]
pub enum Refusal {
    Malformed(String),
    NeverRuns(String),
}

impl JobDesc {
    pub fn request(&self) -> Res {
        Res::new(self.cores, self.cards, self.mem)
    }

    /// Whether a machine of this type, zone and kind is one the job allows.
    pub fn allows(&self, build: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self
                .builds
                .as_ref()
                .is_none_or(|b| b.iter().any(|b| b == build))
    }

    /// Reads a submission; whatever is missing or invalid makes it malformed.
    pub fn parse(body: &[u8]) -> Result<JobDesc, Refusal> {
        let bad = |why: String| Err(Refusal::Malformed(why));
        let value: serde_json::Value = match serde_json::from_slice(body) {
            Ok(v) => v,
            Err(e) => return bad(format!("not JSON: {e}")),
        };
        if !value.is_object() {
            return bad("not an object".into());
        }
        let job: JobDesc = match serde_json::from_value(value) {
            Ok(j) => j,
            Err(e) => return bad(e.to_string()),
        };
        if !job.id.well_formed() {
            return bad("id must be j- and digits".into());
        }
        if job.tasks == 0 || job.tasks > MOST_TASKS {
            return bad(format!("hands must be from 1 to {MOST_TASKS}"));
        }
        let amounts = [
            ("cores", job.cores),
            ("cards", job.cards),
            ("memGb", job.mem),
            ("sizeGb", job.image_gb),
            ("reckonS", job.estimate_s),
            ("markS", job.checkpoint_s),
            ("stowS", job.save_s),
            ("dueS", job.due_s.unwrap_or(0.0)),
        ];
        if let Some((name, _)) = amounts.iter().find(|(_, a)| !a.is_finite() || *a < 0.0) {
            return bad(format!("{name} must be finite and not negative"));
        }
        if job.cores == 0.0 && job.cards == 0.0 && job.mem == 0.0 {
            return bad("a task must take something of its machine".into());
        }
        let names = [
            ("lot", &job.class),
            ("crew", &job.team),
            ("deck", &job.image),
        ];
        if let Some((name, _)) = names.iter().find(|(_, n)| n.is_empty()) {
            return bad(format!("{name} is empty"));
        }
        Ok(job)
    }

    /// Whether it can ever run here.
    pub fn admissible(&self, settings: &Settings, types: &[MachineType]) -> Result<(), Refusal> {
        let never = |why: String| Err(Refusal::NeverRuns(why));
        let Some(team) = settings.team(&self.team) else {
            return never(format!("unknown team {}", self.team));
        };
        let together = if self.form == Form::Sweep {
            1
        } else {
            self.tasks
        };
        let least = self.request().scale(f64::from(together));
        if !least.fits_in(&settings.platform.teams[team].limit()) {
            return never("one task is over its team's limit".into());
        }
        let fits = |t: &MachineType| {
            self.request().fits_in(&t.capacity())
                && t.zones.iter().any(|z| self.allows(&t.name, z, false))
        };
        if !types.iter().any(fits) {
            return never("a task fits no allowed machine type".into());
        }
        Ok(())
    }
}

/// What the store keeps of a job that is not over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRec {
    pub desc: JobDesc,
    /// Time of day at which it was accepted.
    pub at: Micros,
    /// The term of its team's block then: no earlier holder can have run it.
    pub born: Term,
    /// The owner that wrote this last.
    pub owner: Option<Label>,
    /// Finished tasks; empty where they are kept in pages.
    pub done: Vec<(u32, u32)>,
    pub done_count: u32,
    pub running: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    Pending,
    Running,
    Done,
    Cancelled,
}

/// What the store keeps of a job that is over. It never changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndedRec {
    pub standing: Standing,
    pub tasks: u32,
}

impl JobRec {
    pub fn standing(&self) -> Standing {
        if self.running > 0 {
            Standing::Running
        } else {
            Standing::Pending
        }
    }
}

/// How a write of a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Writing {
    No,
    /// Sent; the answer is out.
    Sent,
    /// The stamp is not known for sure: read before the next write.
    Reread,
}

/// A job in its owner's hands.
#[derive(Debug)]
pub struct Job {
    pub desc: Rc<JobDesc>,
    pub team: usize,
    pub at: Micros,
    pub born: Term,
    pub stamp: Stamp,
    pub done: RangeSet,
    /// Neither done nor on a machine.
    pub waiting: RangeSet,
    /// Where each attempt is.
    pub active: BTreeMap<u32, MachineId>,
    pub writing: Writing,
    pub dirty: bool,
    pub written: Micros,
    /// What was last written.
    shown: (u32, u32),
    dirty_pages: BTreeSet<u32>,
    /// The job's end is stored; it stays here until the watch has told so too.
    pub ended: bool,
    /// Failures in a row, and how long to wait because of them.
    pub failures: u32,
    pub not_before: Micros,
    pub failed_on: BTreeSet<MachineId>,
}

impl Job {
    pub fn new(
        rec: &JobRec,
        stamp: Stamp,
        pages: impl Iterator<Item = (u32, u32)>,
        team: usize,
    ) -> Job {
        let done = RangeSet::from_pairs(rec.done.iter().copied().chain(pages));
        let mut waiting = RangeSet::full(rec.desc.tasks);
        for (a, b) in done.pairs() {
            for i in a..b {
                waiting.remove(i);
            }
        }
        Job {
            desc: Rc::new(rec.desc.clone()),
            team,
            at: rec.at,
            born: rec.born,
            stamp,
            shown: (done.len(), rec.running),
            // A job whose last task was stored but not its end is ended by us.
            dirty: done.len() == rec.desc.tasks,
            done,
            waiting,
            active: BTreeMap::new(),
            writing: Writing::No,
            written: Micros::ZERO,
            dirty_pages: BTreeSet::new(),
            ended: false,
            failures: 0,
            not_before: Micros::ZERO,
            failed_on: BTreeSet::new(),
        }
    }

    pub fn all_done(&self) -> bool {
        self.done.len() == self.desc.tasks
    }

    fn paged(&self) -> bool {
        self.desc.tasks > PAGE
    }

    /// Records a finished task; false if it was known.
    pub fn finish(&mut self, index: u32) -> bool {
        self.active.remove(&index);
        self.waiting.remove(index);
        if index >= self.desc.tasks || !self.done.insert(index) {
            return false;
        }
        self.dirty = true;
        self.dirty_pages.insert(index / PAGE);
        true
    }

    /// The attempt is over without a result: the task waits again.
    pub fn requeue(&mut self, index: u32) {
        self.active.remove(&index);
        if index < self.desc.tasks && !self.done.contains(index) {
            self.waiting.insert(index);
        }
    }

    pub fn start(&mut self, index: u32, on: MachineId) {
        self.waiting.remove(index);
        self.active.insert(index, on);
    }

    /// Whether there is something to tell the store, and it is time to.
    pub fn wants_write(&self, now: Micros, running: u32, gap: Micros) -> bool {
        if self.ended || self.writing != Writing::No {
            return false;
        }
        let news = self.dirty || (self.shown.1 == 0) != (running == 0);
        // At once when the job ends: users wait for that.
        news && (self.all_done() || now.since(self.written) >= gap)
    }

    /// The writes that bring the store up to date. None if all is said.
    pub fn ops(&mut self, owner: &Label, running: u32) -> Vec<Op> {
        let id = &self.desc.id;
        self.shown = (self.done.len(), running);
        self.dirty = false;
        if self.all_done() {
            let ended = EndedRec {
                standing: Standing::Done,
                tasks: self.desc.tasks,
            };
            return vec![
                store::delete(keys::job(id)),
                store::set(keys::ended(id), &ended),
            ];
        }
        let rec = JobRec {
            desc: (*self.desc).clone(),
            at: self.at,
            born: self.born,
            owner: Some(owner.clone()),
            done: if self.paged() {
                vec![]
            } else {
                self.done.pairs().collect()
            },
            done_count: self.done.len(),
            running,
        };
        let mut ops = vec![store::set(keys::job(id), &rec)];
        if self.paged() {
            // A few at a time: a transaction takes only so many.
            while ops.len() < 4 {
                let Some(page) = self.dirty_pages.pop_first() else {
                    break;
                };
                let slice = self.done.slice(page * PAGE, (page + 1) * PAGE);
                ops.push(store::set(keys::page(id, page), &slice));
            }
            self.dirty = !self.dirty_pages.is_empty();
        }
        ops
    }

    /// The last write failed or may have: everything is written once more.
    pub fn unwritten(&mut self) {
        self.dirty = true;
        if self.paged() {
            let pages: Vec<u32> = self
                .done
                .pairs()
                .flat_map(|(a, b)| (a / PAGE)..=((b - 1) / PAGE))
                .collect();
            self.dirty_pages.extend(pages);
        }
    }

    /// The order among jobs of one rank: least slack first, but those whose
    /// deadline is lost come after those that can still keep theirs.
    pub fn urgency(&self, day: Micros) -> (bool, i64) {
        let slack = self.slack(day);
        (slack < -2_000_000, slack)
    }

    /// Microseconds until it is due, less what its tasks still take; jobs
    /// without a deadline come after those with one.
    pub fn slack(&self, day: Micros) -> i64 {
        match self.desc.due_s {
            Some(due) => {
                let due = self.at + Micros::from_secs(due);
                due.0 as i64 - day.0 as i64 - Micros::from_secs(self.desc.estimate_s).0 as i64
            }
            None => i64::MAX / 2,
        }
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use crate::settings::tests::settings;

    pub fn body() -> serde_json::Value {
        serde_json::json!({
            "id": "j-000412", "lot": "train", "crew": "red", "form": "sweep", "rank": "high", "hands": 4,
            "cores": 2.0, "cards": 0.0, "memGb": 4.0, "deck": "img-07", "sizeGb": 1.0,
            "builds": null, "yard": null, "oneZone": false, "apart": false, "loaners": true,
            "reckonS": 10.0, "markS": 0.0, "stowS": 0.0, "dueS": 60.0, "new": "field"
        })
    }

    pub fn desc(id: &str, tasks: u32) -> JobDesc {
        let mut b = body();
        b["id"] = id.into();
        b["hands"] = tasks.into();
        JobDesc::parse(b.to_string().as_bytes()).expect("well formed")
    }

    pub fn rec(id: &str, tasks: u32, born: Term) -> JobRec {
        JobRec {
            desc: desc(id, tasks),
            at: Micros(0),
            born,
            owner: None,
            done: vec![],
            done_count: 0,
            running: 0,
        }
    }

    pub fn types() -> Vec<MachineType> {
        serde_json::from_value(serde_json::json!([
            {"name": "small", "cores": 4.0, "cards": 0.0, "memGb": 16.0, "cacheGb": 50.0, "pullGbPerS": 1.0,
             "price": 0.2, "lowPrice": 0.1, "readyS": 30.0, "yards": ["x", "y"]},
            {"name": "big", "cores": 16.0, "cards": 0.0, "memGb": 64.0, "cacheGb": 50.0, "pullGbPerS": 1.0,
             "price": 0.8, "lowPrice": 0.3, "readyS": 30.0, "yards": ["x"]}
        ]))
        .expect("well formed")
    }

    #[test]
    fn bad_input_is_malformed() {
        let parse = |v: &serde_json::Value| JobDesc::parse(v.to_string().as_bytes());
        assert!(parse(&body()).is_ok());
        assert!(matches!(JobDesc::parse(b"{"), Err(Refusal::Malformed(_))));
        assert!(matches!(JobDesc::parse(b"[]"), Err(Refusal::Malformed(_))));
        let cases = [
            ("hands", serde_json::json!(0)),
            ("hands", serde_json::json!(100_001)),
            ("hands", serde_json::json!(1.5)),
            ("cores", serde_json::json!(-1.0)),
            ("cores", serde_json::json!("2")),
            ("memGb", serde_json::json!(null)),
            ("dueS", serde_json::json!(-3.0)),
            ("id", serde_json::json!("job 1")),
            ("rank", serde_json::json!("urgent")),
            ("form", serde_json::json!("gang")),
            ("oneZone", serde_json::json!(null)),
        ];
        for (field, value) in cases {
            let mut b = body();
            b[field] = value.clone();
            assert!(
                matches!(parse(&b), Err(Refusal::Malformed(_))),
                "{field} = {value}"
            );
        }
        for field in ["id", "crew", "hands", "deck", "reckonS", "loaners"] {
            let mut b = body();
            b.as_object_mut().expect("an object").remove(field);
            assert!(
                matches!(parse(&b), Err(Refusal::Malformed(_))),
                "without {field}"
            );
        }
        assert!(JobDesc::parse(br#"{"cores":1e999}"#).is_err());
    }

    #[test]
    fn what_can_never_run_is_told_apart() {
        let s = settings();
        assert_eq!(desc("j-1", 4).admissible(&s, &types()), Ok(()));
        let check = |change: &dyn Fn(&mut JobDesc)| {
            let mut d = desc("j-1", 4);
            change(&mut d);
            matches!(d.admissible(&s, &types()), Err(Refusal::NeverRuns(_)))
        };
        assert!(check(&|d| d.team = "green".into()));
        assert!(check(&|d| d.cores = 17.0));
        assert!(check(&|d| d.mem = 65.0));
        assert!(check(&|d| d.zone = Some("nowhere".into())));
        assert!(check(&|d| d.builds = Some(vec![])));
        assert!(check(&|d| {
            d.zone = Some("y".into());
            d.cores = 8.0;
        }));
    }

    #[test]
    fn finished_tasks_of_a_large_job_are_split_over_keys() {
        let mut job = Job::new(
            &rec("j-1", MOST_TASKS, Term(1)),
            Stamp(1),
            std::iter::empty(),
            0,
        );
        // The worst pattern: every other task of the whole job.
        for i in (0..MOST_TASKS).step_by(2) {
            job.finish(i);
        }
        let (mut largest, mut writes) = (0, 0);
        while job.dirty {
            for op in job.ops(&Label::from("c0"), 1) {
                let Op::Set { value, .. } = op else {
                    panic!("only sets")
                };
                largest = largest.max(value.to_string().len());
                writes += 1;
            }
        }
        assert!(largest < 8 * 1024, "{largest}");
        assert!(writes > 90);
    }

    #[test]
    fn an_ended_job_is_moved_in_one_transaction() {
        let mut job = Job::new(&rec("j-1", 2, Term(1)), Stamp(1), std::iter::empty(), 0);
        job.finish(0);
        assert!(!job.wants_write(Micros(1), 1, Micros(2_000_000)), "batched");
        assert!(job.finish(1) && !job.finish(1));
        assert!(job.wants_write(Micros(1), 0, Micros(2_000_000)), "at once");
        let ops = job.ops(&Label::from("c0"), 0);
        assert_eq!(ops[0], store::delete("r/jobs/j-1".into()));
        assert!(matches!(&ops[1], Op::Set { key, .. } if key == "ended/j-1"));
    }
}

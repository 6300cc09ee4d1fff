//! Which waiting task goes where: lightest team first, like tasks as a class.

use crate::clock::Micros;
use crate::fairness::{self, Res};
use crate::ids::{JobId, MachineId};
use crate::jobs::{Job, JobDesc};
use crate::settings::Settings;
use crate::workers::{Key, Leaving, Machine, Phase, Reserved, Try};
use std::collections::{BTreeMap, BTreeSet};

/// A decision: this task on this machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    pub job: JobId,
    pub index: u32,
    pub machine: MachineId,
}

/// Tasks that are decided alike: if one finds no room, none does.
#[derive(Debug, Clone, PartialEq, PartialOrd)]
struct Shape<'a> {
    request: [f64; 3],
    builds: Option<&'a [String]>,
    zone: Option<&'a str>,
    spot: bool,
    image: &'a str,
    /// Jobs bound to zones by their own tasks are their own class.
    own: Option<&'a JobId>,
}

fn shape(d: &JobDesc) -> Shape<'_> {
    Shape {
        request: [d.cores, d.cards, d.mem],
        builds: d.builds.as_deref(),
        zone: d.zone.as_deref(),
        spot: d.spot,
        image: &d.image,
        own: (d.one_zone || d.apart).then_some(&d.id),
    }
}

/// What placement may look at.
pub struct Scene<'a> {
    pub settings: &'a Settings,
    /// All machines of all blocks.
    pub fleet: Res,
    pub now: Micros,
    pub day: Micros,
    pub jobs: &'a BTreeMap<JobId, Job>,
    pub machines: &'a BTreeMap<MachineId, Machine>,
    pub teams: &'a [usize],
}

struct Room<'a> {
    id: &'a MachineId,
    machine: &'a Machine,
    free: Res,
    summed: Res,
    /// Summed requests of each team that has something here.
    teams: BTreeMap<usize, Res>,
    images: BTreeSet<&'a str>,
    held: bool,
}

pub struct Team {
    pub heaviness: f64,
    pub used: Res,
}

/// Heaviness of the block's teams, and what counts against their limits.
pub fn weigh(scene: &Scene<'_>) -> BTreeMap<usize, Team> {
    let all = scene.settings.guarantees();
    let mut teams: BTreeMap<usize, Team> = BTreeMap::new();
    for &t in scene.teams {
        let guarantee = scene.settings.platform.teams[t].guarantee();
        let quota = fairness::actual_quota(guarantee, scene.fleet, all);
        teams.insert(
            t,
            Team {
                heaviness: -fairness::s(quota, scene.fleet),
                used: Res::default(),
            },
        );
    }
    for m in scene.machines.values() {
        if m.unsettled {
            // After a take-over, what is on a silent machine counts as the worst
            // case for each team, or its limit and its heaviness would be off.
            for team in teams.values_mut() {
                team.used += m.capacity;
                team.heaviness += fairness::s(m.capacity, scene.fleet) / scene.teams.len() as f64;
            }
            continue;
        }
        let (summed, by_team) = requests(m);
        for (t, request) in by_team {
            if let Some(team) = teams.get_mut(&t) {
                team.used += request;
                team.heaviness += fairness::machine_share(request, m.capacity, summed, scene.fleet);
            }
        }
    }
    teams
}

fn requests(m: &Machine) -> (Res, BTreeMap<usize, Res>) {
    let (mut summed, mut by_team) = (Res::default(), BTreeMap::<usize, Res>::new());
    for t in m.tries.values().filter(|t| t.phase != Phase::Exited) {
        summed += t.request();
        if let Some(team) = t.team {
            *by_team.entry(team).or_default() += t.request();
        }
    }
    (summed, by_team)
}

/// A machine that tasks may be sent to now.
pub fn usable(m: &Machine, now: Micros, heard_within: Micros) -> bool {
    m.used
        && !m.draining
        && m.leaving == Leaving::No
        && !m.unsettled
        && m.taken_at.is_none()
        && m.last_heard.is_some_and(|h| now.since(h) < heard_within)
}

/// Whether a job's tasks may be launched at all now.
pub fn launchable(job: &Job, now: Micros, rebuilding: Option<crate::ids::Term>) -> bool {
    // While machines of the block have not reported since the take-over, an old
    // job's tasks may run there; one born under this term has no old attempts.
    let old = rebuilding.is_some_and(|term| job.born < term);
    !old && !job.ended && !job.waiting.is_empty() && now >= job.not_before
}

/// Decides what to start now, best first.
pub fn place(
    scene: &Scene<'_>,
    rebuilding: Option<crate::ids::Term>,
    heard_within: Micros,
    most: usize,
) -> Vec<Choice> {
    let mut queues: BTreeMap<usize, Vec<(&JobId, &Job)>> = BTreeMap::new();
    for (id, job) in scene.jobs {
        if launchable(job, scene.now, rebuilding) {
            queues.entry(job.team).or_default().push((id, job));
        }
    }
    if queues.is_empty() {
        return Vec::new();
    }
    for queue in queues.values_mut() {
        // Inside a team: rank, then slack, then age. Popped from the end.
        queue.sort_by_key(|(_, j)| (j.desc.rank, std::cmp::Reverse((j.urgency(scene.day), j.at))));
    }
    let mut teams = weigh(scene);
    let mut rooms: Vec<Room<'_>> = scene
        .machines
        .iter()
        .filter(|(_, m)| usable(m, scene.now, heard_within))
        .map(|(id, machine)| {
            let (summed, by_team) = requests(machine);
            let mut images: BTreeSet<&str> = machine.images.iter().map(String::as_str).collect();
            images.extend(machine.tries.values().map(Try::image));
            Room {
                id,
                machine,
                free: machine.capacity - summed,
                summed,
                teams: by_team,
                images,
                held: false,
            }
        })
        .collect();
    let mut choices = Vec::new();
    let mut taken: BTreeMap<&JobId, u32> = BTreeMap::new();
    let mut zones: BTreeMap<&JobId, BTreeMap<&str, u32>> = BTreeMap::new();
    let mut hopeless: Vec<Shape<'_>> = Vec::new();
    let mut held = false;
    while choices.len() < most {
        // Lightest team first, among those with something left to decide.
        let lightest = queues
            .iter()
            .filter(|(_, q)| !q.is_empty())
            .min_by(|a, b| teams[a.0].heaviness.total_cmp(&teams[b.0].heaviness))
            .map(|(t, _)| *t);
        let Some(t) = lightest else { break };
        let queue = queues.get_mut(&t).expect("chosen from the queues");
        let (id, job) = *queue.last().expect("not empty");
        let desc = &job.desc;
        let n = taken.get(id).copied().unwrap_or(0);
        if n >= job.waiting.len() {
            queue.pop();
            continue;
        }
        let team = teams.get_mut(&t).expect("a team of the block");
        let mut after = team.used;
        after += desc.request();
        let limited = !after.fits_in(&scene.settings.platform.teams[t].limit());
        if limited || hopeless.contains(&shape(desc)) {
            queue.pop();
            continue;
        }
        let by_zone = zones
            .entry(id)
            .or_insert_with(|| zones_of(job, scene.machines));
        let request = desc.request();
        let fitting = |r: &&mut Room<'_>| {
            let m = r.machine;
            desc.allows(&m.build, &m.zone, m.spot)
                && zone_allowed(desc, by_zone, &m.zone)
                // A job that failed on a machine tries others first.
                && !m.avoided_by(id, scene.now)
        };
        let best = rooms
            .iter_mut()
            .filter(fitting)
            .filter(|r| !r.held && request.fits_in(&r.free_for(id, scene.now)))
            .max_by(|a, b| worth(a, desc).total_cmp(&worth(b, desc)));
        let Some(room) = best else {
            // A job that avoids machines says nothing about its like.
            if job.failed_on.is_empty() {
                hopeless.push(shape(desc));
            }
            if !held {
                // A head job that fits nowhere holds freed room on the machine
                // where it will fit soonest, or small tasks would always take it.
                held = true;
                let soonest = rooms
                    .iter_mut()
                    .filter(fitting)
                    .filter(|r| request.fits_in(&r.machine.capacity))
                    .min_by(|a, b| missing(a, &request).total_cmp(&missing(b, &request)));
                if let Some(room) = soonest {
                    room.held = true;
                }
            }
            queue.pop();
            continue;
        };
        let Some(index) = nth(job, n) else {
            queue.pop();
            continue;
        };
        *by_zone.entry(room.machine.zone.as_str()).or_default() += 1;
        *taken.entry(id).or_default() += 1;
        let fleet = scene.fleet;
        let cap = room.machine.capacity;
        for (other, share) in &room.teams {
            if let Some(o) = teams.get_mut(other) {
                o.heaviness -= fairness::machine_share(*share, cap, room.summed, fleet);
            }
        }
        room.free -= request;
        room.summed += request;
        *room.teams.entry(t).or_default() += request;
        room.images.insert(&desc.image);
        for (other, share) in &room.teams {
            if let Some(o) = teams.get_mut(other) {
                o.heaviness += fairness::machine_share(*share, cap, room.summed, fleet);
            }
        }
        teams.get_mut(&t).expect("a team of the block").used = after;
        choices.push(Choice {
            job: id.clone(),
            index,
            machine: room.id.clone(),
        });
    }
    choices
}

/// The task that comes `n` places after the first that waits.
fn nth(job: &Job, n: u32) -> Option<u32> {
    let mut left = n;
    for (a, b) in job.waiting.pairs() {
        if left < b - a {
            return Some(a + left);
        }
        left -= b - a;
    }
    None
}

impl Room<'_> {
    /// What is free for a job, without what others were stopped for.
    fn free_for(&self, id: &JobId, now: Micros) -> Res {
        let mut free = self.free;
        for r in self
            .machine
            .reserved
            .iter()
            .filter(|r| r.job != *id && r.until > now)
        {
            free -= r.request.scale(f64::from(r.count));
        }
        free
    }
}

/// How good a place is: small tasks go where large ones can't, images are not
/// fetched without need, and cheap machines are filled first.
fn worth(r: &Room<'_>, d: &JobDesc) -> f64 {
    let request = d.request();
    let cached = r.images.contains(d.image.as_str());
    let mut worth = if cached { 2.0 } else { 0.0 } + request.share_of(&r.free);
    if r.machine.reserved.iter().any(|x| x.job == d.id) {
        worth += 4.0;
    }
    worth
}

fn missing(r: &Room<'_>, request: &Res) -> f64 {
    let lacking = *request - r.free;
    Res::new(
        lacking.cores.max(0.0),
        lacking.cards.max(0.0),
        lacking.mem.max(0.0),
    )
    .share_of(&r.machine.capacity)
}

/// How many of a job's tasks are, or may be, in each zone.
fn zones_of<'a>(job: &Job, machines: &'a BTreeMap<MachineId, Machine>) -> BTreeMap<&'a str, u32> {
    let mut zones = BTreeMap::new();
    if job.desc.one_zone || job.desc.apart {
        for m in machines.values() {
            // Attempts, not only known tasks: one being stopped is still there.
            let here = m
                .tries
                .iter()
                .filter(|((t, _), a)| t.job == job.desc.id && a.phase != Phase::Exited);
            let n = here.count() as u32;
            if n > 0 {
                *zones.entry(m.zone.as_str()).or_default() += n;
            }
        }
    }
    zones
}

fn zone_allowed(d: &JobDesc, zones: &BTreeMap<&str, u32>, zone: &str) -> bool {
    if d.one_zone && zones.iter().any(|(z, n)| *z != zone && *n > 0) {
        return false;
    }
    !d.apart || zones.get(zone).copied().unwrap_or(0) < d.tasks.div_ceil(2)
}

/// Waiting work of one class, for renting and for moving machines.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Need {
    pub request: Res,
    pub builds: Option<Vec<String>>,
    pub zone: Option<String>,
    pub spot: bool,
    /// Tasks' worth of room that is missing.
    pub count: u32,
    pub estimate_s: f64,
    pub waited_long: bool,
}

impl Need {
    pub fn fits(&self, build: &str, zone: &str, spot: bool, capacity: &Res) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self
                .builds
                .as_ref()
                .is_none_or(|b| b.iter().any(|b| b == build))
            && self.request.fits_in(capacity)
    }
}

/// The room that the block's waiting work still lacks, after what its machines
/// have free and what is booting.
pub fn needs(scene: &Scene<'_>, coming: &[(Res, &str, &str, bool)], horizon: Micros) -> Vec<Need> {
    let teams = weigh(scene);
    let mut left: BTreeMap<usize, Res> = BTreeMap::new();
    for (&t, team) in &teams {
        left.insert(t, scene.settings.platform.teams[t].limit() - team.used);
    }
    let mut jobs: Vec<&Job> = scene
        .jobs
        .values()
        .filter(|j| !j.ended && !j.waiting.is_empty())
        .collect();
    jobs.sort_by_key(|j| (std::cmp::Reverse(j.desc.rank), j.slack(scene.day)));
    let mut rooms: Vec<(Res, &str, &str, bool)> = coming.to_vec();
    let mut carry = 0.0;
    let mut needs: Vec<Need> = Vec::new();
    for job in jobs {
        let d = &job.desc;
        let request = d.request();
        let room = left
            .get_mut(&job.team)
            .map_or(0, |l| request.times_in(l).min(job.waiting.len()));
        // Short tasks run one after another in the time that a boot takes.
        let estimate = Micros::from_secs(d.estimate_s).0 as f64;
        let part = (estimate / horizon.0.max(1) as f64).min(1.0);
        let waited_long = scene.day.since(job.at) >= PATIENCE;
        // What is left of one job's part counts with the next one's; nobody waits
        // for ever because his part is small.
        let exact = f64::from(room) * part + carry;
        // Where it has no machine at all, nothing will get free for it.
        let nowhere = !scene.machines.values().any(|m| {
            m.leaving == Leaving::No
                && !m.draining
                && d.allows(&m.build, &m.zone, m.spot)
                && request.fits_in(&m.capacity)
        });
        let mut wanted = if waited_long || nowhere {
            exact.ceil()
        } else {
            exact.floor()
        } as u32;
        carry = (exact - f64::from(wanted)).max(0.0);
        wanted = wanted.min(room);
        if let Some(l) = left.get_mut(&job.team) {
            *l -= request.scale(f64::from(wanted));
        }
        for (free, build, zone, spot) in &mut rooms {
            if wanted == 0 {
                break;
            }
            if d.allows(build, zone, *spot) {
                let n = request.times_in(free).min(wanted);
                *free -= request.scale(f64::from(n));
                wanted -= n;
            }
        }
        if wanted == 0 {
            continue;
        }
        let need = Need {
            request,
            builds: d.builds.clone(),
            zone: d.zone.clone(),
            spot: d.spot,
            count: wanted,
            estimate_s: d.estimate_s,
            waited_long,
        };
        match needs.iter_mut().find(|n| {
            Need {
                count: need.count,
                ..(*n).clone()
            } == need
        }) {
            Some(n) => n.count += need.count,
            None => needs.push(need),
        }
    }
    needs
}

/// Work to be stopped for a job, and the room that this keeps for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Stop {
    pub machine: MachineId,
    /// With the time that each needs to save.
    pub victims: Vec<(Key, f64)>,
    pub reserve: Reserved,
}

const PRESSED_US: i64 = 8_000_000;
const LATE_US: i64 = 2_000_000;
const RELAXED_US: i64 = 15_000_000;
const PATIENCE: Micros = Micros::from_millis(10_000);
/// Room that was freed for a job is kept for it this long.
const KEPT: Micros = Micros::from_millis(8_000);
/// Work this close to its end is not worth stopping.
const NEARLY_DONE_S: f64 = 3.0;
/// Stopping and starting once more costs this much besides what is lost.
const RESTART_S: f64 = 2.0;

/// Whether stopping others still helps a job, and waiting longer would not do:
/// its deadline is near but not lost, or it has none and has waited for long.
fn pressed(job: &Job, day: Micros) -> bool {
    match job.desc.due_s {
        Some(_) => (-LATE_US..PRESSED_US).contains(&job.slack(day)),
        None => day.since(job.at) >= PATIENCE,
    }
}

/// Whether a job can stand that a task of it is stopped.
fn relaxed(job: &Job, ran: Micros, day: Micros) -> bool {
    let left = job.slack(day) + ran.0 as i64;
    left > RELAXED_US
}

/// What is lost may be this part of what is won. Measured: at the whole of it,
/// stopping cost all classes more than it gave the one that it was for.
const WORTH_IT: f64 = 0.25;

/// What stopping an attempt loses, in core-seconds; none: it is left alone.
fn loss(t: &Try, now: Micros) -> Option<(f64, f64)> {
    let d = t.desc.as_ref()?;
    if t.halt.is_some()
        || t.abandoned.is_some()
        || !matches!(t.phase, Phase::Pulling | Phase::Running)
    {
        return None;
    }
    let ran = t.running_since.map_or(0.0, |r| now.since(r).as_secs());
    if t.running_since.is_some() && d.estimate_s - ran < NEARLY_DONE_S + d.save_s {
        return None;
    }
    let (lost, leeway) = if d.checkpoint_s > 0.0 {
        (d.save_s.min(ran), d.save_s + 1.0)
    } else {
        (ran, 0.0)
    };
    Some(((lost + RESTART_S) * d.cores.max(0.1), leeway))
}

/// Decides what to stop: for work of a higher rank, or so that a team gets its
/// guarantee from one that runs above its own. Only if little is lost for what is
/// won (`WORTH_IT`).
pub fn preempt(
    scene: &Scene<'_>,
    rebuilding: Option<crate::ids::Term>,
    heard_within: Micros,
) -> Vec<Stop> {
    let mut teams = weigh(scene);
    let mut jobs: Vec<(&JobId, &Job)> = scene
        .jobs
        .iter()
        .filter(|(_, j)| launchable(j, scene.now, rebuilding) && pressed(j, scene.day))
        .collect();
    jobs.sort_by(|(_, a), (_, b)| {
        let heavy = |j: &Job| teams.get(&j.team).map_or(0.0, |t| t.heaviness);
        b.desc
            .rank
            .cmp(&a.desc.rank)
            .then(heavy(a).total_cmp(&heavy(b)))
            .then(a.slack(scene.day).cmp(&b.slack(scene.day)))
    });
    let mut stops: Vec<Stop> = Vec::new();
    let mut gone: BTreeSet<Key> = BTreeSet::new();
    let mut free: BTreeMap<&MachineId, Res> = BTreeMap::new();
    for (id, m) in scene
        .machines
        .iter()
        .filter(|(_, m)| usable(m, scene.now, heard_within))
    {
        let mut room = m.capacity - m.used();
        // What is being stopped was stopped for someone.
        for t in m
            .tries
            .values()
            .filter(|t| t.halt.is_some() && t.phase != Phase::Exited)
        {
            room += t.request();
        }
        for r in m.reserved.iter().filter(|r| r.until > scene.now) {
            room -= r.request.scale(f64::from(r.count));
        }
        free.insert(id, room);
    }
    for (id, job) in jobs {
        let d = &job.desc;
        let request = d.request();
        let limits = &scene.settings.platform.teams[job.team];
        let reserved = |m: &Machine| -> u32 {
            m.reserved
                .iter()
                .filter(|r| r.job == *id && r.until > scene.now)
                .map(|r| r.count)
                .sum()
        };
        let coming: u32 = scene.machines.values().map(reserved).sum();
        let Some(team) = teams.get(&job.team) else {
            continue;
        };
        let mut used = team.used;
        used += request.scale(f64::from(coming));
        let mut pending = request
            .times_in(&(limits.limit() - used))
            .min(job.waiting.len().saturating_sub(coming));
        if d.one_zone || d.apart {
            // Where its tasks may go changes with each; it waits for its turn.
            pending = 0;
        }
        while pending > 0 {
            // Room that another's stop left over.
            let over = free.iter_mut().find(|(m, room)| {
                let m = &scene.machines[**m];
                request.fits_in(room)
                    && d.allows(&m.build, &m.zone, m.spot)
                    && !m.avoided_by(id, scene.now)
            });
            if let Some((_, room)) = over {
                *room -= request;
                pending -= 1;
                continue;
            }
            let mut after = used;
            after += request;
            let guaranteed = after.fits_in(&{
                let g = limits.guarantee();
                Res::new(g.cores, g.cards, f64::INFINITY)
            });
            let best = free
                .iter()
                .filter_map(|(m, room)| {
                    victims(scene, &teams, m, *room, job, pending, guaranteed, &gone)
                })
                .min_by(|a, b| a.price.total_cmp(&b.price));
            let Some(plan) = best else { break };
            let m = &scene.machines[plan.machine];
            let room = free.get_mut(plan.machine).expect("from the map");
            for (key, _) in &plan.victims {
                if let Some(t) = m.tries.get(key) {
                    *room += t.request();
                    if let Some(team) = t.team.and_then(|t| teams.get_mut(&t)) {
                        team.used -= t.request();
                    }
                }
                gone.insert(key.clone());
            }
            *room -= request.scale(f64::from(plan.count));
            used += request.scale(f64::from(plan.count));
            pending -= plan.count;
            let reserve = Reserved {
                job: id.clone(),
                request,
                count: plan.count,
                until: scene.now + KEPT,
            };
            stops.push(Stop {
                machine: plan.machine.clone(),
                victims: plan.victims,
                reserve,
            });
        }
    }
    stops
}

struct Plan<'a> {
    machine: &'a MachineId,
    victims: Vec<(Key, f64)>,
    count: u32,
    /// Lost per won.
    price: f64,
}

#[allow(clippy::too_many_arguments)]
fn victims<'a>(
    scene: &Scene<'_>,
    teams: &BTreeMap<usize, Team>,
    machine: &'a MachineId,
    room: Res,
    job: &Job,
    pending: u32,
    guaranteed: bool,
    gone: &BTreeSet<Key>,
) -> Option<Plan<'a>> {
    let (m, d) = (scene.machines.get(machine)?, &job.desc);
    let request = d.request();
    if !d.allows(&m.build, &m.zone, m.spot)
        || m.avoided_by(&d.id, scene.now)
        || !request.fits_in(&m.capacity)
    {
        return None;
    }
    let may = |t: &Try| {
        let Some(v) = &t.desc else { return false };
        let ran = t.running_since.map_or(Micros::ZERO, |r| scene.now.since(r));
        if scene
            .jobs
            .get(&v.id)
            .is_some_and(|j| !relaxed(j, ran, scene.day))
        {
            return false;
        }
        if v.rank < d.rank {
            return true;
        }
        // Work that another team runs above its own guarantee.
        let above = t.team.filter(|v| *v != job.team).and_then(|v| {
            let g = scene.settings.platform.teams[v].guarantee();
            teams
                .get(&v)
                .map(|team| (team.used - t.request()).cores >= g.cores)
        });
        guaranteed && above == Some(true)
    };
    let mut candidates: Vec<(&Key, &Try, f64, f64)> = m
        .tries
        .iter()
        .filter(|(k, t)| !gone.contains(k) && may(t))
        .filter_map(|(k, t)| loss(t, scene.now).map(|(lost, leeway)| (k, t, lost, leeway)))
        .collect();
    candidates.sort_by(|a, b| a.2.total_cmp(&b.2));
    let (mut room, mut lost, mut victims) = (room, 0.0, Vec::new());
    for (key, t, l, leeway) in candidates {
        room += t.request();
        lost += l;
        victims.push((key.clone(), leeway));
        if request.fits_in(&room) {
            break;
        }
    }
    let count = request.times_in(&room).min(pending);
    let won = f64::from(count) * d.cores.max(0.1) * d.estimate_s.max(1.0);
    (!victims.is_empty() && count > 0 && lost <= won * WORTH_IT).then(|| Plan {
        machine,
        victims,
        count,
        price: lost / won,
    })
}

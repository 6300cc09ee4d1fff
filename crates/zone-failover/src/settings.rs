//! The operators' settings: read from a table of a TOML file, checked as a whole, and refused
//! with a place and a remedy.

use crate::window::{ReturnWindow, WindowError};
use jiff::SignedDuration;
use jiff::civil::{Time, Weekday};
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::ZoneId;
use rockdeal_types::suggestion::nearest;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::Range;
use toml::Spanned;

/// What is wrong with the settings, where, and what to do about it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{why}; {remedy}")]
pub struct SettingsError {
    /// The place in the file, in bytes.
    pub span: Range<usize>,
    /// What is wrong.
    pub why: String,
    /// What to do about it.
    pub remedy: String,
}

fn refuse<T>(
    span: Range<usize>,
    why: impl Into<String>,
    remedy: impl Into<String>,
) -> Result<T, SettingsError> {
    Err(SettingsError {
        span,
        why: why.into(),
        remedy: remedy.into(),
    })
}

/// What is known of the site that the settings are for.
#[derive(Debug, Clone, Default)]
pub struct Site {
    /// Its zones.
    pub zones: Vec<String>,
    /// The classes of jobs that its objectives name.
    pub classes: Vec<String>,
}

/// A length of time, written with its unit.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(try_from = "String")]
struct Duration(Micros);

impl TryFrom<String> for Duration {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let remedy = "write a number with its unit, as in \"1500ms\", \"20s\" or \"5m\"";
        let duration: SignedDuration = text
            .parse()
            .map_err(|_| format!("{text:?} is no length of time; {remedy}"))?;
        let micros = u64::try_from(duration.as_micros())
            .map_err(|_| format!("{text:?} is negative; {remedy}"))?;
        Ok(Duration(Micros(micros)))
    }
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawHealth {
    suspect_after: Option<Spanned<Duration>>,
    lost_after: Option<Spanned<Duration>>,
    return_after: Option<Spanned<Duration>>,
    probation: Option<Spanned<Duration>>,
    most_probation: Option<Spanned<Duration>>,
    quiet: Option<Spanned<Duration>>,
    probe_after: Option<Spanned<Duration>>,
    patience: Option<Spanned<Duration>>,
    lost_share: Option<Spanned<f64>>,
    up_share: Option<Spanned<f64>>,
    least_machines: Option<Spanned<u32>>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawWaves {
    machines: Option<Spanned<u32>>,
    tasks: Option<Spanned<u32>>,
    interval: Option<Spanned<Duration>>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawHomecoming {
    move_running: Option<bool>,
    tasks_per_team: Option<Spanned<u32>>,
    least_gain: Option<Spanned<f64>>,
    period: Option<Spanned<Duration>>,
    #[serde(default)]
    window: Vec<Spanned<RawWindow>>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawWindow {
    time_zone: Spanned<String>,
    days: Option<Spanned<Vec<Spanned<String>>>>,
    from: Spanned<String>,
    to: Spanned<String>,
}

/// What an operator says of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DeclaredState {
    /// Use it for nothing, whatever its machines say.
    Out,
    /// Use it as any other, whatever its machines say.
    In,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawDeclared {
    zone: Spanned<String>,
    state: Spanned<DeclaredState>,
}

/// The table as it stands in the file.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RawSettings {
    #[serde(default)]
    enabled: bool,
    evacuation_priority: Option<Spanned<String>>,
    #[serde(default)]
    services: Vec<Spanned<String>>,
    #[serde(default)]
    health: RawHealth,
    #[serde(default)]
    waves: RawWaves,
    #[serde(default, rename = "return")]
    homecoming: RawHomecoming,
    #[serde(default)]
    declared: Vec<RawDeclared>,
}

/// When a zone counts as lost, and when as back.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthSettings {
    /// Time down before it is suspect.
    pub suspect_after: Micros,
    /// Time down before it is lost.
    pub lost_after: Micros,
    /// Time up before its probation begins.
    pub return_after: Micros,
    /// The probation after a first loss.
    pub probation: Micros,
    /// The longest probation.
    pub most_probation: Micros,
    /// Time without a loss after which one loss less counts.
    pub quiet: Micros,
    /// Time without any machine there before one is rented to see whether it is back.
    pub probe_after: Micros,
    /// A job that has waited for so long may use a zone that is lost or on probation, where
    /// a machine of it is heard.
    pub patience: Micros,
    /// The share of silent machines from which on it is down.
    pub lost_share: f64,
    /// The share of silent machines up to which it is up.
    pub up_share: f64,
    /// With fewer machines, its controllers must be silent, too.
    pub least_machines: u32,
}

impl Default for HealthSettings {
    fn default() -> Self {
        HealthSettings {
            suspect_after: Micros::from_millis(1_000),
            lost_after: Micros::from_millis(4_000),
            return_after: Micros::from_millis(3_000),
            probation: Micros::from_millis(10_000),
            most_probation: Micros::from_millis(60_000),
            quiet: Micros::from_millis(600_000),
            probe_after: Micros::from_millis(20_000),
            patience: Micros::from_millis(30_000),
            lost_share: 0.8,
            up_share: 0.3,
            least_machines: 3,
        }
    }
}

/// What one wave of an evacuation allows, in each block.
#[derive(Debug, Clone, PartialEq)]
pub struct WaveSettings {
    /// Silent machines that are given up.
    pub machines: usize,
    /// Displaced tasks that may ask for machines.
    pub tasks: u32,
    /// Between two waves.
    pub interval: Micros,
}

impl Default for WaveSettings {
    fn default() -> Self {
        WaveSettings {
            machines: 200,
            tasks: 2_000,
            interval: Micros::from_millis(1_000),
        }
    }
}

/// How running work is moved home.
#[derive(Debug, Clone, PartialEq)]
pub struct HomecomingSettings {
    /// Whether it is at all.
    pub move_running: bool,
    /// Tasks of a team that may be on their way at a time.
    pub tasks_per_team: u32,
    /// What is gained must be so many times what is lost.
    pub least_gain: f64,
    /// For so long after the zone's return.
    pub period: Micros,
    /// Only while one of these is open; none: at any time.
    pub windows: Vec<ReturnWindow>,
}

impl Default for HomecomingSettings {
    fn default() -> Self {
        HomecomingSettings {
            move_running: false,
            tasks_per_team: 10,
            least_gain: 1.5,
            period: Micros::from_millis(3_600_000),
            windows: Vec::new(),
        }
    }
}

impl HomecomingSettings {
    /// Whether running work may be moved home at that time of day.
    pub fn is_open(&self, day: Micros) -> bool {
        self.windows.is_empty() || self.windows.iter().any(|w| w.is_open(day))
    }
}

/// The checked settings of this subsystem.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// When a zone counts as lost, and when as back.
    pub health: HealthSettings,
    /// What one wave allows.
    pub waves: WaveSettings,
    /// How running work is moved home.
    pub homecoming: HomecomingSettings,
    /// Classes whose jobs go before others of the same priority.
    pub services: Vec<String>,
    /// What operators say of zones.
    pub declared: BTreeMap<ZoneId, DeclaredState>,
}

const SECOND: Micros = Micros::from_millis(1_000);
const MINUTE: Micros = Micros::from_millis(60_000);
const HOUR: Micros = Micros::from_millis(3_600_000);
const DAY: Micros = Micros::from_millis(24 * 3_600_000);
/// Evidence comes every 0.7 s, so less than this says nothing.
const LEAST_SUSPECT: Micros = Micros::from_millis(500);
/// A job that waits longer beside a machine with room counts as left waiting.
const MOST_PATIENCE: Micros = Micros::from_millis(60_000);

fn text_of(time: Micros) -> String {
    format!("{} s", time.as_secs())
}

fn duration(
    name: &str,
    given: &Option<Spanned<Duration>>,
    default: Micros,
    least: Micros,
    most: Micros,
) -> Result<Micros, SettingsError> {
    let Some(given) = given else {
        return Ok(default);
    };
    let value = given.get_ref().0;
    if value < least || value > most {
        let why = format!("{name} is {}", text_of(value));
        let remedy = format!("choose from {} to {}", text_of(least), text_of(most));
        return refuse(given.span(), why, remedy);
    }
    Ok(value)
}

fn number<T: Copy + PartialOrd + std::fmt::Display>(
    name: &str,
    given: &Option<Spanned<T>>,
    default: T,
    least: T,
    most: T,
) -> Result<T, SettingsError> {
    let Some(given) = given else {
        return Ok(default);
    };
    let value = *given.get_ref();
    // Written so that a number that is none is refused, too.
    if !(value >= least && value <= most) {
        let why = format!("{name} is {value}");
        return refuse(given.span(), why, format!("choose from {least} to {most}"));
    }
    Ok(value)
}

/// The place of the first of two settings that is in the file.
fn span_of<T>(first: &Option<Spanned<T>>, second: &Option<Spanned<T>>) -> Range<usize> {
    let given = first.as_ref().or(second.as_ref());
    given.map_or(0..0, Spanned::span)
}

impl RawHealth {
    fn check(&self) -> Result<HealthSettings, SettingsError> {
        let default = HealthSettings::default();
        let health = HealthSettings {
            suspect_after: duration(
                "suspect-after",
                &self.suspect_after,
                default.suspect_after,
                LEAST_SUSPECT,
                MINUTE,
            )?,
            lost_after: duration(
                "lost-after",
                &self.lost_after,
                default.lost_after,
                SECOND,
                HOUR,
            )?,
            return_after: duration(
                "return-after",
                &self.return_after,
                default.return_after,
                LEAST_SUSPECT,
                HOUR,
            )?,
            probation: duration("probation", &self.probation, default.probation, SECOND, DAY)?,
            most_probation: duration(
                "most-probation",
                &self.most_probation,
                default.most_probation,
                SECOND,
                DAY,
            )?,
            quiet: duration("quiet", &self.quiet, default.quiet, SECOND, DAY)?,
            probe_after: duration(
                "probe-after",
                &self.probe_after,
                default.probe_after,
                SECOND,
                DAY,
            )?,
            patience: duration(
                "patience",
                &self.patience,
                default.patience,
                Micros::ZERO,
                MOST_PATIENCE,
            )?,
            lost_share: number("lost-share", &self.lost_share, default.lost_share, 0.5, 1.0)?,
            up_share: number("up-share", &self.up_share, default.up_share, 0.0, 0.5)?,
            least_machines: number(
                "least-machines",
                &self.least_machines,
                default.least_machines,
                1,
                1_000,
            )?,
        };
        self.check_together(&health)?;
        Ok(health)
    }

    /// What contradicts each other.
    fn check_together(&self, health: &HealthSettings) -> Result<(), SettingsError> {
        if health.lost_after <= health.suspect_after {
            return refuse(
                span_of(&self.lost_after, &self.suspect_after),
                format!(
                    "lost-after ({}) is not above suspect-after ({})",
                    text_of(health.lost_after),
                    text_of(health.suspect_after)
                ),
                "a zone is suspect first, so choose a longer lost-after",
            );
        }
        if health.most_probation < health.probation {
            return refuse(
                span_of(&self.most_probation, &self.probation),
                format!(
                    "most-probation ({}) is below probation ({})",
                    text_of(health.most_probation),
                    text_of(health.probation)
                ),
                "choose at least as much",
            );
        }
        if health.up_share >= health.lost_share {
            return refuse(
                span_of(&self.up_share, &self.lost_share),
                "up-share is not below lost-share",
                "choose a smaller up-share",
            );
        }
        Ok(())
    }
}

impl RawWaves {
    fn check(&self) -> Result<WaveSettings, SettingsError> {
        let default = WaveSettings::default();
        let machines = number(
            "machines",
            &self.machines,
            default.machines as u32,
            1,
            10_000,
        )?;
        Ok(WaveSettings {
            machines: machines as usize,
            tasks: number("tasks", &self.tasks, default.tasks, 1, 1_000_000)?,
            interval: duration(
                "interval",
                &self.interval,
                default.interval,
                LEAST_SUSPECT,
                HOUR,
            )?,
        })
    }
}

impl RawHomecoming {
    fn check(&self) -> Result<HomecomingSettings, SettingsError> {
        let default = HomecomingSettings::default();
        let windows: Result<Vec<ReturnWindow>, SettingsError> = self
            .window
            .iter()
            .map(|w| w.get_ref().check(w.span()))
            .collect();
        Ok(HomecomingSettings {
            move_running: self.move_running.unwrap_or(default.move_running),
            tasks_per_team: number(
                "tasks-per-team",
                &self.tasks_per_team,
                default.tasks_per_team,
                1,
                100_000,
            )?,
            least_gain: number(
                "least-gain",
                &self.least_gain,
                default.least_gain,
                1.0,
                1_000.0,
            )?,
            period: duration("period", &self.period, default.period, SECOND, DAY)?,
            windows: windows?,
        })
    }
}

const DAYS: [(&str, Weekday); 7] = [
    ("monday", Weekday::Monday),
    ("tuesday", Weekday::Tuesday),
    ("wednesday", Weekday::Wednesday),
    ("thursday", Weekday::Thursday),
    ("friday", Weekday::Friday),
    ("saturday", Weekday::Saturday),
    ("sunday", Weekday::Sunday),
];

fn weekday(name: &Spanned<String>) -> Result<Weekday, SettingsError> {
    match DAYS.iter().find(|(day, _)| day == name.get_ref()) {
        Some((_, weekday)) => Ok(*weekday),
        None => refuse(
            name.span(),
            format!("{:?} is no day of the week", name.get_ref()),
            nearest(name.get_ref(), DAYS.iter().map(|(day, _)| *day)),
        ),
    }
}

fn time(text: &Spanned<String>) -> Result<Time, SettingsError> {
    match Time::strptime("%H:%M", text.get_ref()) {
        Ok(time) => Ok(time),
        Err(_) => refuse(
            text.span(),
            format!("{:?} is no time of the day", text.get_ref()),
            "write it as \"22:30\"",
        ),
    }
}

impl RawWindow {
    fn check(&self, span: Range<usize>) -> Result<ReturnWindow, SettingsError> {
        let days: Vec<Weekday> = match &self.days {
            None => DAYS.iter().map(|(_, day)| *day).collect(),
            Some(days) => days
                .get_ref()
                .iter()
                .map(weekday)
                .collect::<Result<_, _>>()?,
        };
        let (from, to) = (time(&self.from)?, time(&self.to)?);
        match ReturnWindow::new(self.time_zone.get_ref(), days, from, to) {
            Ok(window) => Ok(window),
            Err(e @ WindowError::UnknownTimeZone(_)) => refuse(
                self.time_zone.span(),
                e.to_string(),
                "use a name of the IANA database, as in \"Australia/Hobart\"",
            ),
            Err(e @ WindowError::NeverOpen) => refuse(
                span,
                e.to_string(),
                "name at least one day, and an end that differs from the beginning",
            ),
        }
    }
}

impl RawSettings {
    /// The operators' expression for the order of evacuation, with its place in the file.
    pub fn evacuation_priority(&self) -> Option<(&str, Range<usize>)> {
        let expression = self.evacuation_priority.as_ref()?;
        Some((expression.get_ref(), expression.span()))
    }

    /// Checks all that is set, whether the subsystem is on or not. None: it is off.
    pub fn check(&self, site: &Site) -> Result<Option<Settings>, SettingsError> {
        let settings = Settings {
            health: self.health.check()?,
            waves: self.waves.check()?,
            homecoming: self.homecoming.check()?,
            services: self.check_services(site)?,
            declared: self.check_declared(site)?,
        };
        Ok(self.enabled.then_some(settings))
    }

    fn check_services(&self, site: &Site) -> Result<Vec<String>, SettingsError> {
        let mut services = Vec::new();
        for class in &self.services {
            if !site.classes.contains(class.get_ref()) {
                return refuse(
                    class.span(),
                    format!("class {:?} is in no objective", class.get_ref()),
                    nearest(class.get_ref(), site.classes.iter().map(String::as_str)),
                );
            }
            services.push(class.get_ref().clone());
        }
        Ok(services)
    }

    fn check_declared(
        &self,
        site: &Site,
    ) -> Result<BTreeMap<ZoneId, DeclaredState>, SettingsError> {
        let mut declared = BTreeMap::new();
        for entry in &self.declared {
            let name = entry.zone.get_ref();
            if !site.zones.contains(name) {
                return refuse(
                    entry.zone.span(),
                    format!("zone {name:?} is unknown"),
                    nearest(name, site.zones.iter().map(String::as_str)),
                );
            }
            let zone = ZoneId::from(name.as_str());
            if declared.insert(zone, *entry.state.get_ref()).is_some() {
                return refuse(
                    entry.zone.span(),
                    format!("zone {name:?} is declared twice"),
                    "leave one of the two out",
                );
            }
        }
        let out = declared.values().filter(|s| **s == DeclaredState::Out);
        if !site.zones.is_empty() && out.count() == site.zones.len() {
            let last = self.declared.last().map_or(0..0, |d| d.zone.span());
            return refuse(last, "every zone is declared out", "leave one of them in");
        }
        Ok(declared)
    }
}

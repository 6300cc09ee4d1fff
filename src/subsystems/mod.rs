//! The file that turns subsystems on: read and checked before the start, and refused in one
//! line with the place and a remedy.
//!
//! What the file does not name is off, and a subsystem that is off leaves records, frames
//! and decisions as they are without it.

use crate::policy::lang::{PolicyError, SourcePosition};
use crate::settings::Settings;
use crate::zones::{EvacuationOrder, ZoneFailoverConfig};
use serde::Deserialize;
use std::ops::Range;
use std::path::Path;
use std::rc::Rc;
use zone_failover::settings::{RawSettings, SettingsError, Site};

/// Why the file is refused.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// It can't be read.
    #[error("can't read subsystems file {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// It is wrong at some place.
    #[error("subsystems file {path}, {source}")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong, and where.
        source: SubsystemsError,
    },
}

/// What is wrong with the file, and where; printed in one line.
#[derive(Debug, thiserror::Error)]
#[error("{at}: {}", one_line(.source))]
pub struct SubsystemsError {
    /// Where.
    pub at: SourcePosition,
    /// What is wrong, and what to do about it.
    pub source: InvalidSubsystem,
}

/// What is wrong with a subsystem, and what to do about it.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSubsystem {
    /// The file is not TOML, or has an unknown field or one of another type.
    #[error("{}", .0.message())]
    Malformed(#[source] Box<toml::de::Error>),
    /// A setting of zone failover is invalid.
    #[error(transparent)]
    ZoneFailover(#[from] SettingsError),
    /// The order of evacuation is no valid expression.
    #[error("evacuation-priority: {0}")]
    EvacuationPriority(#[from] PolicyError),
}

fn one_line(error: &InvalidSubsystem) -> String {
    error.to_string().replace('\n', " ")
}

impl InvalidSubsystem {
    /// The error at the start of a span of the text.
    fn at(self, text: &str, span: &Range<usize>) -> SubsystemsError {
        SubsystemsError {
            at: SourcePosition::of_byte(text, span.start),
            source: self,
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawFile {
    #[serde(default)]
    zone_failover: RawSettings,
}

/// The subsystems that are on.
#[derive(Debug, Clone, Default)]
pub struct Subsystems {
    /// Zone failover.
    pub zone_failover: Option<Rc<ZoneFailoverConfig>>,
}

impl Subsystems {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file can't be read, or is wrong at some place.
    pub fn load(path: &Path, settings: &Settings) -> Result<Subsystems, LoadError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| LoadError::Unreadable {
            path: name.clone(),
            source,
        })?;
        Subsystems::parse(&text, settings)
            .map_err(|source| LoadError::Invalid { path: name, source })
    }

    /// Reads and checks the text of a file.
    ///
    /// # Errors
    /// The first place where it is wrong.
    pub fn parse(text: &str, settings: &Settings) -> Result<Subsystems, SubsystemsError> {
        let raw: RawFile = toml::from_str(text).map_err(|error: toml::de::Error| {
            let span = error.span().unwrap_or_default();
            InvalidSubsystem::Malformed(Box::new(error)).at(text, &span)
        })?;
        let zone_failover = zone_failover(text, &raw.zone_failover, settings)?;
        Ok(Subsystems { zone_failover })
    }

    /// The names of the subsystems that are on, as operators know them.
    pub fn names(&self) -> Vec<&'static str> {
        let zone_failover = self.zone_failover.as_ref().map(|_| "zone-failover");
        zone_failover.into_iter().collect()
    }
}

/// The settings of zone failover, if it is on. The order of evacuation is checked either way.
fn zone_failover(
    text: &str,
    raw: &RawSettings,
    settings: &Settings,
) -> Result<Option<Rc<ZoneFailoverConfig>>, SubsystemsError> {
    let site = Site {
        zones: settings.platform.zones.clone(),
        classes: settings.classes_with_objectives(),
    };
    let checked = raw.check(&site).map_err(|error| {
        let span = error.span.clone();
        InvalidSubsystem::from(error).at(text, &span)
    })?;
    let services = checked
        .as_ref()
        .map_or_else(Vec::new, |checked| checked.services.clone());
    let (expression, span) = raw
        .evacuation_priority()
        .unwrap_or((EvacuationOrder::DEFAULT, 0..0));
    let order = EvacuationOrder::check(expression, settings, services)
        .map_err(|error| InvalidSubsystem::from(error).at(text, &span))?;
    Ok(checked.map(|settings| Rc::new(ZoneFailoverConfig { settings, order })))
}

#[cfg(test)]
mod tests;

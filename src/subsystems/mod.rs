//! The subsystems file, which enables optional subsystems and contains their settings. It is
//! checked before the controller starts. An invalid file is refused with a message of one line
//! that names the position of the error and a remedy.
//!
//! Invariant: a subsystem that the file does not enable is disabled, and a disabled subsystem
//! changes no records, frames or decisions.

use crate::policy::lang::{PolicyError, SourcePosition};
use crate::settings::Settings;
use crate::zones::{EvacuationOrder, ZoneFailoverConfig};
use serde::Deserialize;
use std::ops::Range;
use std::path::Path;
use std::rc::Rc;
use zone_failover::settings::{RawSettings, SettingsError, Site};

/// Reason why a subsystems file is refused.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file can't be read.
    #[error("can't read subsystems file {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text of the file is invalid.
    #[error("subsystems file {path}, {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// First error in the file, with its position.
        source: SubsystemsError,
    },
}

/// Error in a subsystems file, with its position. The message is one line.
#[derive(Debug, thiserror::Error)]
#[error("{at}: {}", one_line(.source))]
pub struct SubsystemsError {
    /// Position of the error.
    pub at: SourcePosition,
    /// Kind of the error.
    pub source: InvalidSubsystem,
}

/// Kind of an error in a subsystems file. Its message includes the remedy.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSubsystem {
    /// The file is not TOML, or has an unknown field or a field of the wrong type.
    #[error("{}", .0.message())]
    Malformed(#[source] Box<toml::de::Error>),
    /// A setting of zone failover is invalid.
    #[error(transparent)]
    ZoneFailover(#[from] SettingsError),
    /// The setting `evacuation-priority` is not a valid expression. The position in the message
    /// is relative to the expression.
    #[error("evacuation-priority: {0}")]
    EvacuationPriority(#[from] PolicyError),
}

fn one_line(error: &InvalidSubsystem) -> String {
    error.to_string().replace('\n', " ")
}

impl InvalidSubsystem {
    /// Returns the error with the position of the start of a span of the text.
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

/// Settings of the enabled subsystems.
#[derive(Debug, Clone, Default)]
pub struct Subsystems {
    /// Settings of zone failover; `None` if it is disabled.
    pub zone_failover: Option<Rc<ZoneFailoverConfig>>,
}

impl Subsystems {
    /// Reads and checks a subsystems file.
    ///
    /// # Errors
    /// Fails if the file can't be read or its text is invalid.
    pub fn load(path: &Path, settings: &Settings) -> Result<Subsystems, LoadError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| LoadError::Unreadable {
            path: name.clone(),
            source,
        })?;
        Subsystems::parse(&text, settings)
            .map_err(|source| LoadError::Invalid { path: name, source })
    }

    /// Parses and checks the text of a subsystems file.
    ///
    /// # Errors
    /// Returns the first error in the text, with its position.
    pub fn parse(text: &str, settings: &Settings) -> Result<Subsystems, SubsystemsError> {
        let raw: RawFile = toml::from_str(text).map_err(|error: toml::de::Error| {
            let span = error.span().unwrap_or_default();
            InvalidSubsystem::Malformed(Box::new(error)).at(text, &span)
        })?;
        let zone_failover = zone_failover(text, &raw.zone_failover, settings)?;
        Ok(Subsystems { zone_failover })
    }

    /// Returns the names of the enabled subsystems, as they are written in the file.
    pub fn names(&self) -> Vec<&'static str> {
        let zone_failover = self.zone_failover.as_ref().map(|_| "zone-failover");
        zone_failover.into_iter().collect()
    }
}

/// Checks the settings of zone failover, and returns them if it is enabled. The expression for
/// the order of evacuation is checked even if zone failover is disabled.
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

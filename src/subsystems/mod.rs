//! The file that turns subsystems on: read and checked before the start, and refused in one
//! line with the place and a remedy.
//!
//! What the file does not name is off, and a subsystem that is off leaves records, frames
//! and decisions as they are without it.

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
    #[error("can't read subsystems file {path}: {why}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        why: std::io::Error,
    },
    /// It is wrong at some place.
    #[error("subsystems file {path}, {why}")]
    Wrong {
        /// The file.
        path: String,
        /// What is wrong, and where.
        why: FileError,
    },
}

/// What is wrong with the file, and where.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {why}")]
pub struct FileError {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// What is wrong, and what to do about it.
    pub why: String,
}

impl FileError {
    fn at(text: &str, span: Range<usize>, why: impl Into<String>) -> Self {
        let before = text.get(..span.start).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        FileError {
            line: 1 + before.matches('\n').count(),
            column: 1 + before[line_start..].chars().count(),
            why: why.into().replace('\n', " "),
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
    pub fn load(path: &Path, settings: &Settings) -> Result<Subsystems, LoadError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|why| LoadError::Unreadable {
            path: name.clone(),
            why,
        })?;
        Subsystems::parse(&text, settings).map_err(|why| LoadError::Wrong { path: name, why })
    }

    /// Reads and checks the text of a file.
    pub fn parse(text: &str, settings: &Settings) -> Result<Subsystems, FileError> {
        let raw: RawFile = toml::from_str(text)
            .map_err(|e| FileError::at(text, e.span().unwrap_or(0..0), e.message()))?;
        let zone_failover = zone_failover(text, &raw.zone_failover, settings)?;
        Ok(Subsystems { zone_failover })
    }

    /// The subsystems that are on, for operators.
    pub fn names(&self) -> Vec<&'static str> {
        let zone_failover = self.zone_failover.as_ref().map(|_| "zone-failover");
        zone_failover.into_iter().collect()
    }
}

fn zone_failover(
    text: &str,
    raw: &RawSettings,
    settings: &Settings,
) -> Result<Option<Rc<ZoneFailoverConfig>>, FileError> {
    let site = Site {
        zones: settings.platform.zones.clone(),
        classes: settings.classes_with_objectives(),
    };
    let checked = raw
        .check(&site)
        .map_err(|e: SettingsError| FileError::at(text, e.span.clone(), e.to_string()))?;
    let services = checked
        .as_ref()
        .map_or_else(Vec::new, |s| s.services.clone());
    let (expression, span) = raw
        .evacuation_priority()
        .unwrap_or((EvacuationOrder::DEFAULT, 0..0));
    let order = EvacuationOrder::check(expression, settings, services)
        .map_err(|why| FileError::at(text, span, format!("evacuation-priority: {why}")))?;
    Ok(checked.map(|settings| Rc::new(ZoneFailoverConfig { settings, order })))
}

#[cfg(test)]
mod tests;

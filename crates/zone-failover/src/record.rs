//! The states of all zones as they are committed to the store.

use crate::health::ZoneState;
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::{Revision, ZoneId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The newest version of the record that this code reads and writes.
pub const VERSION: u32 = 1;

/// Why a record says nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// It does not have the form of a record.
    #[error("the zone record is damaged: {0}")]
    Damaged(String),
    /// A newer version wrote it.
    #[error("the zone record has version {0}, and this controller reads up to {VERSION}")]
    Newer(u32),
}

/// The states of all zones, committed by the leader under its own key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonesRecord {
    /// The version of the record's form.
    pub version: u32,
    /// The leadership that committed it, by the revision of the leader's key.
    pub leader: Revision,
    /// The zones that are not as at the start.
    pub zones: BTreeMap<ZoneId, ZoneRecord>,
}

/// The state of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// How it is used.
    pub state: ZoneState,
    /// How often it has been lost.
    pub epoch: u64,
    /// Since when it is in this state, by the time of day.
    pub since: Micros,
    /// Losses that count for the length of its probation.
    pub relapses: u32,
    /// Waves of its evacuation that may begin.
    #[serde(default)]
    pub wave: u64,
    /// The state was declared by an operator.
    #[serde(default)]
    pub declared: bool,
}

#[derive(Deserialize)]
struct Versioned {
    version: u32,
}

impl ZonesRecord {
    /// Reads a record. One that can't be read is no opinion about any zone.
    pub fn read(value: &Value) -> Result<ZonesRecord, RecordError> {
        let damaged = |why: serde_json::Error| RecordError::Damaged(why.to_string());
        let versioned = Versioned::deserialize(value).map_err(damaged)?;
        if versioned.version > VERSION {
            return Err(RecordError::Newer(versioned.version));
        }
        ZonesRecord::deserialize(value).map_err(damaged)
    }
}

//! The record of the states of all zones, as the leader commits it to the store.
//!
//! Only fields with a serde default may be missing from a stored record.

use crate::health::ZoneState;
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::{Revision, ZoneId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Version of the record that this code writes, and the newest that it reads.
pub const VERSION: u32 = 1;

/// The reason why a record cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The value does not have the form of a record. Holds the error of the parser.
    #[error("zone record is malformed: {0}")]
    Malformed(String),
    /// The record has this version, which is newer than [`VERSION`].
    #[error("zone record has version {0}, but this controller reads versions up to {VERSION}")]
    Newer(u32),
}

/// The states of all zones, committed on the condition that the committing controller still leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZonesRecord {
    /// The version of the format.
    pub version: u32,
    /// The revision of the leader's key at the time of the commit. Identifies the leadership that
    /// committed the record.
    pub leader: Revision,
    /// The recorded zones. A zone that is not recorded is healthy and has never been lost.
    pub zones: BTreeMap<ZoneId, ZoneRecord>,
}

/// The recorded state of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// The state, which determines how the zone is used.
    pub state: ZoneState,
    /// Number of times that the zone has been lost.
    pub epoch: u64,
    /// Wall-clock time at which the zone entered the state.
    pub since: Micros,
    /// Number of losses that lengthen the probation.
    pub relapses: u32,
    /// Number of evacuation waves that the leader has started since the zone was lost; 0 if the
    /// zone is not lost.
    #[serde(default)]
    pub wave: u64,
    /// Whether an operator declared the state.
    #[serde(default)]
    pub declared: bool,
}

/// The field that all versions of the record have in common.
#[derive(Deserialize)]
struct Versioned {
    version: u32,
}

impl ZonesRecord {
    /// Reads a record. Callers treat a record that cannot be read as absent: it determines the
    /// state of no zone.
    ///
    /// # Errors
    /// The value is not a record, or a newer version of the code wrote it.
    pub fn read(value: &Value) -> Result<ZonesRecord, RecordError> {
        let malformed = |error: serde_json::Error| RecordError::Malformed(error.to_string());
        let versioned = Versioned::deserialize(value).map_err(malformed)?;
        if versioned.version > VERSION {
            return Err(RecordError::Newer(versioned.version));
        }
        ZonesRecord::deserialize(value).map_err(malformed)
    }
}

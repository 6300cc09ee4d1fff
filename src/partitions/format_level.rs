//! Format levels: which records and requests the controllers of a mixed-version cluster may
//! use.
//!
//! During a rolling upgrade, controllers of two versions run side by side. A record or request
//! of a new level is written only once every controller understands that level.

use serde::{Deserialize, Serialize};

/// Level of the records and requests that a version of the controller understands. A new level
/// comes into use once every controller has registered with it. The level in use is recorded in
/// the store and never falls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FormatLevel(pub u32);

impl FormatLevel {
    /// Level from which jobs may depend on other jobs that have to be done first. A controller
    /// of an earlier level would start the dependent jobs at once.
    pub const DEPENDENCIES: FormatLevel = FormatLevel(1);
    /// Newest level that this version understands.
    pub const NEWEST: FormatLevel = FormatLevel::DEPENDENCIES;

    /// Returns whether this is level 0, from before format levels existed. Records omit it.
    pub(super) fn is_first(&self) -> bool {
        *self == FormatLevel::default()
    }
}

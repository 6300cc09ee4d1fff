//! Agreement on the format level that every controller of the deployment understands.
//!
//! It owns the latest level that each controller was seen with. The level that is recorded in
//! the store never decreases.

use super::Core;
use super::effects::critical_write;
use super::in_flight::RequestKind;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::ids::{Label, Revision};
use crate::partitions::{FormatLevel, FormatRecord};
use crate::store::{Compare, Mutation, Reply, keys};
use std::collections::BTreeMap;

/// Compares that the store allows in a transaction for each mutation that it allows.
const COMPARES_PER_MUTATION: usize = 4;

/// The latest format level that each controller was seen with.
#[derive(Debug, Default)]
pub(super) struct SeenFormatLevels {
    levels: BTreeMap<Label, FormatLevel>,
}

impl SeenFormatLevels {
    /// Records the format level of a member.
    pub(super) fn record(&mut self, label: &Label, level: FormatLevel) {
        self.levels.insert(label.clone(), level);
    }

    /// Returns the highest level that all of these controllers understand. A controller that was
    /// never seen counts with the first level. `None` if there are no controllers.
    fn common<'a>(&self, controllers: impl Iterator<Item = &'a Label>) -> Option<FormatLevel> {
        controllers
            .map(|label| self.levels.get(label).copied().unwrap_or_default())
            .min()
    }
}

impl Core {
    /// Raises the recorded format level once every controller of the deployment was seen with a
    /// higher level. If the level were raised earlier, a job with dependencies could be accepted
    /// while a controller of an earlier version may still become the owner of its partition. That
    /// controller would start the job at once, without waiting for the dependencies.
    pub(super) fn raise_format_level(
        &mut self,
        now: Micros,
        leadership: &Compare,
        out: &mut Vec<Effect>,
    ) {
        let cache = self.store.cache();
        let settings = &self.configuration.settings;
        let seen = &self.leader_state.format_levels;
        let level = seen.common(settings.controllers());
        let Some(level) = level.filter(|level| *level > cache.format_level()) else {
            return;
        };
        if !self.in_flight.begin_request(now, RequestKind::FormatLevel) {
            return;
        }
        let revision = cache
            .format
            .map_or(Revision(0), |versioned| versioned.revision);
        let mut compares = vec![
            leadership.clone(),
            Compare::new(keys::FORMAT.into(), revision),
        ];
        // The member keys of the controllers must not have changed. This is checked for as many
        // controllers as the transaction has room for compares.
        let max_members = COMPARES_PER_MUTATION * settings.max_mutations() - compares.len();
        compares.extend(settings.controllers().take(max_members).map(|label| {
            let member = cache.members.get(label);
            let revision = member.map_or(Revision(0), |versioned| versioned.revision);
            Compare::new(keys::member(label), revision)
        }));
        tracing::info!(level = level.0, "format level raise requested");
        let mutations = vec![Mutation::put(keys::FORMAT.into(), &FormatRecord { level })];
        out.push(critical_write(
            StoreOperation::FormatLevel,
            compares,
            mutations,
        ));
    }

    /// Handles the reply to a write of a higher format level.
    pub(super) fn handle_format_level_reply(&mut self, reply: &Reply) {
        // After a commit, the request stays in flight until it times out. Otherwise the same
        // level would be written again before the cache shows it.
        if !matches!(reply, Reply::Committed(_)) {
            self.in_flight.finish(RequestKind::FormatLevel);
        }
    }
}

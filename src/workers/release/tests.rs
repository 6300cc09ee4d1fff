//! Tests of a machine's release. They guard against using a machine that is released, and against
//! losing a machine whose release failed.

use super::{ReleaseOutcome, ReleaseState};
use crate::ids::Revision;

fn requested() -> ReleaseState {
    let mut state = ReleaseState::Active;
    state.request(Revision(7));
    state
}

#[test]
fn a_committed_release_is_final_and_a_rejected_one_is_undone() {
    let mut committed = requested();
    committed.record_outcome(ReleaseOutcome::Committed);
    assert_eq!(committed, ReleaseState::Released);
    let mut rejected = requested();
    rejected.record_outcome(ReleaseOutcome::Rejected);
    assert!(rejected.is_active());
}

/// Guards against using a machine while an unanswered write may still release it, and against
/// releasing it by an answer that arrives after its shard has changed.
#[test]
fn an_indeterminate_release_is_settled_only_by_a_commit_or_a_later_revision_of_the_shard() {
    let mut state = requested();
    state.record_outcome(ReleaseOutcome::Indeterminate);
    state.request(Revision(9));
    state.record_outcome(ReleaseOutcome::Rejected);
    state.record_shard_revision(Revision(9));
    let revision = Revision(9);
    assert_eq!(state, ReleaseState::Indeterminate { revision });
    let mut committed = state;
    committed.record_outcome(ReleaseOutcome::Committed);
    assert_eq!(committed, ReleaseState::Released);
    state.record_shard_revision(Revision(10));
    assert!(state.is_active());
    state.record_outcome(ReleaseOutcome::Committed);
    assert!(
        state.is_active(),
        "a write that depends on an earlier revision has failed"
    );
}

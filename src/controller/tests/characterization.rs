//! Characterization tests: they detect any change of the controllers' behaviour.
//!
//! Seeded histories of the simulation are run, and all effects of all controllers are digested, in
//! order and in their wire format. No Rust name is part of the digest, so a change that only
//! renames or restructures code leaves the snapshots unchanged.
//!
//! A commit that changes behaviour on purpose updates the snapshots with
//! `INSTA_UPDATE=always cargo test --lib characterization` and says so in its message.

use super::fault_pairs::{HistoryKind, recorded_pair};
use crate::api::channels::{ApiView, HeartbeatAnswer};
use crate::api::read_index::JobLookup;
use crate::clock::Micros;
use crate::controller::direct_commands::direct_request;
use crate::controller::messages::Effect;
use crate::http_client::HttpRequest;
use crate::{cloud, mesh, store};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Seeds of the histories that are compared, for each kind of history.
const SEEDS: std::ops::Range<u64> = 0..16;
/// Number of bytes of the digest that the snapshot contains.
const SHOWN_BYTES: usize = 12;

/// Digests effects in their wire format and counts them by kind.
#[derive(Default)]
pub struct WireRecorder {
    digest: Sha256,
    counts: BTreeMap<&'static str, usize>,
}

impl WireRecorder {
    /// Adds an effect that a controller produced at the given time.
    pub fn record(&mut self, now: Micros, controller: usize, effect: &Effect) {
        let (kind, wire) = wire_form(effect);
        *self.counts.entry(kind).or_default() += 1;
        let line = format!("{} {controller} {kind} {wire}\n", now.0);
        self.digest.update(line);
    }

    /// Returns the digest and the counts as one line.
    fn summary(self) -> String {
        let digest = self.digest.finalize();
        let mut line = String::new();
        for byte in &digest[..SHOWN_BYTES] {
            let _ = write!(line, "{byte:02x}");
        }
        for (kind, count) in self.counts {
            let _ = write!(line, " {kind}={count}");
        }
        line
    }
}

/// Returns the kind of an effect and the data that leaves the process with it.
fn wire_form(effect: &Effect) -> (&'static str, String) {
    match effect {
        Effect::StoreRequest {
            request, priority, ..
        } => {
            let http = http_form(&store::client::http_request(request));
            ("store", format!("{} {http}", *priority as u8))
        }
        Effect::AnswerHeartbeat { answer, .. } => ("worker", worker_form(answer)),
        Effect::AnswerJobLookup { request_id, lookup } => {
            ("user", format!("{request_id} {}", user_form(lookup)))
        }
        Effect::SendDirectCommand {
            addr,
            command,
            send_before,
            ..
        } => {
            let http = direct_request(command).expect("a direct command is JSON");
            let form = format!("{addr} {} {}", send_before.0, http_form(&http));
            ("direct", form)
        }
        Effect::Cloud(request) => ("cloud", http_form(&cloud::client::http_request(request))),
        Effect::SendToPeers(message) => {
            let frame = mesh::encode(message).expect("a message has a frame");
            ("mesh", format!("{frame:?}"))
        }
        Effect::PublishView(view) => ("view", view_form(view)),
    }
}

fn http_form(request: &HttpRequest) -> String {
    let body = request
        .body
        .as_ref()
        .map_or(String::new(), Value::to_string);
    format!("{} {} {body}", request.method, request.path)
}

fn worker_form(answer: &HeartbeatAnswer) -> String {
    match answer {
        HeartbeatAnswer::Accepted(response) => {
            format!("200 {} {}", response.valid_until.0, json!(response))
        }
        HeartbeatAnswer::Redirect(label) => format!("421 {label}"),
        HeartbeatAnswer::Unavailable => "503".to_owned(),
    }
}

fn user_form(lookup: &JobLookup) -> Value {
    match lookup {
        JobLookup::Live {
            revision,
            state,
            tasks,
            footprint,
            done,
            running,
        } => json!([revision, state, tasks, footprint, done, running]),
        JobLookup::Ended(record) => json!(record),
        JobLookup::NotFound => json!(404),
        JobLookup::Unavailable => json!(503),
    }
}

fn view_form(view: &ApiView) -> String {
    let teams: Vec<_> = view
        .teams
        .iter()
        .map(|team| (team.partition, team.owner_revision, team.term))
        .collect();
    json!([view.types.as_deref(), teams, view.healthy, view.format]).to_string()
}

/// Returns the summaries of all histories of a kind, one per line.
fn summaries(kind: HistoryKind) -> String {
    let line = |seed| format!("seed {seed}: {}", recorded_pair(seed, kind).summary());
    SEEDS.map(line).collect::<Vec<_>>().join("\n")
}

#[test]
fn characterization_of_pairs_of_troubles() {
    insta::assert_snapshot!(summaries(HistoryKind::Plain));
}

#[test]
fn characterization_of_pairs_of_troubles_with_chains() {
    insta::assert_snapshot!(summaries(HistoryKind::Dependencies));
}

#[test]
fn characterization_of_pairs_of_troubles_with_lost_zones() {
    insta::assert_snapshot!(summaries(HistoryKind::LostZone));
}

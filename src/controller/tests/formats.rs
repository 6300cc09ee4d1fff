//! Compatibility of two versions of the controllers that share stored records and mesh frames.
//!
//! `production.json` was written by the version in production, at the commit that the file names.
//! The current version must read all of it. Until every controller is known to run the current
//! version, it must write only records and frames that the version in production can read.

use super::simulation::{Simulation, secs};
use crate::cloud::{MachineType, ScaleOutRecord};
use crate::ids::{JobId, Label, LeaseId, Revision, Term};
use crate::jobs::tests::job_desc;
use crate::jobs::{EndedRecord, JobRecord, JobState, ProgressRecord, tasks_per_page};
use crate::mesh::{self, Message};
use crate::partitions::{
    FormatLevel, FormatRecord, LeaderRecord, MachineRecord, MemberRecord, PartitionOwnerRecord,
    ShardRecord, TermRecord,
};
use crate::store::{KeyValue, Mutation, keys};
use crate::watch_cache::WatchCache;
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// Returns the records and frames that the version in production wrote.
fn production() -> Value {
    let text = include_str!("../../store/fixtures/production.json");
    serde_json::from_str(text).expect("the fixtures")
}

/// Returns the keys and values of all production records of a kind.
fn records(kind: &str) -> Vec<(String, Value)> {
    let all = production()["records"].as_array().expect("a list").clone();
    all.into_iter()
        .filter(|record| record["kind"] == kind)
        .map(|record| {
            let key = record["key"].as_str().expect("a key").to_owned();
            (key, record["value"].clone())
        })
        .collect()
}

/// Checks that the current version reads each production record of a kind and writes it back
/// unchanged.
fn assert_round_trip<T: serde::Serialize + serde::de::DeserializeOwned>(kind: &str) {
    let all = records(kind);
    assert!(!all.is_empty(), "no production record of kind {kind}");
    for (key, value) in all {
        let read: T = serde_json::from_value(value.clone()).expect(kind);
        let written = serde_json::to_value(read).expect(kind);
        assert_eq!(written, value, "{kind} at {key}");
    }
}

#[test]
fn production_records_round_trip_unchanged() {
    assert_round_trip::<TermRecord>("term");
    assert_round_trip::<LeaderRecord>("leader");
    assert_round_trip::<Vec<MachineType>>("types");
    assert_round_trip::<MemberRecord>("member");
    assert_round_trip::<PartitionOwnerRecord>("holder");
    assert_round_trip::<ShardRecord>("machines");
    assert_round_trip::<JobRecord>("job");
    assert_round_trip::<ProgressRecord>("progress");
    assert_round_trip::<EndedRecord>("ended");
    assert_round_trip::<ScaleOutRecord>("rental");
    let known = [
        "term", "leader", "types", "member", "holder", "machines", "job", "progress", "ended",
        "rental", "sums",
    ];
    let all = production()["records"].as_array().expect("a list").clone();
    let kinds: BTreeSet<&str> = all
        .iter()
        .filter_map(|record| record["kind"].as_str())
        .collect();
    assert_eq!(
        kinds,
        BTreeSet::from(known),
        "each kind of production record is checked"
    );
}

#[test]
fn production_keys_load_into_the_watch_cache() {
    let mut cache = WatchCache::default();
    let all = production()["records"].as_array().expect("a list").clone();
    let entries = all.iter().map(|record| KeyValue {
        key: record["key"].as_str().expect("a key").into(),
        value: record["value"].clone(),
        revision: Revision(5),
    });
    cache.load(entries.collect());
    let id = JobId::from("j-000412");
    assert_eq!(cache.term.record.last, Term(41));
    assert!(cache.leader.is_some() && cache.types.is_some());
    assert_eq!(
        cache.members[&Label::from("c0")].record.lease_id,
        LeaseId(7)
    );
    assert_eq!(
        cache.members[&Label::from("c0")].record.format,
        FormatLevel(0)
    );
    assert_eq!(cache.all_machines().count(), 2);
    assert_eq!(
        cache.jobs[&id].record.desc.dependencies,
        Vec::<JobId>::new()
    );
    let pages: Vec<u32> = cache.progress(&id).map(|(page, ..)| page).collect();
    assert_eq!(pages, vec![2]);
    assert_eq!(cache.scale_outs.len() + cache.team_usage.len(), 2);
}

/// The number of tasks on a progress page is not stored. If it differed between versions, one
/// version would overwrite the pages of the other with shorter pages.
#[test]
fn progress_pages_have_the_length_of_production() {
    for page in production()["page_tasks"].as_array().expect("a list") {
        let value_kb = page["value_kb"].as_f64().expect("a size");
        assert_eq!(
            json!(tasks_per_page(value_kb)),
            page["tasks"],
            "{value_kb} KiB"
        );
    }
}

#[test]
fn production_mesh_frames_round_trip_unchanged() {
    let frames = production()["frames"].as_array().expect("a list").clone();
    let mut decoded = Vec::new();
    for frame in frames {
        let hex = frame["hex"].as_str().expect("bytes").to_owned();
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("a byte");
        let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
        let message = mesh::decode(&bytes).expect("a message");
        assert_eq!(mesh::encode(&message).expect("a frame"), bytes);
        decoded.push(match message {
            Message::PeerState(state) => {
                let request = &state.partitions[0].capacity_requests[0];
                assert_eq!((request.count, request.estimated_run_time_s), (7, 9.5));
                "peer state"
            }
            Message::Cancelled { job, revision } => {
                assert_eq!((job.as_str(), revision), ("j-000412", Revision(70_000)));
                "cancelled"
            }
            Message::ZoneEvidence(_) => panic!("the version in production sends no zone evidence"),
        });
    }
    assert_eq!(decoded, ["peer state", "cancelled"]);
}

/// Returns the key and the field names of each stored record. Shards of machine records, usage sums
/// and machine types are left out, because their JSON has no fixed fields at the top level.
fn record_fields(simulation: &Simulation) -> Vec<(String, BTreeSet<String>)> {
    let fields = |value: &Value| match value {
        Value::Object(fields) => fields.keys().cloned().collect(),
        _ => BTreeSet::new(),
    };
    let kept = simulation.store.keys.iter().filter(|(key, _)| {
        !key.contains("/machines/") && !key.starts_with("r/sums/") && *key != keys::TYPES
    });
    kept.map(|(key, stored)| (key.clone(), fields(&stored.value)))
        .collect()
}

/// Adds a member that runs the earlier version: its member record has no format level.
fn join_as_earlier_version(simulation: &mut Simulation, label: &str) {
    let lease = simulation.store.grant_lease(simulation.now, secs(1e6));
    let record = json!({"addr": "127.0.0.1:9003", "tenure": lease});
    let label = Label::from(label);
    let mutation = Mutation::put_with_lease(keys::member(&label), &record, lease);
    simulation.store.commit(vec![mutation]);
}

/// While a controller of the earlier version is a member, the current version may add only the
/// listed optional fields to stored records.
#[test]
fn with_an_earlier_version_present_only_optional_fields_are_added() {
    let mut simulation = Simulation::new(2, 2);
    simulation.crash_controller(1);
    simulation.advance(15.0);
    join_as_earlier_version(&mut simulation, "c1");
    simulation.advance(5.0);
    simulation.submit(&job_desc("j-1", 2));
    simulation.advance(3.0);
    simulation.finish_all();
    simulation.advance(3.0);
    simulation.submit(&job_desc("j-2", 2));
    simulation.advance(8.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    assert!(!simulation.store.keys.contains_key(keys::FORMAT));
    assert_eq!(simulation.controllers[0].view.format, FormatLevel(0));
    // Fields that the current version may add to the fields of production records, by key prefix.
    let optional: &[(&str, &[&str])] = &[("r/members/", &["format"]), ("ended/", &["at"])];
    let all = production()["records"].as_array().expect("a list").clone();
    for (key, fields) in record_fields(&simulation) {
        let kind = |key: &str| {
            let parts: Vec<&str> = key.split('/').collect();
            match parts.as_slice() {
                ["r", "blocks", _, what] => format!("r/blocks/{what}"),
                ["r", kind, ..] => format!("r/{kind}"),
                _ => parts[0].to_owned(),
            }
        };
        let same_kind = all
            .iter()
            .filter(|record| record["key"].as_str().map(kind) == Some(kind(&key)));
        let mut allowed: BTreeSet<String> = same_kind
            .filter_map(|record| record["value"].as_object())
            .flat_map(|fields| fields.keys().cloned())
            .collect();
        assert!(
            !allowed.is_empty(),
            "the version in production has no record of the kind of {key}"
        );
        let added = optional
            .iter()
            .filter(|(prefix, _)| key.starts_with(prefix));
        allowed.extend(added.flat_map(|(_, names)| names.iter().map(|name| name.to_string())));
        assert!(
            fields.is_subset(&allowed),
            "{key} has a field that the version in production does not write: {fields:?}"
        );
    }
}

/// The format level must rise only when all controllers run the current version. After that,
/// records of the new format exist, so the level must never fall again.
#[test]
fn format_level_rises_once_every_controller_is_new_and_never_falls() {
    let mut simulation = Simulation::new(3, 1);
    simulation.crash_controller(2);
    join_as_earlier_version(&mut simulation, "c2");
    simulation.advance(20.0);
    assert!(
        !simulation.store.keys.contains_key(keys::FORMAT),
        "one controller runs the earlier version"
    );
    // The third controller joins with the current version.
    simulation.start_controller(2);
    simulation.advance(10.0);
    assert_eq!(*simulation.store.value(keys::FORMAT), json!({"level": 1}));
    let raised = simulation.store.keys[keys::FORMAT].revision;
    assert!(
        simulation
            .controllers
            .iter()
            .all(|controller| controller.view.format == FormatLevel::NEWEST)
    );
    // All controllers crash, and the third does not start again.
    simulation.crash_all_controllers();
    (0..2).for_each(|controller| simulation.start_controller(controller));
    simulation.advance(30.0);
    assert_eq!(
        simulation.store.keys[keys::FORMAT].revision,
        raised,
        "the format level is written only once"
    );
    assert_eq!(simulation.controllers[0].view.format, FormatLevel::NEWEST);
}

/// A controller that has never joined may run the earlier version. The format level must not rise
/// until it has joined with the current version.
#[test]
fn controller_that_never_joined_keeps_the_format_level_down() {
    let mut simulation = Simulation::new(3, 1);
    simulation.crash_controller(2);
    simulation.advance(60.0);
    assert!(!simulation.store.keys.contains_key(keys::FORMAT));
    simulation.start_controller(2);
    simulation.advance(5.0);
    simulation.crash_controller(2);
    simulation.advance(30.0);
    assert!(
        simulation.store.keys.contains_key(keys::FORMAT),
        "it is enough that the controller has joined once"
    );
}

/// Checks the record forms that the version in production does not write or that the fixtures do
/// not contain.
#[test]
fn records_round_trip_with_and_without_optional_fields() {
    fn assert_text_round_trip<T: serde::Serialize + serde::de::DeserializeOwned>(text: &str) {
        let read: T = serde_json::from_str(text).expect(text);
        // Records are sent through a JSON value, whose fields are sorted.
        let written = serde_json::to_value(read).expect(text).to_string();
        assert_eq!(written, text);
    }
    assert_text_round_trip::<FormatRecord>(r#"{"level":1}"#);
    assert_text_round_trip::<MemberRecord>(r#"{"addr":"127.0.0.1:9001","format":1,"tenure":7}"#);
    assert_text_round_trip::<MemberRecord>(r#"{"addr":"127.0.0.1:9001","tenure":7}"#);
    assert_text_round_trip::<MachineRecord>(
        r#"{"a":"10.1.0.7:9000","b":"big","f":"move","s":true,"t":12,"u":true,"z":"x"}"#,
    );
    assert_text_round_trip::<MachineRecord>(r#"{"b":"big","f":"return","s":false,"t":0,"z":"x"}"#);
    assert_text_round_trip::<MachineRecord>(
        r#"{"a":"10.1.0.7:9000","b":"big","s":false,"t":0,"z":"x"}"#,
    );
    assert_text_round_trip::<MachineRecord>(r#"{"b":"big","s":false,"t":0,"u":true,"z":"x"}"#);
    let footprint = r#""footprint":{"request":{"cards":1.0,"cores":2.0,"mem":4.0},"team":"red"}"#;
    assert_text_round_trip::<EndedRecord>(&format!(
        r#"{{"at":1700000000000000,{footprint},"standing":"cancelled","tasks":4}}"#
    ));
    assert_text_round_trip::<EndedRecord>(r#"{"at":1700000000000000,"standing":"done","tasks":4}"#);
    for standing in ["pending", "running", "done", "cancelled"] {
        assert_text_round_trip::<EndedRecord>(&format!(r#"{{"standing":"{standing}","tasks":4}}"#));
    }
    assert_text_round_trip::<ProgressRecord>(r#"{"done":[],"owner":null,"running":0}"#);
    for (form, rank) in [
        ("sweep", "idle"),
        ("service", "standard"),
        ("sweep", "production"),
    ] {
        assert_text_round_trip::<JobRecord>(&format!(
            r#"{{"at":1700000000000000,"born":9,"desc":{{"apart":true,"builds":["big","small"],"cards":1.0,"cores":2.0,"crew":"red","deck":"img-07","dueS":null,"form":"{form}","hands":4,"hinges":["j-2","j-1"],"id":"j-000412","loaners":false,"lot":"train","markS":5.0,"memGb":4.0,"oneZone":true,"rank":"{rank}","reckonS":10.0,"sizeGb":1.0,"stowS":2.0,"yard":"x"}}}}"#
        ));
    }
}

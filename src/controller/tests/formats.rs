//! Two versions at a time on the same records and frames.
//!
//! `production.json` was written by the code of the commit that it names. This version
//! must read all of it, and, as long as not every controller is known to run it, write
//! nothing but what that one reads.

use super::world::{World, secs};
use super::*;
use crate::cloud::ScaleOutRecord;
use crate::ids::{JobId, Label, LeaseId, Revision, Term};
use crate::jobs::{EndedRecord, JobRecord, ProgressRecord, tasks_per_page};
use crate::mesh::{self, Message};
use crate::partitions::{
    FormatLevel, LeaderRecord, MachinesRecord, MemberRecord, PartitionOwnerRecord, TermRecord,
};
use crate::store::{self, KeyValue};
use crate::watch_cache::WatchCache;
use serde_json::{Value, json};
use std::collections::BTreeSet;

fn production() -> Value {
    let text = include_str!("../../store/fixtures/production.json");
    serde_json::from_str(text).expect("the fixtures")
}

fn records(kind: &str) -> Vec<(String, Value)> {
    let all = production()["records"].as_array().expect("a list").clone();
    all.into_iter()
        .filter(|r| r["kind"] == kind)
        .map(|r| {
            let key = r["key"].as_str().expect("a key").to_owned();
            (key, r["value"].clone())
        })
        .collect()
}

/// Read as this version's record and written again, byte by byte as before.
fn round_trips<T: serde::Serialize + serde::de::DeserializeOwned>(kind: &str) {
    let all = records(kind);
    assert!(!all.is_empty(), "{kind}");
    for (key, value) in all {
        let read: T = serde_json::from_value(value.clone()).expect(kind);
        let written = serde_json::to_value(read).expect(kind);
        assert_eq!(written, value, "{kind} at {key}");
    }
}

#[test]
fn the_records_of_the_version_in_production_are_read_and_written_as_they_are() {
    round_trips::<TermRecord>("term");
    round_trips::<LeaderRecord>("leader");
    round_trips::<Vec<MachineType>>("types");
    round_trips::<MemberRecord>("member");
    round_trips::<PartitionOwnerRecord>("holder");
    round_trips::<MachinesRecord>("machines");
    round_trips::<JobRecord>("job");
    round_trips::<ProgressRecord>("progress");
    round_trips::<EndedRecord>("ended");
    round_trips::<ScaleOutRecord>("rental");
    let known = [
        "term", "leader", "types", "member", "holder", "machines", "job", "progress", "ended",
        "rental", "sums",
    ];
    let all = production()["records"].as_array().expect("a list").clone();
    let kinds: BTreeSet<&str> = all.iter().filter_map(|r| r["kind"].as_str()).collect();
    assert_eq!(kinds, BTreeSet::from(known), "each kind is checked");
}

#[test]
fn the_keys_of_the_version_in_production_are_found_in_the_mirror() {
    let mut cache = WatchCache::default();
    let all = production()["records"].as_array().expect("a list").clone();
    let rows = all.iter().map(|r| KeyValue {
        key: r["key"].as_str().expect("a key").into(),
        value: r["value"].clone(),
        revision: Revision(5),
    });
    cache.load(rows.collect());
    let id = JobId::from("j-000412");
    assert_eq!(cache.term.1.last, Term(41));
    assert!(cache.leader.is_some() && cache.types.is_some());
    assert_eq!(cache.members[&Label::from("c0")].1.lease_id, LeaseId(7));
    assert_eq!(cache.members[&Label::from("c0")].1.format, FormatLevel(0));
    assert_eq!(cache.all_machines().count(), 2);
    assert_eq!(cache.jobs[&id].1.desc.dependencies, Vec::<JobId>::new());
    let pages: Vec<u32> = cache.progress(&id).map(|(n, ..)| n).collect();
    assert_eq!(pages, vec![2]);
    assert_eq!(cache.scale_outs.len() + cache.team_usage.len(), 2);
}

/// The length of a page of progress is not stored: with another one, pages that the other
/// version wrote would be overwritten by less than they say.
#[test]
fn pages_of_progress_are_cut_as_by_the_version_in_production() {
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
fn frames_of_the_version_in_production_are_read_and_written_as_they_are() {
    let frames = production()["frames"].as_array().expect("a list").clone();
    let mut seen = Vec::new();
    for frame in frames {
        let hex = frame["hex"].as_str().expect("bytes").to_owned();
        let byte = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).expect("a byte");
        let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
        let message = mesh::decode(&bytes).expect("a message");
        assert_eq!(mesh::encode(&message).expect("a frame"), bytes);
        seen.push(match message {
            Message::PeerState(state) => {
                let need = &state.partitions[0].capacity_requests[0];
                assert_eq!((need.count, need.estimated_run_time_s), (7, 9.5));
                "peer state"
            }
            Message::Cancelled { job, revision } => {
                assert_eq!((job.as_str(), revision), ("j-000412", Revision(70_000)));
                "cancelled"
            }
            Message::ZoneEvidence(_) => panic!("production knows no such frame"),
        });
    }
    assert_eq!(seen, ["peer state", "cancelled"]);
}

/// What the store holds, each record as the version in production would write it again.
fn shapes(w: &World) -> Vec<(String, BTreeSet<String>)> {
    let fields = |value: &Value| match value {
        Value::Object(fields) => fields.keys().cloned().collect(),
        _ => BTreeSet::new(),
    };
    let kept = w.store.keys.iter().filter(|(k, _)| {
        !k.contains("/machines/") && !k.starts_with("r/sums/") && *k != keys::TYPES
    });
    kept.map(|(k, (_, value, _))| (k.clone(), fields(value)))
        .collect()
}

/// A controller of the earlier version: its member record says nothing of formats.
fn join_as_earlier_version(w: &mut World, label: &str) {
    w.store.next_lease += 1;
    let lease = w.store.next_lease;
    w.store.leases.insert(lease, (secs(1e6), secs(1e6)));
    let record = json!({"addr": "127.0.0.1:9003", "tenure": lease});
    let label = Label::from(label);
    let op = store::put_with_lease(keys::member(&label), &record, LeaseId(lease));
    w.store.commit(vec![op]);
}

#[test]
fn until_every_controller_is_new_nothing_new_is_written_but_optional_fields() {
    let mut w = World::new(2, 2);
    w.crash(1);
    w.pass(15.0);
    join_as_earlier_version(&mut w, "c1");
    w.pass(5.0);
    w.submit(&desc("j-1", 2));
    w.pass(3.0);
    w.finish_all();
    w.pass(3.0);
    w.submit(&desc("j-2", 2));
    w.pass(8.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    assert!(!w.store.keys.contains_key(keys::FORMAT));
    assert_eq!(w.nodes[0].view.format, FormatLevel(0));
    // By kind: the fields that production writes, and what this version may add.
    let optional: &[(&str, &[&str])] = &[("r/members/", &["format"]), ("ended/", &["at"])];
    let all = production()["records"].as_array().expect("a list").clone();
    for (key, fields) in shapes(&w) {
        let kind = |k: &str| {
            let parts: Vec<&str> = k.split('/').collect();
            match parts.as_slice() {
                ["r", "blocks", _, what] => format!("r/blocks/{what}"),
                ["r", kind, ..] => format!("r/{kind}"),
                _ => parts[0].to_owned(),
            }
        };
        let like = all
            .iter()
            .filter(|r| r["key"].as_str().map(kind) == Some(kind(&key)));
        let mut allowed: BTreeSet<String> = like
            .filter_map(|r| r["value"].as_object())
            .flat_map(|fields| fields.keys().cloned())
            .collect();
        assert!(
            !allowed.is_empty(),
            "{key} is of a kind that production lacks"
        );
        let added = optional
            .iter()
            .filter(|(prefix, _)| key.starts_with(prefix));
        allowed.extend(added.flat_map(|(_, names)| names.iter().map(|n| n.to_string())));
        assert!(fields.is_subset(&allowed), "{key}: {fields:?}");
    }
}

#[test]
fn the_format_level_is_raised_once_every_controller_was_seen_and_never_falls() {
    let mut w = World::new(3, 1);
    w.crash(2);
    join_as_earlier_version(&mut w, "c2");
    w.pass(20.0);
    assert!(!w.store.keys.contains_key(keys::FORMAT), "one is old");
    // It ends, and comes back with the new version.
    w.start(2);
    w.pass(10.0);
    assert_eq!(w.store.keys[keys::FORMAT].1, json!({"level": 1}));
    let raised = w.store.keys[keys::FORMAT].0;
    assert!(w.nodes.iter().all(|n| n.view.format == FormatLevel::NEWEST));
    // All begin again, and one never comes back.
    (0..3).for_each(|i| w.crash(i));
    (0..2).for_each(|i| w.start(i));
    w.pass(30.0);
    assert_eq!(w.store.keys[keys::FORMAT].0, raised, "written once");
    assert_eq!(w.nodes[0].view.format, FormatLevel::NEWEST);
}

#[test]
fn a_controller_that_is_never_seen_keeps_the_format_level_down() {
    let mut w = World::new(3, 1);
    w.crash(2);
    w.pass(60.0);
    assert!(!w.store.keys.contains_key(keys::FORMAT));
    w.start(2);
    w.pass(5.0);
    w.crash(2);
    w.pass(30.0);
    assert!(w.store.keys.contains_key(keys::FORMAT), "seen is enough");
}

/// What the version in production does not write, or only the fixtures lack.
#[test]
fn records_keep_their_form_with_and_without_each_optional_field() {
    fn keeps<T: serde::Serialize + serde::de::DeserializeOwned>(text: &str) {
        let read: T = serde_json::from_str(text).expect(text);
        // As they are sent: through a value, whose fields are sorted.
        let written = serde_json::to_value(read).expect(text).to_string();
        assert_eq!(written, text);
    }
    use crate::partitions::{FormatRecord, MachineRecord};
    keeps::<FormatRecord>(r#"{"level":1}"#);
    keeps::<MemberRecord>(r#"{"addr":"127.0.0.1:9001","format":1,"tenure":7}"#);
    keeps::<MemberRecord>(r#"{"addr":"127.0.0.1:9001","tenure":7}"#);
    keeps::<MachineRecord>(
        r#"{"a":"10.1.0.7:9000","b":"big","f":"move","s":true,"t":12,"u":true,"z":"x"}"#,
    );
    keeps::<MachineRecord>(r#"{"b":"big","f":"return","s":false,"t":0,"z":"x"}"#);
    keeps::<MachineRecord>(r#"{"a":"10.1.0.7:9000","b":"big","s":false,"t":0,"z":"x"}"#);
    keeps::<MachineRecord>(r#"{"b":"big","s":false,"t":0,"u":true,"z":"x"}"#);
    let footprint = r#""footprint":{"request":{"cards":1.0,"cores":2.0,"mem":4.0},"team":"red"}"#;
    keeps::<EndedRecord>(&format!(
        r#"{{"at":1700000000000000,{footprint},"standing":"cancelled","tasks":4}}"#
    ));
    keeps::<EndedRecord>(r#"{"at":1700000000000000,"standing":"done","tasks":4}"#);
    for standing in ["pending", "running", "done", "cancelled"] {
        keeps::<EndedRecord>(&format!(r#"{{"standing":"{standing}","tasks":4}}"#));
    }
    keeps::<ProgressRecord>(r#"{"done":[],"owner":null,"running":0}"#);
    for (form, rank) in [
        ("sweep", "idle"),
        ("service", "standard"),
        ("sweep", "production"),
    ] {
        keeps::<JobRecord>(&format!(
            r#"{{"at":1700000000000000,"born":9,"desc":{{"apart":true,"builds":["big","small"],"cards":1.0,"cores":2.0,"crew":"red","deck":"img-07","dueS":null,"form":"{form}","hands":4,"hinges":["j-2","j-1"],"id":"j-000412","loaners":false,"lot":"train","markS":5.0,"memGb":4.0,"oneZone":true,"rank":"{rank}","reckonS":10.0,"sizeGb":1.0,"stowS":2.0,"yard":"x"}}}}"#
        ));
    }
}

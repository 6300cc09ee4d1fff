//! Tests of the format of the zone record. Leaders of other versions read and write it, so a
//! changed or missing field would make them lose the states of the zones.

use serde_json::{Value, json};
use zone_failover::record::{RecordError, ZonesRecord};

/// A record with a zone in every state, and with values that differ from all defaults.
fn record() -> Value {
    let zone = |state: &str| {
        json!({"state": state, "epoch": 3, "since": 1_700_000_000_000_000_u64, "relapses": 2,
            "wave": 17, "declared": true})
    };
    json!({"version": 1, "leader": 412, "zones": {"v": zone("healthy"), "w": zone("suspect"),
        "x": zone("lost"), "y": zone("probation")}})
}

/// Guards against renamed, added or dropped fields.
#[test]
fn zones_record_format_is_stable() {
    let read = ZonesRecord::read(&record()).expect("a record");
    assert_eq!(serde_json::to_value(read).expect("a value"), record());
    let empty = json!({"version": 1, "leader": 0, "zones": {}});
    let read = ZonesRecord::read(&empty).expect("a record");
    assert_eq!(serde_json::to_value(read).expect("a value"), empty);
}

/// Guards against fields that silently get a default value when a record lacks them, and against
/// unknown states that are accepted.
#[test]
fn only_wave_and_declared_are_optional_in_a_zone_record() {
    let zone = record()["zones"]["x"].clone();
    for name in zone.as_object().expect("fields").keys() {
        let mut partial = record();
        let fields = partial["zones"]["x"].as_object_mut().expect("fields");
        fields.remove(name);
        let default = match name.as_str() {
            "wave" => json!(0),
            "declared" => json!(false),
            _ => {
                assert!(ZonesRecord::read(&partial).is_err(), "without {name}");
                continue;
            }
        };
        let read = ZonesRecord::read(&partial).expect(name);
        let mut expected = record();
        expected["zones"]["x"][name] = default;
        assert_eq!(serde_json::to_value(read).expect("a value"), expected);
    }
    let mut unknown_state = record();
    unknown_state["zones"]["x"]["state"] = json!("asleep");
    assert!(matches!(
        ZonesRecord::read(&unknown_state),
        Err(RecordError::Malformed(_))
    ));
}

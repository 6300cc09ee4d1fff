//! The record of all zones keeps its form.

use serde_json::{Value, json};
use zone_failover::record::{RecordError, ZonesRecord};

fn record() -> Value {
    let zone = |state: &str| {
        json!({"state": state, "epoch": 3, "since": 1_700_000_000_000_000_u64, "relapses": 2,
            "wave": 17, "declared": true})
    };
    json!({"version": 1, "leader": 412, "zones": {"v": zone("healthy"), "w": zone("suspect"),
        "x": zone("lost"), "y": zone("probation")}})
}

#[test]
fn the_record_of_all_zones_keeps_its_form() {
    let read = ZonesRecord::read(&record()).expect("a record");
    assert_eq!(serde_json::to_value(read).expect("a value"), record());
    let empty = json!({"version": 1, "leader": 0, "zones": {}});
    let read = ZonesRecord::read(&empty).expect("a record");
    assert_eq!(serde_json::to_value(read).expect("a value"), empty);
}

#[test]
fn only_the_wave_and_the_declaration_may_be_missing_from_a_zone() {
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
    let mut odd = record();
    odd["zones"]["x"]["state"] = json!("asleep");
    assert!(matches!(
        ZonesRecord::read(&odd),
        Err(RecordError::Malformed(_))
    ));
}

use super::*;
use crate::cloud::InstanceState;
use crate::cloud::ScaleOutRecord;
use crate::ids::PartitionId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Asks a cloud that gives these answers: what it was sent, and what was read.
async fn ask(request: CloudRequest, answers: &[(u16, &str)]) -> (Vec<String>, CloudReply) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let cloud = CloudClient::new(ConnectionPool::new(addr, 2), MonotonicClock::start(), 100.0);
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut sent = Vec::new();
        for (status, body) in answers {
            let mut bytes = Vec::new();
            let whole = |bytes: &[u8]| {
                let text = String::from_utf8_lossy(bytes).into_owned();
                let (head, body) = text.split_once("\r\n\r\n")?;
                let length = head.split_once("content-length: ").map_or(0, |(_, rest)| {
                    let digits = rest.lines().next().expect("a length");
                    digits.parse().expect("a number")
                });
                let line = head.lines().next()?.strip_suffix(" HTTP/1.1")?;
                (body.len() == length).then(|| format!("{line} {body}").trim_end().to_owned())
            };
            let request = loop {
                if let Some(request) = whole(&bytes) {
                    break request;
                }
                stream.read_buf(&mut bytes).await.expect("a request");
            };
            sent.push(request);
            let length = body.len();
            let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}");
            stream
                .write_all(answer.as_bytes())
                .await
                .expect("it is read");
        }
        sent
    };
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async { tokio::join!(serve, cloud.execute(&request)) })
        .await
}

#[tokio::test]
async fn machine_types_are_parsed_from_their_wire_form() {
    let full = r#"{"name":"big","cores":16.0,"cards":2.0,"memGb":64.0,"cacheGb":50.0,"pullGbPerS":1.5,"price":0.8,"lowPrice":0.3,"readyS":30.0,"yards":["x","y"],"new":1}"#;
    let short = r#"{"name":"s","cores":4.0,"memGb":16.0,"price":0.2,"lowPrice":0.1,"readyS":20.0,"yards":[]}"#;
    let body = format!(r#"{{"builds":[{full},{short}]}}"#);
    let (sent, reply) = ask(CloudRequest::MachineTypes, &[(200, &body)]).await;
    assert_eq!(sent, ["GET /machine_types"]);
    let CloudReply::MachineTypes(types) = reply else {
        panic!("{reply:?}");
    };
    let t = &types[0];
    assert_eq!(
        (t.name.as_str(), t.zones.join(" ")),
        ("big", "x y".to_owned())
    );
    assert_eq!([t.cores, t.gpus, t.memory_gb], [16.0, 2.0, 64.0]);
    assert_eq!([t.cache_gb, t.fetch_gb_per_s, t.boot_s], [50.0, 1.5, 30.0]);
    assert_eq!([t.price, t.spot_price], [0.8, 0.3]);
    let t = &types[1];
    assert_eq!([t.gpus, t.cache_gb, t.fetch_gb_per_s], [0.0; 3]);
    let (_, reply) = ask(CloudRequest::MachineTypes, &[(503, "{}")]).await;
    assert_eq!(reply, CloudReply::Indeterminate);
}

#[tokio::test]
async fn the_list_of_machines_is_parsed_page_by_page() {
    let first = r#"{"more":true,"new":1,"rigs":[
        {"id":"m-1","addr":"10.1.0.7:9000","build":"big","yard":"x","loaners":true,"standing":"running","heldS":12.5,"new":1},
        {"id":"m-2","addr":null,"build":"small","yard":"y","loaners":false,"standing":"booting"}]}"#;
    let last = r#"{"rigs":[{"id":"m-3","build":"big","yard":"x","loaners":false,"standing":"failed","heldS":1}]}"#;
    let (sent, reply) = ask(CloudRequest::Machines, &[(200, first), (200, last)]).await;
    assert_eq!(
        sent,
        ["GET /machines?most=500", "GET /machines?since=m-2&most=500"]
    );
    let listed =
        |id: &str, addr: Option<&str>, machine_type: &str, zone: &str, spot, standing, age_s| {
            CloudMachine {
                id: id.into(),
                addr: addr.map(str::to_owned),
                machine_type: machine_type.into(),
                zone: zone.into(),
                spot,
                state: standing,
                age_s,
            }
        };
    let expected = vec![
        listed(
            "m-1",
            Some("10.1.0.7:9000"),
            "big",
            "x",
            true,
            InstanceState::Running,
            12.5,
        ),
        listed(
            "m-2",
            None,
            "small",
            "y",
            false,
            InstanceState::Booting,
            0.0,
        ),
        listed("m-3", None, "big", "x", false, InstanceState::Failed, 1.0),
    ];
    assert_eq!(reply, CloudReply::Machines(expected));
    let odd = last.replace("failed", "asleep");
    let (_, reply) = ask(CloudRequest::Machines, &[(200, &odd)]).await;
    assert_eq!(
        reply,
        CloudReply::Indeterminate,
        "a state that is not known"
    );
}

#[tokio::test]
async fn renting_and_returning_keep_their_form() {
    let record = r#"{"block":1,"build":"big","count":12,"spot":true,"zone":"x"}"#;
    let rental: ScaleOutRecord = serde_json::from_str(record).expect("a rental");
    assert_eq!(rental.partition, PartitionId(1));
    let rented = |ids: &[&str]| CloudReply::Rented(ids.iter().map(|id| (*id).into()).collect());
    let cases = [
        (
            200,
            r#"{"rigs":["m-1","m-2"],"new":1}"#,
            rented(&["m-1", "m-2"]),
        ),
        (503, r#"{"error":"no capacity"}"#, CloudReply::NoCapacity),
        (400, r#"{"error":"malformed"}"#, CloudReply::NoCapacity),
        (503, r#"{"error":"busy"}"#, CloudReply::Indeterminate),
        (200, "{}", CloudReply::Indeterminate),
    ];
    for (status, body, expected) in cases {
        let request = CloudRequest::ScaleOut("r-17".into(), rental.clone());
        let (sent, reply) = ask(request, &[(status, body)]).await;
        let form = r#"POST /machines {"build":"big","hire":"r-17","howMany":12,"loaners":true,"yard":"x"}"#;
        assert_eq!(
            (sent[0].as_str(), reply),
            (form, expected),
            "{status} {body}"
        );
    }
    for (status, expected) in [
        (200, CloudReply::Released),
        (404, CloudReply::Indeterminate),
    ] {
        let request = CloudRequest::Release(vec!["m-1".into(), "m-2".into()]);
        let (sent, reply) = ask(request, &[(status, "{}")]).await;
        let form = r#"POST /machines/return {"rigs":["m-1","m-2"]}"#;
        assert_eq!((sent[0].as_str(), reply), (form, expected));
    }
}

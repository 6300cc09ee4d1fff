//! Tests of the cloud client against an HTTP server with fixed responses. They guard against
//! changes of the wire format, and against a response that is taken for a definite result although
//! the outcome of the request is unknown.

use super::*;
use crate::cloud::{InstanceState, ScaleOutRecord};
use crate::ids::PartitionId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Returns the method, the target and the body of a request, or `None` until all of it has been
/// received.
fn complete_request(bytes: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.split_once("content-length: ").map_or(0, |(_, rest)| {
        let digits = rest.lines().next().expect("a length");
        digits.parse().expect("a number")
    });
    let line = head.lines().next()?.strip_suffix(" HTTP/1.1")?;
    (body.len() == length).then(|| format!("{line} {body}").trim_end().to_owned())
}

/// Reads one request and responds to it. Returns the request.
async fn respond(stream: &mut TcpStream, status: u16, body: &str) -> String {
    let mut bytes = Vec::new();
    let request = loop {
        if let Some(request) = complete_request(&bytes) {
            break request;
        }
        stream.read_buf(&mut bytes).await.expect("a request");
    };
    let length = body.len();
    let response = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}");
    let written = stream.write_all(response.as_bytes()).await;
    written.expect("the client reads the response");
    request
}

/// Executes a request against a server that sends these responses (status and body). Returns the
/// HTTP requests that the server received, and the client's reply.
async fn execute(request: CloudRequest, responses: &[(u16, &str)]) -> (Vec<String>, CloudReply) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let cloud = CloudClient::new(ConnectionPool::new(addr, 2), MonotonicClock::start(), 100.0);
    let serve = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut received = Vec::new();
        for (status, body) in responses {
            received.push(respond(&mut stream, *status, body).await);
        }
        received
    };
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async { tokio::join!(serve, cloud.execute(&request)) })
        .await
}

/// Guards against a machine type with wrong values: a renamed field, a missing optional field, or
/// an unknown field of a later version of the interface.
#[tokio::test]
async fn machine_types_are_parsed_from_their_wire_form() {
    let full = r#"{"name":"big","cores":16.0,"cards":2.0,"memGb":64.0,"cacheGb":50.0,"pullGbPerS":1.5,"price":0.8,"lowPrice":0.3,"readyS":30.0,"yards":["x","y"],"new":1}"#;
    let short = r#"{"name":"s","cores":4.0,"memGb":16.0,"price":0.2,"lowPrice":0.1,"readyS":20.0,"yards":[]}"#;
    let body = format!(r#"{{"builds":[{full},{short}]}}"#);
    let (received, reply) = execute(CloudRequest::MachineTypes, &[(200, &body)]).await;
    assert_eq!(received, ["GET /machine_types"]);
    let CloudReply::MachineTypes(types) = reply else {
        panic!("{reply:?}");
    };
    let [big, small] = types.as_slice() else {
        panic!("{types:?}");
    };
    assert_eq!(
        (big.name.as_str(), big.zones.join(" ")),
        ("big", "x y".to_owned())
    );
    assert_eq!([big.cores, big.gpus, big.memory_gb], [16.0, 2.0, 64.0]);
    assert_eq!(
        [big.cache_gb, big.fetch_gb_per_s, big.boot_s],
        [50.0, 1.5, 30.0]
    );
    assert_eq!([big.price, big.spot_price], [0.8, 0.3]);
    assert_eq!([small.gpus, small.cache_gb, small.fetch_gb_per_s], [0.0; 3]);
    let (_, reply) = execute(CloudRequest::MachineTypes, &[(503, "{}")]).await;
    assert_eq!(reply, CloudReply::Indeterminate);
}

/// Guards against a list that lacks the instances of later pages, and against an instance whose
/// unknown state is taken for a known one.
#[tokio::test]
async fn the_list_of_instances_is_parsed_page_by_page() {
    let first = r#"{"more":true,"new":1,"rigs":[
        {"id":"m-1","addr":"10.1.0.7:9000","build":"big","yard":"x","loaners":true,"standing":"running","heldS":12.5,"new":1},
        {"id":"m-2","addr":null,"build":"small","yard":"y","loaners":false,"standing":"booting"}]}"#;
    let last = r#"{"rigs":[{"id":"m-3","build":"big","yard":"x","loaners":false,"standing":"failed","heldS":1}]}"#;
    let (received, reply) = execute(CloudRequest::Machines, &[(200, first), (200, last)]).await;
    assert_eq!(
        received,
        ["GET /machines?most=500", "GET /machines?since=m-2&most=500"]
    );
    let listed =
        |id: &str, addr: Option<&str>, machine_type: &str, zone: &str, spot, state, age_s| {
            CloudMachine {
                id: id.into(),
                addr: addr.map(str::to_owned),
                machine_type: machine_type.into(),
                zone: zone.into(),
                spot,
                state,
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
    let unknown = last.replace("failed", "asleep");
    let (_, reply) = execute(CloudRequest::Machines, &[(200, &unknown)]).await;
    assert_eq!(reply, CloudReply::Indeterminate, "an unknown state");
}

/// Guards against a scale-out that is abandoned although the cloud may have carried it out, and
/// against one that is repeated although the cloud never will.
#[tokio::test]
async fn scale_outs_and_releases_keep_their_wire_form() {
    let record = r#"{"block":1,"build":"big","count":12,"spot":true,"zone":"x"}"#;
    let record: ScaleOutRecord = serde_json::from_str(record).expect("a scale-out");
    assert_eq!(record.partition, PartitionId(1));
    let scaled_out =
        |ids: &[&str]| CloudReply::ScaledOut(ids.iter().map(|id| (*id).into()).collect());
    let cases = [
        (
            200,
            r#"{"rigs":["m-1","m-2"],"new":1}"#,
            scaled_out(&["m-1", "m-2"]),
        ),
        (503, r#"{"error":"no capacity"}"#, CloudReply::NoCapacity),
        (400, r#"{"error":"malformed"}"#, CloudReply::NoCapacity),
        (503, r#"{"error":"busy"}"#, CloudReply::Indeterminate),
        (200, "{}", CloudReply::Indeterminate),
    ];
    for (status, body, expected) in cases {
        let request = CloudRequest::ScaleOut {
            name: "r-17".into(),
            record: record.clone(),
        };
        let (received, reply) = execute(request, &[(status, body)]).await;
        let form = r#"POST /machines {"build":"big","hire":"r-17","howMany":12,"loaners":true,"yard":"x"}"#;
        assert_eq!(
            (received[0].as_str(), reply),
            (form, expected),
            "{status} {body}"
        );
    }
    for (status, expected) in [
        (200, CloudReply::Released),
        (404, CloudReply::Indeterminate),
    ] {
        let request = CloudRequest::Release(vec!["m-1".into(), "m-2".into()]);
        let (received, reply) = execute(request, &[(status, "{}")]).await;
        let form = r#"POST /machines/return {"rigs":["m-1","m-2"]}"#;
        assert_eq!((received[0].as_str(), reply), (form, expected));
    }
}

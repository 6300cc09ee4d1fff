//! The wire format of the cloud's HTTP interface: encoding of requests, decoding of responses.
//!
//! The names that the interface uses appear only in this module and in the serde attributes of
//! the types that the interface sends.

use super::{CloudMachine, CloudRequest, MachineType};
use crate::http_client::{HttpRequest, RequestError};
use crate::ids::MachineId;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;

/// Maximum number of instances in a page of the list.
const PAGE_SIZE: usize = 500;

/// Text in the response of the cloud that refuses a scale-out for lack of instances.
const NO_CAPACITY: &[u8] = b"no capacity";

/// Reason for which a request has no response with a result.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// No response was received. The request may have been carried out, or may still be.
    #[error("no response from the cloud")]
    NoResponse(#[from] RequestError),
    /// The scale-out was not carried out and never will be. The cloud lacks instances for it, or
    /// rejected the request as malformed.
    #[error("the cloud refused the scale-out for lack of instances or as malformed")]
    NoCapacity,
    /// The status of the response does not show whether the request was carried out.
    #[error("expected status 200 from the cloud, got {0}")]
    Status(u16),
    /// The body of the response cannot be parsed.
    #[error("cannot parse the body of the cloud's response")]
    Malformed(#[from] serde_json::Error),
}

/// A response whose body is not parsed yet.
#[derive(Debug)]
pub(super) struct HttpResponse {
    pub(super) status: u16,
    pub(super) body: Bytes,
}

/// A page of the list of instances.
#[derive(Debug, Deserialize)]
pub(super) struct MachinesPage {
    #[serde(rename = "rigs")]
    pub(super) machines: Vec<CloudMachine>,
    /// Whether further pages follow.
    #[serde(rename = "more", default)]
    pub(super) has_more: bool,
}

#[derive(Deserialize)]
struct MachineTypesPage {
    #[serde(rename = "builds")]
    machine_types: Vec<MachineType>,
}

#[derive(Deserialize)]
struct ScaledOut {
    #[serde(rename = "rigs")]
    machines: Vec<MachineId>,
}

/// Returns the HTTP request for a request to the cloud. For a list, it reads the first page.
pub(crate) fn http_request(request: &CloudRequest) -> HttpRequest {
    match request {
        CloudRequest::MachineTypes => HttpRequest::get("/machine_types".into()),
        CloudRequest::Machines => list_request(None),
        CloudRequest::ScaleOut { name, record } => {
            let body = json!({"hire": name, "build": record.machine_type, "yard": record.zone,
                              "loaners": record.spot, "howMany": record.count});
            HttpRequest::post("/machines".into(), body)
        }
        CloudRequest::Release(machines) => {
            HttpRequest::post("/machines/return".into(), json!({"rigs": machines}))
        }
    }
}

/// Returns the HTTP request for the page of the list that follows the machine `last`, or for the
/// first page if `last` is `None`.
pub(super) fn list_request(last: Option<&MachineId>) -> HttpRequest {
    let since = last.map_or(String::new(), |id| format!("since={id}&"));
    HttpRequest::get(format!("/machines?{since}most={PAGE_SIZE}"))
}

/// Decodes the response to a request for the machine types.
pub(super) fn machine_types(response: &HttpResponse) -> Result<Vec<MachineType>, ResponseError> {
    let page: MachineTypesPage = response.read()?;
    Ok(page.machine_types)
}

/// Decodes a page of the list of instances.
pub(super) fn machines_page(response: &HttpResponse) -> Result<MachinesPage, ResponseError> {
    response.read()
}

/// Decodes the response to a scale-out: the machines that were created.
pub(super) fn scaled_out(response: &HttpResponse) -> Result<Vec<MachineId>, ResponseError> {
    match response.status {
        503 if contains(&response.body, NO_CAPACITY) => Err(ResponseError::NoCapacity),
        // The cloud rejected the request as malformed, so it will never be carried out.
        400 => Err(ResponseError::NoCapacity),
        _ => response.read().map(|page: ScaledOut| page.machines),
    }
}

/// Checks the response to a release. The status confirms the release; the body is not used.
pub(super) fn released(response: &HttpResponse) -> Result<(), ResponseError> {
    response.require_success()
}

impl HttpResponse {
    fn require_success(&self) -> Result<(), ResponseError> {
        match self.status {
            200 => Ok(()),
            status => Err(ResponseError::Status(status)),
        }
    }

    fn read<'a, T: Deserialize<'a>>(&'a self) -> Result<T, ResponseError> {
        self.require_success()?;
        Ok(serde_json::from_slice(&self.body)?)
    }
}

fn contains(body: &[u8], pattern: &[u8]) -> bool {
    body.windows(pattern.len()).any(|part| part == pattern)
}

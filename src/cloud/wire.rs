//! The cloud's HTTP interface: how requests are written and responses read.
//!
//! The interface's own words stand only here and in the serde attributes of the types that
//! it lists.

use super::{CloudMachine, CloudRequest, MachineType};
use crate::http_client::{HttpRequest, RequestError};
use crate::ids::MachineId;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;

/// Instances in a page of the list.
const PAGE_SIZE: usize = 500;

/// What the cloud's refusal of a scale-out for lack of instances contains.
const NO_CAPACITY: &[u8] = b"no capacity";

/// Why a response brings nothing.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// No response came: the request may have been carried out, or may still be.
    #[error("the cloud did not respond")]
    NoResponse(#[from] RequestError),
    /// The scale-out was not carried out and never will be.
    #[error("the cloud has no instance of this type, zone and kind")]
    NoCapacity,
    /// The response has a status that says nothing of the request.
    #[error("the cloud responded with status {0}")]
    Status(u16),
    /// The body is not of the expected form.
    #[error("the cloud's response is malformed")]
    Malformed(#[from] serde_json::Error),
}

/// A response as it comes off the connection.
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

/// The request in the form of the cloud's interface; of a list, its first page.
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

/// The request for the page of the list that follows this machine.
pub(super) fn list_request(last: Option<&MachineId>) -> HttpRequest {
    let since = last.map_or(String::new(), |id| format!("since={id}&"));
    HttpRequest::get(format!("/machines?{since}most={PAGE_SIZE}"))
}

/// Reads the machine types.
pub(super) fn machine_types(response: &HttpResponse) -> Result<Vec<MachineType>, ResponseError> {
    let page: MachineTypesPage = response.read()?;
    Ok(page.machine_types)
}

/// Reads a page of the list.
pub(super) fn machines_page(response: &HttpResponse) -> Result<MachinesPage, ResponseError> {
    response.read()
}

/// Reads which machines were scaled out.
pub(super) fn scaled_out(response: &HttpResponse) -> Result<Vec<MachineId>, ResponseError> {
    match response.status {
        503 if contains(&response.body, NO_CAPACITY) => Err(ResponseError::NoCapacity),
        // Malformed: it was not carried out and never will be.
        400 => Err(ResponseError::NoCapacity),
        _ => response.read().map(|page: ScaledOut| page.machines),
    }
}

/// Reads the confirmation of a release. Its body says nothing more.
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

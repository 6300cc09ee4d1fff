//! Workers that listen for direct commands and send heartbeats to the controllers.

use super::site::{SharedSite, Site, body, listen, respond};
use crate::controller::tests::simulation::SimulatedWorker;
use crate::http_client::{ConnectionPool, HttpRequest};
use crate::ids::{AttemptId, FencingToken};
use crate::workers::WorkerCommand;
use salvo::prelude::{Request, Response, Router, handler};
use serde_json::Value;
use std::time::Duration;

/// The time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// How long a worker waits for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a connection to an isolated worker tries again.
const ISOLATION_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Connections of a worker to each controller.
const CONNECTIONS: usize = 2;

/// Adds a worker in a zone that sends heartbeats to the controllers.
pub async fn add(site: &SharedSite, zone: &'static str, controllers: Vec<String>) {
    let index = {
        let mut site = site.lock();
        let (index, now) = (site.workers.len(), site.now());
        site.workers
            .push(SimulatedWorker::new(index, "small", zone, now));
        index
    };
    let handler = DirectCommand(site.clone(), index);
    let address = listen(Router::new().push(Router::with_path("do").post(handler))).await;
    site.lock().addresses.push(address);
    tokio::task::spawn_local(send_heartbeats(site.clone(), index, controllers));
}

/// Sends heartbeats to one controller after the other until one answers.
async fn send_heartbeats(site: SharedSite, worker: usize, controllers: Vec<String>) {
    let pools: Vec<ConnectionPool> = controllers
        .into_iter()
        .map(|address| ConnectionPool::new(address, CONNECTIONS))
        .collect();
    let mut controller = worker % pools.len();
    loop {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        let body = {
            let mut site = site.lock();
            if !site.is_connected(worker) {
                continue;
            }
            site.step_worker(worker);
            heartbeat_body(&mut site, worker)
        };
        let request = HttpRequest::post("/checkin".into(), body);
        match pools[controller].send(&request, HEARTBEAT_TIMEOUT).await {
            Ok((200, answer)) => {
                let answer: Value = serde_json::from_slice(&answer).unwrap_or_default();
                let mut site = site.lock();
                if site.is_connected(worker) {
                    handle_answer(&mut site, worker, &answer);
                }
            }
            _ => controller = (controller + 1) % pools.len(),
        }
    }
}

fn heartbeat_body(site: &mut Site, worker: usize) -> Value {
    let address = site.addresses[worker].clone();
    site.workers[worker].heartbeat_body(&address)
}

fn handle_answer(site: &mut Site, worker: usize, answer: &Value) {
    let token = FencingToken(answer["baton"].as_u64().unwrap_or(0));
    if token < site.workers[worker].fencing_token {
        return;
    }
    let now = site.now();
    site.workers[worker].fencing_token = token;
    site.workers[worker].last_answer_at = now;
    site.execute(worker, &read_commands(&answer["orders"]));
}

fn read_commands(commands: &Value) -> Vec<WorkerCommand> {
    let commands = commands.as_array().into_iter().flatten();
    commands.filter_map(read_command).collect()
}

fn read_command(command: &Value) -> Option<WorkerCommand> {
    let task = command["hand"].as_str()?.to_owned();
    let attempt = AttemptId(command["try"].as_u64()?);
    Some(match command["verb"].as_str()? {
        "launch" => WorkerCommand::Launch { task, attempt },
        "halt" => WorkerCommand::Stop {
            task,
            attempt,
            grace_period_s: 0.0,
        },
        _ => WorkerCommand::Reap { task, attempt },
    })
}

struct DirectCommand(SharedSite, usize);

#[handler]
impl DirectCommand {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = body(request).await;
        while self.0.lock().isolated.contains(&self.1) {
            // A connection to an isolated worker hangs.
            tokio::time::sleep(ISOLATION_POLL_INTERVAL).await;
        }
        let mut site = self.0.lock();
        site.step_worker(self.1);
        let worker = &mut site.workers[self.1];
        let token = FencingToken(body["baton"].as_u64().unwrap_or(0));
        let is_valid =
            token >= worker.fencing_token && body["shift"].as_u64() == Some(worker.agent_epoch);
        if is_valid {
            worker.fencing_token = token;
            site.execute(self.1, &read_commands(&body["orders"]));
        }
        let heartbeat = heartbeat_body(&mut site, self.1);
        respond(response, if is_valid { 200 } else { 409 }, &heartbeat);
    }
}

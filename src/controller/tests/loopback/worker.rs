//! Fake workers that listen for direct commands and send heartbeats to the controllers over
//! HTTP.

use super::environment::{Environment, SharedEnvironment, body, listen, respond};
use crate::controller::tests::simulation::SimulatedWorker;
use crate::http_client::{ConnectionPool, HttpRequest};
use crate::ids::{AttemptId, FencingToken};
use crate::workers::WorkerCommand;
use salvo::prelude::{Request, Response, Router, handler};
use serde_json::Value;
use std::time::Duration;

/// Time between two heartbeats of a worker.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time that a worker waits for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a pending direct command checks whether its worker is still isolated.
const ISOLATION_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of connections of a worker to each controller.
const CONNECTIONS: usize = 2;

/// Adds a worker to a zone. It listens on an address of its own and sends heartbeats to the
/// controllers.
pub async fn add(environment: &SharedEnvironment, zone: &'static str, controllers: Vec<String>) {
    let index = {
        let mut environment = environment.lock();
        let (index, now) = (environment.workers.len(), environment.now());
        environment
            .workers
            .push(SimulatedWorker::new(index, "small", zone, now));
        index
    };
    let handler = DirectCommand(environment.clone(), index);
    let address = listen(Router::new().push(Router::with_path("do").post(handler))).await;
    environment.lock().addresses.push(address);
    tokio::task::spawn_local(send_heartbeats(environment.clone(), index, controllers));
}

/// Sends heartbeats periodically to one controller. Switches to the next controller when a
/// heartbeat is not accepted.
async fn send_heartbeats(environment: SharedEnvironment, worker: usize, controllers: Vec<String>) {
    let pools: Vec<ConnectionPool> = controllers
        .into_iter()
        .map(|address| ConnectionPool::new(address, CONNECTIONS))
        .collect();
    let mut controller = worker % pools.len();
    loop {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        let body = {
            let mut environment = environment.lock();
            if !environment.is_connected(worker) {
                continue;
            }
            environment.step_worker(worker);
            heartbeat_body(&mut environment, worker)
        };
        let request = HttpRequest::post("/checkin".into(), body);
        match pools[controller].send(&request, HEARTBEAT_TIMEOUT).await {
            Ok((200, answer)) => {
                let answer: Value = serde_json::from_slice(&answer).unwrap_or_default();
                let mut environment = environment.lock();
                if environment.is_connected(worker) {
                    handle_answer(&mut environment, worker, &answer);
                }
            }
            _ => controller = (controller + 1) % pools.len(),
        }
    }
}

fn heartbeat_body(environment: &mut Environment, worker: usize) -> Value {
    let address = environment.addresses[worker].clone();
    environment.workers[worker].heartbeat_body(&address)
}

fn handle_answer(environment: &mut Environment, worker: usize, answer: &Value) {
    let token = FencingToken(answer["baton"].as_u64().unwrap_or(0));
    if token < environment.workers[worker].fencing_token {
        return;
    }
    let now = environment.now();
    environment.workers[worker].fencing_token = token;
    environment.workers[worker].last_answer_at = now;
    environment.execute(worker, &read_commands(&answer["orders"]));
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

struct DirectCommand(SharedEnvironment, usize);

#[handler]
impl DirectCommand {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = body(request).await;
        while self.0.lock().isolated.contains(&self.1) {
            // A direct command to an isolated worker gets no answer until the isolation ends.
            tokio::time::sleep(ISOLATION_POLL_INTERVAL).await;
        }
        let mut environment = self.0.lock();
        environment.step_worker(self.1);
        let worker = &mut environment.workers[self.1];
        let token = FencingToken(body["baton"].as_u64().unwrap_or(0));
        let is_valid =
            token >= worker.fencing_token && body["shift"].as_u64() == Some(worker.agent_epoch);
        if is_valid {
            worker.fencing_token = token;
            environment.execute(self.1, &read_commands(&body["orders"]));
        }
        let heartbeat = heartbeat_body(&mut environment, self.1);
        respond(response, if is_valid { 200 } else { 409 }, &heartbeat);
    }
}

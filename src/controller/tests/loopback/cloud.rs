//! A fake cloud that speaks the cloud's HTTP protocol. It lists and releases machines, and
//! rejects every scale-out for lack of capacity.

use super::environment::{SharedEnvironment, body, listen, respond};
use salvo::prelude::{Request, Response, Router, handler};
use serde_json::{Value, json};

/// Starts the HTTP server of the cloud and returns its address.
pub async fn serve(environment: &SharedEnvironment) -> String {
    let machines = Router::with_path("machines")
        .get(Machines(environment.clone()))
        .post(NoCapacity);
    let router = Router::new()
        .push(Router::with_path("machine_types").get(MachineTypes(environment.clone())))
        .push(machines)
        .push(Router::with_path("machines/return").post(Release(environment.clone())));
    listen(router).await
}

struct MachineTypes(SharedEnvironment);
struct Machines(SharedEnvironment);
struct NoCapacity;
struct Release(SharedEnvironment);

#[handler]
impl MachineTypes {
    async fn handle(&self, response: &mut Response) {
        let machine_types = self.0.lock().machine_types.clone();
        respond(response, 200, &json!({"builds": machine_types}));
    }
}

#[handler]
impl Machines {
    async fn handle(&self, response: &mut Response) {
        let environment = self.0.lock();
        let machines: Vec<Value> = (0..environment.workers.len())
            .filter(|index| !environment.released.contains(index))
            .map(|index| {
                let (worker, address) =
                    (&environment.workers[index], &environment.addresses[index]);
                json!({"id": worker.id, "addr": address, "build": worker.machine_type,
                       "yard": worker.zone, "loaners": false, "standing": "running",
                       "heldS": 60.0})
            })
            .collect();
        respond(response, 200, &json!({"rigs": machines, "more": false}));
    }
}

#[handler]
impl NoCapacity {
    async fn handle(&self, response: &mut Response) {
        respond(response, 503, &json!({"error": "no capacity"}));
    }
}

#[handler]
impl Release {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = body(request).await;
        let machines = body["rigs"].as_array().into_iter().flatten();
        let machines: Vec<&str> = machines.filter_map(Value::as_str).collect();
        let mut environment = self.0.lock();
        for index in 0..environment.workers.len() {
            if machines.contains(&environment.workers[index].id.as_str()) {
                environment.workers[index].tasks.clear();
                environment.released.insert(index);
            }
        }
        respond(response, 200, &json!({}));
    }
}

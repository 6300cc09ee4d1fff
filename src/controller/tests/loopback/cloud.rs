//! The cloud's HTTP protocol: it lists and releases machines, and never has capacity.

use super::site::{SharedSite, body, listen, respond};
use salvo::prelude::{Request, Response, Router, handler};
use serde_json::{Value, json};

/// Serves the cloud, and returns its address.
pub async fn serve(site: &SharedSite) -> String {
    let machines = Router::with_path("machines")
        .get(Machines(site.clone()))
        .post(NoCapacity);
    let router = Router::new()
        .push(Router::with_path("machine_types").get(MachineTypes(site.clone())))
        .push(machines)
        .push(Router::with_path("machines/return").post(Release(site.clone())));
    listen(router).await
}

struct MachineTypes(SharedSite);
struct Machines(SharedSite);
struct NoCapacity;
struct Release(SharedSite);

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
        let site = self.0.lock();
        let machines: Vec<Value> = (0..site.workers.len())
            .filter(|index| !site.released.contains(index))
            .map(|index| {
                let (worker, address) = (&site.workers[index], &site.addresses[index]);
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
        let mut site = self.0.lock();
        for index in 0..site.workers.len() {
            if machines.contains(&site.workers[index].id.as_str()) {
                site.workers[index].tasks.clear();
                site.released.insert(index);
            }
        }
        respond(response, 200, &json!({}));
    }
}

//! The simulated cloud: a catalogue of machine types, the list of rented machines, and the
//! rental and return of machines.

use crate::{
    SimState, Simulation,
    state::RentedMachine,
    transport::{Response, ok, status},
};
use serde_json::{Value, json};
use warp::http::Method;

impl Simulation {
    /// Handles a request to the cloud.
    pub fn handle_cloud_request(&self, method: &Method, path: &str, body: &[u8]) -> Response {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        if state.faults.cloud_down {
            return status(503, json!({"error": "trouble"}));
        }
        if path == "/catalog" {
            return ok(state.catalogue());
        }
        if method == Method::GET {
            return ok(state.list_machines(now));
        }
        let request: Value = serde_json::from_slice(body).unwrap();
        if path == "/machines/return" {
            return ok(state.return_machines(&request));
        }
        if !state.offers(&request["build"]) {
            return status(400, json!({"error": "no such type"}));
        }
        ok(state.rent_machines(now, &request))
    }
}

impl SimState {
    /// The available machine types.
    fn catalogue(&self) -> Value {
        let types: Vec<Value> = (1u32..)
            .zip(&self.machine_types)
            .map(|(price, name)| {
                json!({"name": name, "cores": 8, "gpus": 0, "memGb": 32,
                    "cacheGb": 20, "pullGbPerS": 10.0, "rate": f64::from(price), "lowPrice": f64::from(price) * 0.4, "readyS": 2.0, "sites": self.zones})
            })
            .collect();
        json!({"builds": types})
    }

    /// Whether the cloud offers the machine type with this name.
    fn offers(&self, machine_type: &Value) -> bool {
        let mut offered = self.machine_types.iter();
        offered.any(|name| machine_type.as_str() == Some(name))
    }

    /// The list of all rented machines.
    fn list_machines(&self, now: f64) -> Value {
        let machines: Vec<Value> = self
            .machines
            .iter()
            .map(|(name, machine)| {
                let has_booted = self.workers.contains_key(name);
                json!({"nameId": name, "endpoint": self.endpoint(name), "build": machine.machine_type, "site": machine.zone, "borrowed": false,
                    "status": if has_booted {"running"} else {"booting"}, "ageS": now - machine.rented_at})
            })
            .collect();
        json!({"benches": machines, "hasNext": false})
    }

    /// Removes returned machines, and counts the tasks that were running on them.
    fn return_machines(&mut self, request: &Value) -> Value {
        for name in request["benches"].as_array().unwrap() {
            let name = name.as_str().unwrap();
            self.machines.remove(name);
            if let Some(worker) = self.workers.remove(name) {
                let running = worker.running_tasks().count();
                self.returned_running_tasks += u32::try_from(running).unwrap();
            }
        }
        json!({"benches": []})
    }

    /// Rents machines. Requests are idempotent: a repeated request id gets the same machines.
    fn rent_machines(&mut self, now: f64, request: &Value) -> Value {
        let request_id = request["booking"].as_str().unwrap().to_string();
        self.check_rental_request(now, &request_id, request.to_string());
        if !self.rentals.contains_key(&request_id) {
            let count = request["howMany"].as_u64().unwrap();
            let machine_type = request["build"].as_str().unwrap();
            let zone = request["site"].as_str().unwrap();
            let names = (0..count)
                .map(|_| self.add_machine(now, machine_type, zone))
                .collect();
            self.rentals.insert(request_id.clone(), names);
        }
        json!({"benches": self.rentals[&request_id]})
    }

    /// Adds a machine that starts to boot now. Returns its name.
    fn add_machine(&mut self, now: f64, machine_type: &str, zone: &str) -> String {
        let name = self.next_machine_name();
        let machine = RentedMachine {
            rented_at: now,
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    /// Records a violation if a request id is reused for a different request.
    fn check_rental_request(&mut self, now: f64, request_id: &str, request: String) {
        let first_request = self.rental_requests.entry(request_id.to_string());
        if *first_request.or_insert_with(|| request.clone()) != request {
            self.violations.push(format!(
                "{now:.1}: id {request_id} is reused for a different rental request"
            ));
        }
    }
}

//! The cloud's stand-in.

use crate::{Simulation, ok};
use serde_json::{Value, json};
use warp::http::{Method, StatusCode};

impl Simulation {
    /// Answers in the cloud's stead.
    pub fn handle_cloud_request(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> (StatusCode, bytes::Bytes) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        if path == "/catalog" {
            return ok(
                json!({"builds": [{"name": "c8", "cores": 8, "gpus": 0, "memGb": 32,
                "cacheGb": 20, "pullGbPerS": 10.0, "rate": 1.0, "lowPrice": 0.4, "readyS": 2.0, "sites": state.zones}]}),
            );
        }
        if method == Method::GET {
            let list: Vec<Value> = state
                .machines
                .iter()
                .map(|(name, (at, zone))| {
                    json!({"nameId": name, "endpoint": state.endpoint(name), "build": "c8", "site": zone, "borrowed": false,
                        "status": if state.workers.contains_key(name) {"running"} else {"booting"}, "ageS": now - at})
                })
                .collect();
            return ok(json!({"benches": list, "hasNext": false}));
        }
        let request: Value = serde_json::from_slice(body).unwrap();
        if path == "/machines/return" {
            for name in request["benches"].as_array().unwrap() {
                state.machines.remove(name.as_str().unwrap());
                let gone = state.workers.remove(name.as_str().unwrap());
                let tasks = gone.iter().flat_map(|w| &w.tasks);
                let running = tasks.filter(|t| t.state == "running").count();
                state.returned_running_tasks += u32::try_from(running).unwrap();
            }
            return ok(json!({"benches": []}));
        }
        let booking = request["booking"].as_str().unwrap().to_string();
        let asked = request.to_string();
        let first = state
            .rental_requests
            .entry(booking.clone())
            .or_insert(asked.clone());
        if *first != asked {
            let text = format!("{now:.1}: booking {booking} repeats");
            state.violations.push(text);
        }
        if !state.rentals.contains_key(&booking) {
            let mut names = Vec::new();
            for _ in 0..request["howMany"].as_u64().unwrap() {
                let name = format!("host-{:06}", state.next_machine);
                state.next_machine += 1;
                let zone = request["site"].as_str().unwrap().to_string();
                state.machines.insert(name.clone(), (now, zone));
                names.push(name);
            }
            state.rentals.insert(booking.clone(), names);
        }
        ok(json!({"benches": state.rentals[&booking]}))
    }
}

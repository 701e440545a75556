//! Users' requests.

use crate::{
    http,
    json::Json,
    machines::{JobInfo, World},
};
use std::{net::SocketAddr, time::Duration};

/// A submission: of the class `transcode-batch` if a task takes much memory, else of `exam-rush`.
pub fn spec(id: &str, job: &JobInfo, expected_s: f64) -> String {
    let (class, urgency, every_s, save_s) = if job.standing {
        ("caption-service", "normal", 0.0, 0.0)
    } else if job.mem_gb >= 8.0 {
        ("transcode-batch", "normal", 15.0, 3.0)
    } else {
        ("exam-rush", "urgent", 0.0, 0.0)
    };
    format!(
        "{{\"nameId\":\"{id}\",\"workload\":\"{class}\",\"owner\":\"{}\",\"shape\":\"{}\",\"urgency\":\"{urgency}\",\"pieces\":{},\"cores\":{:?},\"gpus\":0.0,\"memGb\":{:?},\"bundle\":\"img-01\",\"pullGb\":1.0,\"builds\":null,\"site\":null,\"oneZone\":{},\"spread\":{},\"borrowed\":{},\"expectedS\":{expected_s:?},\"snapshotEveryS\":{every_s:?},\"snapshotS\":{save_s:?},\"dueS\":{:?}}}",
        job.team,
        if job.standing { "standing" } else { "array" },
        job.pieces,
        job.cores,
        job.mem_gb,
        job.one_zone,
        job.spread,
        job.borrowed,
        3.0 * expected_s + 10.0
    )
}

/// Status code, and the job's status where the answer has one.
pub type Told = Option<(u16, String)>;

fn told(world: &World, what: &str, node: usize, answer: Option<(u16, String)>) -> Told {
    let told = answer.map(|(code, body)| {
        let status = Json::parse(&body)
            .unwrap_or(Json::Null)
            .get("status")
            .str()
            .to_string();
        (code, status)
    });
    world
        .record
        .line(format!("{what} at controller {node}: {told:?}"));
    told
}

pub fn submit(world: &World, nodes: &[SocketAddr], node: usize, id: &str, body: &str) -> Told {
    let answer = http::call(nodes[node], "POST", "/work", body, Duration::from_secs(5));
    told(world, &format!("submission of {id}"), node, answer)
}

pub fn poll(world: &World, nodes: &[SocketAddr], node: usize, id: &str) -> Told {
    let answer = http::call(
        nodes[node],
        "GET",
        &format!("/work/{id}"),
        "",
        Duration::from_secs(2),
    );
    told(world, &format!("poll of {id}"), node, answer)
}

pub fn cancel(world: &World, nodes: &[SocketAddr], node: usize, id: &str) -> Told {
    let path = format!("/work/{id}/abort");
    let answer = http::call(nodes[node], "POST", &path, "", Duration::from_secs(5));
    let told = told(world, &format!("cancellation of {id}"), node, answer);
    if told
        .as_ref()
        .is_some_and(|(code, status)| *code == 200 && status == "cancelled")
        && let Some(job) = world.jobs.lock().unwrap().get_mut(id)
    {
        job.cancelled_at.get_or_insert(world.record.now());
    }
    told
}

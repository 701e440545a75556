//! The machine types that the provider offers.

use super::client;
use crate::controller::Controller;
use std::sync::Arc;
use tallygauge_protocol::cloud::Catalogue;
use warp::http::Method;

/// Reads the machine types, which every controller needs to validate submissions.
/// Returns whether they were read.
pub async fn refresh_catalogue(controller: &Controller) -> bool {
    let answer = client::call::<(), Catalogue>(controller, Method::GET, "/catalog", None).await;
    match answer {
        Ok(catalogue) if !catalogue.types.is_empty() => {
            let types = Arc::new(catalogue.types);
            controller.catalogue.set(types.clone());
            controller.with_cluster(|cluster| cluster.set_machine_types(&types));
            true
        }
        _ => false,
    }
}

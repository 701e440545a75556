//! Reading the machine types that the cloud provider offers.

use super::client;
use crate::controller::Controller;
use std::sync::Arc;
use tallygauge_protocol::cloud::Catalogue;
use warp::http::Method;

/// Reads the machine types, which every controller needs to validate job submissions.
/// Returns whether the read succeeded with at least one type.
pub async fn refresh_catalogue(controller: &Controller) -> bool {
    let response = client::call::<(), Catalogue>(controller, Method::GET, "/catalog", None).await;
    match response {
        Ok(catalogue) if !catalogue.types.is_empty() => {
            let types = Arc::new(catalogue.types);
            controller.catalogue.set(types.clone());
            controller.with_cluster(|cluster| cluster.set_machine_types(&types));
            true
        }
        _ => false,
    }
}

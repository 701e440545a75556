//! Reading the machine types that the cloud provider offers.

use super::client;
use crate::{controller::Controller, machine_types::ReadTime};
use tallygauge_protocol::cloud::Catalogue;
use warp::http::Method;

/// Reads the machine types that the cloud provider offers. Returns whether the read succeeded
/// with at least one type.
pub async fn refresh_catalogue(controller: &Controller) -> bool {
    let read_at = ReadTime {
        now: controller.now(),
        unix_time_s: controller.unix_time_s(),
    };
    let response = client::call::<(), Catalogue>(controller, Method::GET, "/catalog", None).await;
    let Ok(Catalogue { types }) = response else {
        return false;
    };
    if types.is_empty() {
        return false;
    }
    controller.catalogue.set_offered(types.clone(), read_at);
    controller.with_cluster(|cluster| cluster.set_machine_types(&types));
    controller.machine_types_changed.notify_one();
    true
}

//! The endpoint for health checks.

use super::answers::send_json;
use super::context::ApiContext;
use salvo::http::StatusCode;
use salvo::prelude::{Response, handler};
use serde_json::json;

/// Handler of `GET /up`, which reports whether users should be routed to this controller.
pub(super) struct HealthHandler(pub(super) ApiContext);

#[handler]
impl HealthHandler {
    async fn handle(&self, response: &mut Response) {
        let is_healthy = self.0.channels.view.borrow().healthy;
        let status = if is_healthy {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        send_json(response, status, &json!({"up": is_healthy}));
    }
}

//! Starts the HTTP server on its address, with its connection limit and its routes.

use super::cancellations::CancelHandler;
use super::channels::ApiChannels;
use super::connection_limiter::ConnectionLimiter;
use super::context::ApiContext;
use super::health::HealthHandler;
use super::heartbeats::HeartbeatHandler;
use super::status::StatusHandler;
use super::submissions::SubmitHandler;
use crate::clock::MonotonicClock;
use crate::settings::Settings;
use crate::settings::sockets::SocketShares;
use salvo::conn::{Listener, TcpListener};
use salvo::prelude::{Router, Server, Service};
use std::sync::Arc;

/// Failure to listen on the address for users and workers.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct ServeError(#[from] salvo::Error);

/// Listens on the address `bind` of `settings` and serves requests in a background task.
///
/// # Errors
///
/// Returns [`ServeError`] if the server cannot listen on the address.
pub async fn serve(
    settings: Arc<Settings>,
    sockets: &SocketShares,
    clock: MonotonicClock,
    channels: ApiChannels,
) -> Result<(), ServeError> {
    let address = settings.bind;
    let connection_limiter = ConnectionLimiter::new(&settings, sockets);
    let context = ApiContext {
        settings,
        clock,
        channels,
    };
    let acceptor = TcpListener::new(address).try_bind().await?;
    let server = Server::new(acceptor).fuse_policy(connection_limiter.clone());
    tokio::spawn(server.serve(Service::new(router(&context, connection_limiter))));
    Ok(())
}

fn router(context: &ApiContext, connection_limiter: ConnectionLimiter) -> Router {
    let heartbeats = HeartbeatHandler::new(context.clone(), connection_limiter);
    Router::new()
        .push(Router::with_path("v1/jobs").post(SubmitHandler(context.clone())))
        .push(Router::with_path("v1/jobs/{id}").get(StatusHandler(context.clone())))
        .push(Router::with_path("v1/jobs/{id}/abort").post(CancelHandler(context.clone())))
        .push(Router::with_path("checkin").post(heartbeats))
        .push(Router::with_path("up").get(HealthHandler(context.clone())))
}

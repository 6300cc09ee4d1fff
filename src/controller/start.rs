//! Starts a controller: its listeners, its tasks and its driver.
//!
//! It creates the channels that connect them. All channels are bounded.

use super::core::Core;
use super::driver::{Driver, PendingAnswers};
use super::messages::Input;
use super::store_tasks::{execute_store_queries, watch_store};
use crate::api;
use crate::api::channels::{
    ApiChannels, ApiView, CancelledJob, HeartbeatRequest, StatusQuery, StoreQuery,
};
use crate::clock::MonotonicClock;
use crate::cloud::client::CloudClient;
use crate::http_client::{ConnectionPool, ConnectionPools};
use crate::mesh;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::settings::sockets::{CLOUD_SOCKETS, STORE_SOCKETS, SocketShares};
use crate::store::client::KvClient;
use crate::subsystems::Subsystems;
use bytes::Bytes;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

/// Capacity of the queue of inputs to the core: replies, store changes and peers' messages.
const INPUT_QUEUE_CAPACITY: usize = 1024;
/// Capacity of the queue of workers' heartbeats.
const HEARTBEAT_QUEUE_CAPACITY: usize = 1024;
/// Capacity of the queue of users' job lookups.
const JOB_LOOKUP_QUEUE_CAPACITY: usize = 1024;
/// Capacity of the queue of the API's requests to the store.
const STORE_QUERY_QUEUE_CAPACITY: usize = 256;
/// Capacity of the queue of cancellations that the store has committed.
const CANCELLATION_QUEUE_CAPACITY: usize = 256;
/// Capacity of the queue of messages from all peers.
const PEER_MESSAGE_QUEUE_CAPACITY: usize = 64;
/// Capacity of the queue of frames to one peer. New frames are dropped while it is full.
const PEER_FRAME_QUEUE_CAPACITY: usize = 32;

/// Failure to listen on an address, because of a socket error or because the configured limits
/// leave too few sockets.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {addr}: {source}")]
pub struct ListenError {
    addr: SocketAddr,
    source: Box<dyn Error + Send + Sync>,
}

impl ListenError {
    /// Returns a function for `map_err` that adds the address to an error.
    fn on<E: Into<Box<dyn Error + Send + Sync>>>(
        addr: impl Into<SocketAddr>,
    ) -> impl FnOnce(E) -> ListenError {
        let addr = addr.into();
        move |source| ListenError {
            addr,
            source: source.into(),
        }
    }
}

/// Runs a controller until the process is killed.
///
/// # Errors
///
/// Returns an error if the controller can't listen for users and workers or for its peers, or
/// if the limits in the settings leave too few sockets for them.
pub async fn run(
    settings: Settings,
    policy: Policy,
    subsystems: Subsystems,
) -> Result<(), ListenError> {
    let clock = MonotonicClock::start();
    let sockets = settings
        .socket_shares()
        .map_err(ListenError::on(settings.bind))?;
    let store = store_client(&settings, clock);
    let cloud = cloud_client(&settings, clock);
    let (inputs, inbox) = mpsc::channel::<Input>(INPUT_QUEUE_CAPACITY);
    let (view_out, view) = watch::channel(Arc::new(ApiView::default()));
    let (channels, requests) = api_channels(view);

    listen_to_peers(&settings, &sockets, &inputs).await?;
    spawn_local(forward(
        requests.cancellations,
        inputs.clone(),
        |CancelledJob { job, revision }| Input::Cancelled { job, revision },
    ));
    let peers = dial_peers(&settings);
    spawn_local(watch_store(store.clone(), clock, inputs.clone()));
    spawn_local(execute_store_queries(store.clone(), requests.store_queries));
    api::serve(Arc::new(settings.clone()), &sockets, clock, channels)
        .await
        .map_err(ListenError::on(settings.bind))?;
    tracing::info!(label = %settings.label, bind = %settings.bind, lease_s = settings.lease().as_secs(), "controller started");

    let core = Core::new(Rc::new(settings), Rc::new(policy), clock.now());
    let driver = Driver {
        core: core.with_subsystems(&subsystems),
        clock,
        store,
        cloud,
        inputs,
        peers,
        view_out,
        workers: ConnectionPools::new(sockets.direct_commands),
        heartbeat_answers: PendingAnswers::default(),
        job_lookup_answers: PendingAnswers::default(),
    };
    driver
        .run(inbox, requests.heartbeats, requests.job_lookups)
        .await;
    Ok(())
}

/// Creates the client of the store. The store's request limits apply to all controllers
/// together, so each controller gets an equal share of them.
fn store_client(settings: &Settings, clock: MonotonicClock) -> KvClient {
    let platform = &settings.platform;
    let share = 1.0 / platform.initial_size.max(1) as f64;
    let address = settings.endpoints.state.to_string();
    let pool = Rc::new(ConnectionPool::new(address, STORE_SOCKETS));
    KvClient::new(pool, clock, &platform.state, share)
}

fn cloud_client(settings: &Settings, clock: MonotonicClock) -> Rc<CloudClient> {
    let address = settings.endpoints.cloud.to_string();
    let pool = ConnectionPool::new(address, CLOUD_SOCKETS);
    let max_requests_per_second = settings.platform.cloud.rps;
    Rc::new(CloudClient::new(pool, clock, max_requests_per_second))
}

/// Receiving ends of the channels on which the API sends requests.
struct ApiRequests {
    heartbeats: mpsc::Receiver<HeartbeatRequest>,
    job_lookups: mpsc::Receiver<StatusQuery>,
    store_queries: mpsc::Receiver<StoreQuery>,
    cancellations: mpsc::Receiver<CancelledJob>,
}

/// Creates the channels between the API and the controller and returns both sets of ends.
fn api_channels(view: watch::Receiver<Arc<ApiView>>) -> (ApiChannels, ApiRequests) {
    let (heartbeat_sender, heartbeats) = mpsc::channel(HEARTBEAT_QUEUE_CAPACITY);
    let (job_lookup_sender, job_lookups) = mpsc::channel(JOB_LOOKUP_QUEUE_CAPACITY);
    let (store_query_sender, store_queries) = mpsc::channel(STORE_QUERY_QUEUE_CAPACITY);
    let (cancellation_sender, cancellations) = mpsc::channel(CANCELLATION_QUEUE_CAPACITY);
    let channels = ApiChannels {
        view,
        store_queries: store_query_sender,
        heartbeats: heartbeat_sender,
        status_queries: job_lookup_sender,
        cancellations: cancellation_sender,
    };
    let requests = ApiRequests {
        heartbeats,
        job_lookups,
        store_queries,
        cancellations,
    };
    (channels, requests)
}

async fn listen_to_peers(
    settings: &Settings,
    sockets: &SocketShares,
    inputs: &mpsc::Sender<Input>,
) -> Result<(), ListenError> {
    let listener = TcpListener::bind(settings.mesh_addr)
        .await
        .map_err(ListenError::on(settings.mesh_addr))?;
    let (messages_out, messages) = mpsc::channel(PEER_MESSAGE_QUEUE_CAPACITY);
    spawn_local(mesh::listen(listener, sockets.peers, messages_out));
    spawn_local(forward(messages, inputs.clone(), Input::PeerMessage));
    Ok(())
}

/// Connects to all peers and returns one queue of outgoing frames for each of them.
fn dial_peers(settings: &Settings) -> Vec<mpsc::Sender<Bytes>> {
    let seeds = settings.seeds.iter();
    seeds
        .map(|seed| {
            let (frames, queue) = mpsc::channel::<Bytes>(PEER_FRAME_QUEUE_CAPACITY);
            spawn_local(mesh::dial(seed.addr, queue));
            frames
        })
        .collect()
}

/// Converts the items of a channel to inputs and passes them to the core, until either channel
/// is closed.
async fn forward<T>(
    mut from: mpsc::Receiver<T>,
    inputs: mpsc::Sender<Input>,
    to_input: impl Fn(T) -> Input,
) {
    while let Some(item) = from.recv().await {
        if inputs.send(to_input(item)).await.is_err() {
            return;
        }
    }
}

//! Starts a controller: its listeners, its tasks and its driver.

use super::core::Core;
use super::driver::{Driver, PendingAnswers};
use super::messages::Input;
use super::store_tasks::{execute_store_queries, watch_store};
use crate::api;
use crate::api::ports::{
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

/// Messages to the core that wait: replies, changes of the store, peers' messages.
const INPUT_QUEUE: usize = 1024;
/// Workers' heartbeats that wait.
const HEARTBEAT_QUEUE: usize = 1024;
/// Users' lookups of jobs that wait.
const JOB_LOOKUP_QUEUE: usize = 1024;
/// The API's requests to the store that wait.
const STORE_QUERY_QUEUE: usize = 256;
/// Confirmed cancellations that wait.
const CANCELLATION_QUEUE: usize = 256;
/// Messages of all peers that wait.
const PEER_MESSAGE_QUEUE: usize = 64;
/// Frames to one peer that wait; the newest are dropped when it is full.
const PEER_FRAME_QUEUE: usize = 32;

/// An address can't be listened on, or its limits don't allow it.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {addr}: {source}")]
pub struct ListenError {
    addr: SocketAddr,
    source: Box<dyn Error + Send + Sync>,
}

impl ListenError {
    /// For use in `map_err`.
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

/// Runs a controller until it is killed.
///
/// # Errors
///
/// If it can't listen for users and workers or for its peers, or the limits of the settings
/// leave too few sockets for that.
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
    let (inputs, inbox) = mpsc::channel::<Input>(INPUT_QUEUE);
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

/// This controller's client of the store, with its share of the budget that all have.
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

/// Where the API's requests arrive.
struct ApiRequests {
    heartbeats: mpsc::Receiver<HeartbeatRequest>,
    job_lookups: mpsc::Receiver<StatusQuery>,
    store_queries: mpsc::Receiver<StoreQuery>,
    cancellations: mpsc::Receiver<CancelledJob>,
}

/// The API's ends of its channels, and the controller's.
fn api_channels(view: watch::Receiver<Arc<ApiView>>) -> (ApiChannels, ApiRequests) {
    let (reports, heartbeats) = mpsc::channel(HEARTBEAT_QUEUE);
    let (asks, job_lookups) = mpsc::channel(JOB_LOOKUP_QUEUE);
    let (questions, store_queries) = mpsc::channel(STORE_QUERY_QUEUE);
    let (cancels, cancellations) = mpsc::channel(CANCELLATION_QUEUE);
    let channels = ApiChannels {
        view,
        store_queries: questions,
        heartbeats: reports,
        status_queries: asks,
        cancellations: cancels,
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
    let (messages_out, messages) = mpsc::channel(PEER_MESSAGE_QUEUE);
    spawn_local(mesh::listen(listener, sockets.peers, messages_out));
    spawn_local(forward(messages, inputs.clone(), Input::Mesh));
    Ok(())
}

/// Connects to all peers; frames sent to these queues go out to them.
fn dial_peers(settings: &Settings) -> Vec<mpsc::Sender<Bytes>> {
    let seeds = settings.seeds.iter();
    seeds
        .map(|seed| {
            let (frames, queue) = mpsc::channel::<Bytes>(PEER_FRAME_QUEUE);
            spawn_local(mesh::dial(seed.addr, queue));
            frames
        })
        .collect()
}

/// Passes on what arrives in a channel as the core's input.
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

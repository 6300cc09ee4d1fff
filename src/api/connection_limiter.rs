//! Admission control for connections to the address for users and workers.
//!
//! This module counts the open connections, rejects new ones above the limits, and decides when
//! workers' connections are closed instead of kept alive. Connections of users and workers must
//! never use up the sockets that the controller needs for the store, the cloud and direct
//! commands.

use crate::settings::Settings;
use crate::settings::sockets::SocketShares;
use salvo::async_trait;
use salvo::conn::ConnCtrl;
use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Idle timeout of a connection, in heartbeat intervals of a worker.
const IDLE_TIMEOUT_HEARTBEATS: f64 = 5.0;
/// Minimum idle timeout of a connection, in seconds.
const MIN_IDLE_TIMEOUT_S: f64 = 30.0;
/// Length of the windows by which unanswered connections are counted, in seconds. An unanswered
/// connection no longer counts if it was opened before the previous window. It is unlikely to
/// send a request, because its client has timed out or is paused.
const WINDOW_S: u64 = 4;

/// Admits connections up to the limits in [`SocketShares`]. Clones share their counts.
#[derive(Clone)]
pub struct ConnectionLimiter {
    /// Number of open connections.
    open: Arc<AtomicUsize>,
    /// Open connections whose first request has not been answered.
    unanswered: Arc<UnansweredConnections>,
    started_at: Instant,
    max_open: usize,
    /// Number of open connections above which workers' connections are not kept alive.
    worker_close_threshold: usize,
    max_unanswered: usize,
    config: FuseConfig,
}

/// The numbers of unanswered connections that were opened in the current and in the previous
/// window. Connections from earlier windows are not counted.
#[derive(Default)]
struct UnansweredConnections {
    current_window: AtomicU64,
    counts: [AtomicUsize; 2],
}

impl UnansweredConnections {
    fn count_of(&self, window: u64) -> &AtomicUsize {
        &self.counts[(window % 2) as usize]
    }

    /// Begins `window` if it is later than the current one, and resets the counts of windows
    /// before the previous one.
    fn begin_window(&self, window: u64) {
        let previous = self.current_window.swap(window, Ordering::Relaxed);
        let passed = window - previous.min(window);
        if passed > 0 {
            self.count_of(window).store(0, Ordering::Relaxed);
        }
        if passed > 1 {
            self.count_of(window + 1).store(0, Ordering::Relaxed);
        }
    }

    fn add(&self, window: u64) {
        self.begin_window(window);
        self.count_of(window).fetch_add(1, Ordering::Relaxed);
    }

    /// Removes a connection that was opened in the window `opened_in`, if it is still counted.
    fn remove(&self, opened_in: u64, window: u64) {
        self.begin_window(window);
        if window <= opened_in + 1 {
            self.count_of(opened_in).fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn count(&self, window: u64) -> usize {
        self.begin_window(window);
        let counts = self.counts.iter();
        counts.map(|count| count.load(Ordering::Relaxed)).sum()
    }
}

/// An open connection. Dropping it removes the connection from the counts.
struct OpenConnection {
    connection_limiter: ConnectionLimiter,
    opened_in: u64,
    is_answered: AtomicBool,
}

impl OpenConnection {
    fn record_first_answer(&self) {
        if !self.is_answered.swap(true, Ordering::Relaxed) {
            let window = self.connection_limiter.window();
            let unanswered = &self.connection_limiter.unanswered;
            unanswered.remove(self.opened_in, window);
        }
    }
}

impl ConnObserver for OpenConnection {
    fn on_write(&self, _: usize) {
        self.record_first_answer();
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.record_first_answer();
        self.connection_limiter.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionLimiter {
    /// Creates a limiter with the limits of `sockets` and without open connections.
    pub fn new(settings: &Settings, sockets: &SocketShares) -> Self {
        let heartbeat_interval_s = settings.platform.workers.heartbeat_interval_s;
        let idle_timeout_s =
            (heartbeat_interval_s * IDLE_TIMEOUT_HEARTBEATS).max(MIN_IDLE_TIMEOUT_S);
        // Machines that failed or are isolated never close their connections, and reconnect on
        // new ones. Without the idle timeout, their old sockets would stay in use.
        let idle_timeout = Duration::from_secs_f64(idle_timeout_s);
        ConnectionLimiter {
            open: Arc::default(),
            unanswered: Arc::default(),
            started_at: Instant::now(),
            max_open: sockets.max_served,
            worker_close_threshold: sockets.worker_close_threshold,
            max_unanswered: sockets.max_unanswered,
            config: FuseConfig::default()
                .with_connection_idle_timeout(idle_timeout)
                .with_write_stall_timeout(idle_timeout),
        }
    }

    /// Returns whether more connections are open than the threshold above which workers'
    /// connections are not kept alive.
    pub fn is_near_limit(&self) -> bool {
        self.open.load(Ordering::Relaxed) > self.worker_close_threshold
    }

    fn window(&self) -> u64 {
        self.started_at.elapsed().as_secs() / WINDOW_S
    }

    fn admit(&self) -> FuseAction {
        // Connections are rejected before the process runs out of sockets. Without sockets,
        // `accept` would fail and nobody would be rejected. Connections to the store, to the
        // cloud and for direct commands would fail, too.
        if self.open.load(Ordering::Relaxed) >= self.max_open {
            return FuseAction::Reject;
        }
        // Prevents a self-sustaining retry storm. If thousands of workers connect at the same
        // time, all of them would be answered after their timeout, and would connect again.
        // Therefore only as many connections are admitted as can be answered in time. Rejecting
        // a connection costs little.
        if self.unanswered.count(self.window()) >= self.max_unanswered {
            return FuseAction::Reject;
        }
        FuseAction::Accept(self.config)
    }

    fn open(&self) -> OpenConnection {
        let opened_in = self.window();
        self.open.fetch_add(1, Ordering::Relaxed);
        self.unanswered.add(opened_in);
        OpenConnection {
            connection_limiter: self.clone(),
            opened_in,
            is_answered: AtomicBool::new(false),
        }
    }
}

#[async_trait]
impl FusePolicy for ConnectionLimiter {
    async fn decide(&self, _: &FuseInfo) -> FuseAction {
        self.admit()
    }

    fn observe(&self, _: &FuseInfo, _: &ConnCtrl) -> Option<ArcConnObserver> {
        Some(Arc::new(self.open()))
    }
}

#[cfg(test)]
mod tests;

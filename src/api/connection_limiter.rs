//! Admission of connections to the address for users and workers.
//!
//! Owns how many connections are open, which new ones are rejected, and when a worker should
//! close its connection instead of keeping it alive. It must never let the connections use up
//! the sockets that the controller needs for the store, the cloud and direct commands.

use crate::settings::Settings;
use crate::settings::sockets::SocketShares;
use salvo::async_trait;
use salvo::conn::ConnCtrl;
use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A connection that is idle for so many heartbeat intervals of a worker is closed.
const IDLE_HEARTBEATS: f64 = 5.0;
/// No connection is closed for being idle before this, in seconds.
const MIN_IDLE_TIMEOUT_S: f64 = 30.0;
/// New connections are counted by windows of this length, in seconds. One from before the
/// last window that has sent no request since will hardly send one: its sender gave up, or
/// stands still.
const WINDOW_S: u64 = 4;

/// Admits connections up to a limit. Clones share their counts.
#[derive(Clone)]
pub struct ConnectionLimiter {
    open: Arc<AtomicUsize>,
    /// Of the open ones, those whose first request has no answer yet.
    pending: Arc<PendingConnections>,
    started_at: Instant,
    max_open: usize,
    /// With more open ones, workers should not keep theirs alive.
    max_open_kept_alive: usize,
    max_pending: usize,
    config: FuseConfig,
}

/// The connections that wait for their first answer, of the current window and the one
/// before it. Those of earlier windows no longer count.
#[derive(Default)]
struct PendingConnections {
    current_window: AtomicU64,
    counts: [AtomicUsize; 2],
}

impl PendingConnections {
    fn count_of(&self, window: u64) -> &AtomicUsize {
        &self.counts[(window % 2) as usize]
    }

    /// Begins a window, if it is a later one, and forgets those that are too old.
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

    /// Removes a connection that was opened in an earlier window, unless it no longer counts.
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

/// An open connection; its drop closes it.
struct OpenConnection {
    connection_limiter: ConnectionLimiter,
    opened_in: u64,
    is_answered: AtomicBool,
}

impl OpenConnection {
    fn handle_first_answer(&self) {
        if !self.is_answered.swap(true, Ordering::Relaxed) {
            let window = self.connection_limiter.window();
            let pending = &self.connection_limiter.pending;
            pending.remove(self.opened_in, window);
        }
    }
}

impl ConnObserver for OpenConnection {
    fn on_write(&self, _: usize) {
        self.handle_first_answer();
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.handle_first_answer();
        self.connection_limiter.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionLimiter {
    /// A limiter with the limits of `sockets`, without connections.
    pub fn new(settings: &Settings, sockets: &SocketShares) -> Self {
        let heartbeat_interval_s = settings.platform.workers.heartbeat_interval_s;
        let idle_timeout_s = (heartbeat_interval_s * IDLE_HEARTBEATS).max(MIN_IDLE_TIMEOUT_S);
        // Guards against sockets lost to machines that died or are isolated: they never
        // close what they had open, and come back on another connection.
        let idle_timeout = Duration::from_secs_f64(idle_timeout_s);
        ConnectionLimiter {
            open: Arc::default(),
            pending: Arc::default(),
            started_at: Instant::now(),
            max_open: sockets.max_served,
            max_open_kept_alive: sockets.worker_close_threshold,
            max_pending: sockets.max_unanswered,
            config: FuseConfig::default()
                .with_connection_idle_timeout(idle_timeout)
                .with_write_stall_timeout(idle_timeout),
        }
    }

    /// Whether so many connections are open that workers should not keep theirs alive.
    pub fn is_near_limit(&self) -> bool {
        self.open.load(Ordering::Relaxed) > self.max_open_kept_alive
    }

    fn window(&self) -> u64 {
        self.started_at.elapsed().as_secs() / WINDOW_S
    }

    fn admit(&self) -> FuseAction {
        // Guards against an accept that fails for want of a socket: the store, the
        // cloud and direct commands would fail with it, and nobody would be rejected.
        if self.open.load(Ordering::Relaxed) >= self.max_open {
            return FuseAction::Reject;
        }
        // Guards against a retry storm that feeds itself: thousands of workers that connect
        // at once would all be answered after they gave up, and connect again. As many as
        // can be answered in time are admitted; a rejection costs little.
        if self.pending.count(self.window()) >= self.max_pending {
            return FuseAction::Reject;
        }
        FuseAction::Accept(self.config)
    }

    fn open(&self) -> OpenConnection {
        let opened_in = self.window();
        self.open.fetch_add(1, Ordering::Relaxed);
        self.pending.add(opened_in);
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

//! The door to the users' and workers' address: how many connections are open, which
//! ones are refused, and when a worker is asked to come back instead of staying.

use crate::settings::Settings;
use crate::settings::sockets::SocketShares;
use salvo::async_trait;
use salvo::conn::ConnCtrl;
use salvo::fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A connection that is silent for so many reports of a worker is given up.
const SILENT_REPORTS: f64 = 5.0;
const LEAST_SILENT_S: f64 = 30.0;

#[derive(Clone)]
pub struct ConnectionLimiter {
    open: Arc<AtomicUsize>,
    /// Of them, those whose first request has no answer yet.
    fresh: Arc<PendingConnections>,
    started: Instant,
    served: usize,
    crowded: usize,
    awaited: usize,
    config: FuseConfig,
}

/// New connections are counted by spans of time. Whoever came before the last one and
/// has asked nothing since will hardly ask: its sender gave up, or stands still.
const SPAN_S: u64 = 4;

/// Connections that wait for their first answer, of this span and the one before.
#[derive(Default)]
struct PendingConnections {
    span: AtomicU64,
    counts: [AtomicUsize; 2],
}

impl PendingConnections {
    fn of(&self, span: u64) -> &AtomicUsize {
        &self.counts[(span % 2) as usize]
    }

    fn roll(&self, span: u64) {
        let passed = span - self.span.swap(span, Ordering::Relaxed).min(span);
        if passed > 0 {
            self.of(span).store(0, Ordering::Relaxed);
        }
        if passed > 1 {
            self.of(span + 1).store(0, Ordering::Relaxed);
        }
    }

    fn enter(&self, span: u64) {
        self.roll(span);
        self.of(span).fetch_add(1, Ordering::Relaxed);
    }

    fn leave(&self, entered: u64, span: u64) {
        self.roll(span);
        if span <= entered + 1 {
            self.of(entered).fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn count(&self, span: u64) -> usize {
        self.roll(span);
        let of = |c: &AtomicUsize| c.load(Ordering::Relaxed);
        self.counts.iter().map(of).sum()
    }
}

/// A connection's place, free again when the connection is.
struct Place {
    connection_limiter: ConnectionLimiter,
    entered: u64,
    answered: AtomicBool,
}

impl Place {
    fn first_answer(&self) {
        if !self.answered.swap(true, Ordering::Relaxed) {
            self.connection_limiter
                .fresh
                .leave(self.entered, self.connection_limiter.span());
        }
    }
}

impl ConnObserver for Place {
    fn on_write(&self, _: usize) {
        self.first_answer();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.first_answer();
        self.connection_limiter.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionLimiter {
    pub fn new(settings: &Settings, sockets: &SocketShares) -> Self {
        let silent_s =
            (settings.platform.workers.heartbeat_interval_s * SILENT_REPORTS).max(LEAST_SILENT_S);
        // Guards against sockets lost to machines that died or are behind a cut: they
        // never close what they had open, and come back on another connection.
        let silent = Duration::from_secs_f64(silent_s);
        ConnectionLimiter {
            open: Arc::default(),
            fresh: Arc::default(),
            started: Instant::now(),
            awaited: sockets.max_unanswered,
            served: sockets.max_served,
            crowded: sockets.worker_close_threshold,
            config: FuseConfig::default()
                .with_connection_idle_timeout(silent)
                .with_write_stall_timeout(silent),
        }
    }

    /// Whether workers should not keep their connections.
    pub fn crowded(&self) -> bool {
        self.open.load(Ordering::Relaxed) > self.crowded
    }

    fn span(&self) -> u64 {
        self.started.elapsed().as_secs() / SPAN_S
    }

    fn admit(&self) -> FuseAction {
        // Guards against an accept that fails for want of a socket: the store, the
        // cloud and direct commands would fail with it, and nobody would be refused.
        if self.open.load(Ordering::Relaxed) >= self.served {
            return FuseAction::Reject;
        }
        // Guards against a storm that feeds itself: thousands of workers that come at
        // once would all be answered after they gave up, and come again. So many as
        // can be answered in time get in; a refusal costs little.
        if self.fresh.count(self.span()) >= self.awaited {
            return FuseAction::Reject;
        }
        FuseAction::Accept(self.config)
    }

    fn place(&self) -> Place {
        let entered = self.span();
        self.open.fetch_add(1, Ordering::Relaxed);
        self.fresh.enter(entered);
        Place {
            connection_limiter: self.clone(),
            entered,
            answered: AtomicBool::new(false),
        }
    }
}

#[async_trait]
impl FusePolicy for ConnectionLimiter {
    async fn decide(&self, _: &FuseInfo) -> FuseAction {
        self.admit()
    }

    fn observe(&self, _: &FuseInfo, _: &ConnCtrl) -> Option<ArcConnObserver> {
        Some(Arc::new(self.place()))
    }
}

#[cfg(test)]
mod tests;

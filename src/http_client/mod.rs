//! Kept, bounded HTTP/1.1 connections to one address, with a deadline on every wait.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Surely not carried out.
    NotSent,
    /// It may have been carried out, or may still be.
    NoAnswer,
}

/// One request to a service.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpRequest {
    /// The method.
    pub method: &'static str,
    /// The path with its query.
    pub path: String,
    /// The JSON body, if it has one.
    pub body: Option<serde_json::Value>,
}

impl HttpRequest {
    /// A `GET` request.
    pub fn get(path: String) -> Self {
        HttpRequest {
            method: "GET",
            path,
            body: None,
        }
    }

    /// A `POST` request with a JSON body.
    pub fn post(path: String, body: serde_json::Value) -> Self {
        HttpRequest {
            method: "POST",
            path,
            body: Some(body),
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// Kept connections to one address.
pub struct Pool {
    addr: String,
    idle: RefCell<Vec<Sender>>,
    open: Rc<Cell<usize>>,
    most: usize,
}

const CONNECT: Duration = Duration::from_millis(1_000);

impl Pool {
    /// A pool of at most `most` connections.
    pub fn new(addr: String, most: usize) -> Self {
        Pool {
            addr,
            idle: RefCell::default(),
            open: Rc::default(),
            most,
        }
    }

    async fn connect(&self, until: Instant) -> Option<Sender> {
        if self.open.get() >= self.most {
            return None;
        }
        let until = until.min(Instant::now() + CONNECT);
        // A connection attempt that was given up does not complete later.
        let stream = timeout_at(until, TcpStream::connect(&self.addr))
            .await
            .ok()?
            .ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, conn) = timeout_at(until, http1::handshake(TokioIo::new(stream)))
            .await
            .ok()?
            .ok()?;
        let open = self.open.clone();
        open.set(open.get() + 1);
        tokio::task::spawn_local(async move {
            let _ = conn.await;
            open.set(open.get() - 1);
        });
        Some(sender)
    }

    /// Sends one request and waits for its answer, for `within` at most.
    pub async fn send(
        &self,
        request: &HttpRequest,
        within: Duration,
    ) -> Result<(u16, Bytes), Failure> {
        let until = Instant::now() + within;
        let body = request.body.as_ref();
        let bytes = body.map_or_else(Bytes::new, |json| Bytes::from(json.to_string()));
        let mut request = hyper::Request::builder()
            .method(request.method)
            .uri(&request.path)
            .header("host", &self.addr)
            .header("content-type", "application/json")
            .body(Full::new(bytes))
            .map_err(|_| Failure::NotSent)?;
        loop {
            let kept = self.idle.borrow_mut().pop();
            let fresh = kept.is_none();
            let mut sender = match kept {
                Some(s) => s,
                None => self.connect(until).await.ok_or(Failure::NotSent)?,
            };
            if sender.is_closed() {
                continue;
            }
            match timeout_at(until, sender.ready()).await {
                Ok(Ok(())) => {}
                _ if fresh => return Err(Failure::NotSent),
                _ => continue,
            }
            // Guards against a standstill while connecting: what comes after it is ready
            // at once, however late, and a deadline alone would let it pass.
            if Instant::now() >= until {
                return Err(Failure::NotSent);
            }
            let answer = match timeout_at(until, sender.try_send_request(request)).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(mut e)) => match e.take_message() {
                    // A kept connection was closed before anything went out on it.
                    Some(back) if !fresh => {
                        request = back;
                        continue;
                    }
                    Some(_) => return Err(Failure::NotSent),
                    None => return Err(Failure::NoAnswer),
                },
                Err(_) => return Err(Failure::NoAnswer),
            };
            let status = answer.status().as_u16();
            let whole = timeout_at(until, answer.into_body().collect()).await;
            let body = whole
                .map_err(|_| Failure::NoAnswer)?
                .map_err(|_| Failure::NoAnswer)?
                .to_bytes();
            if !sender.is_closed() {
                self.idle.borrow_mut().push(sender);
            }
            return Ok((status, body));
        }
    }
}

/// Kept connections to many addresses, so that a direct command costs no new one. In two
/// generations: whoever was not spoken to since the younger one began goes first.
pub struct Pools {
    most: usize,
    young: BTreeMap<String, Rc<Pool>>,
    old: BTreeMap<String, Rc<Pool>>,
}

impl Pools {
    /// Pools of at most `most` addresses.
    pub fn new(most: usize) -> Self {
        Pools {
            most,
            young: BTreeMap::new(),
            old: BTreeMap::new(),
        }
    }

    /// The pool of an address.
    pub fn to(&mut self, addr: &str) -> Rc<Pool> {
        if let Some(pool) = self.young.get(addr) {
            return pool.clone();
        }
        if self.young.len() >= self.most / 2 {
            // Guards against a socket kept for each of thousands of machines. Open
            // calls go on; what is idle is closed.
            self.old = std::mem::take(&mut self.young);
        }
        let pool = self
            .old
            .remove(addr)
            .unwrap_or_else(|| Rc::new(Pool::new(addr.to_owned(), 2)));
        self.young.insert(addr.to_owned(), pool.clone());
        pool
    }
}

#[cfg(test)]
mod tests;

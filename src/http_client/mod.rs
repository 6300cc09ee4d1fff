//! An HTTP/1.1 client with bounded pools of persistent connections and a deadline on every wait.
//!
//! This module owns the connections, and reports for each failed request whether it may have
//! been carried out. It never retries a request of which any part may have been sent. Requests
//! are opaque here: their meaning belongs to the callers.

mod pools;

pub use pools::ConnectionPools;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Timeout for establishing a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The reason why a request has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request was not carried out, because no part of it was sent.
    #[error("the request was not sent")]
    NotSent,
    /// At least part of the request may have been sent, and there is no complete response. The
    /// request may have been carried out, or may still be.
    #[error("the request was sent, but has no response")]
    NoAnswer,
}

/// An HTTP request to a service.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpRequest {
    /// The HTTP method.
    pub method: &'static str,
    /// The path, with the query if there is one.
    pub path: String,
    /// The JSON body; `None` for an empty body.
    pub body: Option<serde_json::Value>,
}

impl HttpRequest {
    /// Creates a `GET` request.
    pub fn get(path: String) -> Self {
        HttpRequest {
            method: "GET",
            path,
            body: None,
        }
    }

    /// Creates a `POST` request with a JSON body.
    pub fn post(path: String, body: serde_json::Value) -> Self {
        HttpRequest {
            method: "POST",
            path,
            body: Some(body),
        }
    }

    /// Converts the request to a `hyper` request to this address. Returns `None` if the method, the
    /// path or the address is not valid in HTTP.
    fn to_hyper(&self, addr: &str) -> Option<Request<Full<Bytes>>> {
        let body = self.body.as_ref();
        let bytes = body.map_or_else(Bytes::new, |json| Bytes::from(json.to_string()));
        Request::builder()
            .method(self.method)
            .uri(&self.path)
            .header("host", addr)
            .header("content-type", "application/json")
            .body(Full::new(bytes))
            .ok()
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// A connection that is ready for a request.
struct Connection {
    sender: Sender,
    /// Whether the connection comes from the pool. The server may have closed such a connection
    /// since its last request.
    is_reused: bool,
}

/// The outcome of passing a request to a connection.
enum Exchange {
    /// The response, whose body has not been read yet.
    Response(Response<Incoming>),
    /// The pooled connection was closed before any part of this request was sent.
    Unsent(Request<Full<Bytes>>),
}

/// A bounded pool of persistent connections to one address.
pub struct ConnectionPool {
    addr: String,
    idle: RefCell<Vec<Sender>>,
    open_connections: Rc<Cell<usize>>,
    max_connections: usize,
}

impl ConnectionPool {
    /// Creates a pool of at most `max_connections` connections to an address. Connections are
    /// opened on demand.
    pub fn new(addr: String, max_connections: usize) -> Self {
        ConnectionPool {
            addr,
            idle: RefCell::default(),
            open_connections: Rc::default(),
            max_connections,
        }
    }

    /// Sends a request and returns the status and the body of the response. The timeout `within`
    /// covers the connection, the request and the response.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError::NotSent`] if no part of the request was sent, for example because
    /// all connections were in use or none could be opened in time. Returns
    /// [`RequestError::NoAnswer`] if the request may have been carried out.
    pub async fn send(
        &self,
        request: &HttpRequest,
        within: Duration,
    ) -> Result<(u16, Bytes), RequestError> {
        let deadline = Instant::now() + within;
        let mut request = request.to_hyper(&self.addr).ok_or(RequestError::NotSent)?;
        loop {
            let mut connection = self.ready_connection(deadline).await?;
            // The deadline is checked again because the process may have paused while connecting.
            // A timeout does not fire if the awaited connection is ready when it is polled, however
            // late that is.
            if Instant::now() >= deadline {
                return Err(RequestError::NotSent);
            }
            match connection.exchange(request, deadline).await? {
                Exchange::Unsent(unsent) => request = unsent,
                Exchange::Response(response) => {
                    let status = response.status().as_u16();
                    let body = read_body(response, deadline).await?;
                    self.return_to_pool(connection.sender);
                    return Ok((status, body));
                }
            }
        }
    }

    /// Returns an open connection from the pool, or a new one if there is none.
    async fn ready_connection(&self, deadline: Instant) -> Result<Connection, RequestError> {
        loop {
            let pooled = self.idle.borrow_mut().pop();
            let is_reused = pooled.is_some();
            let mut sender = match pooled {
                Some(sender) => sender,
                None => self.connect(deadline).await.ok_or(RequestError::NotSent)?,
            };
            if sender.is_closed() {
                continue;
            }
            match timeout_at(deadline, sender.ready()).await {
                Ok(Ok(())) => return Ok(Connection { sender, is_reused }),
                _ if is_reused => {}
                _ => return Err(RequestError::NotSent),
            }
        }
    }

    async fn connect(&self, deadline: Instant) -> Option<Sender> {
        if self.open_connections.get() >= self.max_connections {
            return None;
        }
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        // A connection attempt that timed out is cancelled and does not complete later.
        let stream = timeout_at(deadline, TcpStream::connect(&self.addr))
            .await
            .ok()?
            .ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = timeout_at(deadline, http1::handshake(TokioIo::new(stream)))
            .await
            .ok()?
            .ok()?;
        let open_connections = self.open_connections.clone();
        open_connections.set(open_connections.get() + 1);
        tokio::task::spawn_local(async move {
            let _ = connection.await;
            open_connections.set(open_connections.get() - 1);
        });
        Some(sender)
    }

    /// Returns a connection to the pool, unless it is closed.
    fn return_to_pool(&self, sender: Sender) {
        if !sender.is_closed() {
            self.idle.borrow_mut().push(sender);
        }
    }
}

impl Connection {
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Exchange, RequestError> {
        match timeout_at(deadline, self.sender.try_send_request(request)).await {
            Ok(Ok(response)) => Ok(Exchange::Response(response)),
            Ok(Err(mut error)) => match error.take_message() {
                Some(unsent) if self.is_reused => Ok(Exchange::Unsent(unsent)),
                Some(_) => Err(RequestError::NotSent),
                None => Err(RequestError::NoAnswer),
            },
            Err(_) => Err(RequestError::NoAnswer),
        }
    }
}

async fn read_body(response: Response<Incoming>, deadline: Instant) -> Result<Bytes, RequestError> {
    let body = timeout_at(deadline, response.into_body().collect()).await;
    match body {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) | Err(_) => Err(RequestError::NoAnswer),
    }
}

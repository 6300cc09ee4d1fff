//! HTTP/1.1 requests over kept, bounded connections, with a deadline on every wait.
//!
//! It owns the connections and says of each failed request whether it can have been carried
//! out. It never retries a request that may have left the process, and it knows nothing of
//! what the requests mean.

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

/// A new connection that is not established after this is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why a request has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// It was surely not carried out: nothing of it left the process.
    #[error("the request was not sent")]
    NotSent,
    /// It may have been carried out, or may still be.
    #[error("the request was sent, but has no response")]
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

    /// The request as it goes out to an address; none if it is no valid HTTP request.
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

/// A connection that can take a request now.
struct Connection {
    sender: Sender,
    /// It has carried a request before, so the other side may have closed it meanwhile.
    is_reused: bool,
}

/// What came of handing a request to a connection.
enum Exchange {
    /// The head of its response.
    Response(Response<Incoming>),
    /// The kept connection was closed before anything of the request went out on it.
    Unsent(Request<Full<Bytes>>),
}

/// Kept connections to one address.
pub struct ConnectionPool {
    addr: String,
    idle: RefCell<Vec<Sender>>,
    open_connections: Rc<Cell<usize>>,
    max_connections: usize,
}

impl ConnectionPool {
    /// A pool of at most `max_connections` connections to an address; it opens none yet.
    pub fn new(addr: String, max_connections: usize) -> Self {
        ConnectionPool {
            addr,
            idle: RefCell::default(),
            open_connections: Rc::default(),
            max_connections,
        }
    }

    /// Sends one request and waits for the status and the body of its response, for
    /// `within` at most.
    ///
    /// # Errors
    ///
    /// [`RequestError::NotSent`] if nothing of it left the process: no connection was free
    /// or could be opened in time. [`RequestError::NoAnswer`] if it may have been carried out.
    pub async fn send(
        &self,
        request: &HttpRequest,
        within: Duration,
    ) -> Result<(u16, Bytes), RequestError> {
        let deadline = Instant::now() + within;
        let mut request = request.to_hyper(&self.addr).ok_or(RequestError::NotSent)?;
        loop {
            let mut connection = self.ready_connection(deadline).await?;
            // Guards against a pause of the process while connecting: what comes after it is ready
            // at once, however late, and a deadline alone would let it pass.
            if Instant::now() >= deadline {
                return Err(RequestError::NotSent);
            }
            match connection.exchange(request, deadline).await? {
                Exchange::Unsent(unsent) => request = unsent,
                Exchange::Response(response) => {
                    let status = response.status().as_u16();
                    let body = read_body(response, deadline).await?;
                    self.keep(connection.sender);
                    return Ok((status, body));
                }
            }
        }
    }

    /// A kept connection that is still open, or a new one.
    async fn ready_connection(&self, deadline: Instant) -> Result<Connection, RequestError> {
        loop {
            let kept = self.idle.borrow_mut().pop();
            let is_reused = kept.is_some();
            let mut sender = match kept {
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
        // A connection attempt that was given up does not complete later.
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

    /// Keeps a connection for the next request, unless the other side has closed it.
    fn keep(&self, sender: Sender) {
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

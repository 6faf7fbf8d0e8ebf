//! Small HTTP/1.1 client with a connection pool for one address.

use {
    async_io::Async,
    async_std::{
        future, io,
        net::{SocketAddr, TcpStream},
        task::{Context, Poll},
    },
    derive_more::{Display, Error},
    futures::{FutureExt, future::poll_fn},
    http_types::{Method, Request, Response, Url},
    parking_lot::Mutex,
    shallotdeal::{
        framed::Framed,
        response::{self, ResponseError},
    },
    smol_str::{SmolStr, ToSmolStr},
    socket2::{Domain, Socket, Type},
    std::{net::Ipv4Addr, pin::pin, time::Duration},
};

/// Limit of idle connections kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 512;

/// Largest body of an answer.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Error of a request without a complete answer.
#[derive(Debug, Clone)]
#[derive(Display, Error)]
pub enum ClientError {
    /// The connection failed; nothing was sent.
    #[display("connect to {peer}: {detail}")]
    Connect {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        detail: SmolStr,
    },
    /// The connection broke; the request may have been sent.
    #[display("exchange with {peer}: {detail}")]
    Broken {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        detail: SmolStr,
    },
    /// The body was shorter than announced.
    #[display("answer of {peer} has {got_bytes} of {want_bytes} bytes")]
    Cut {
        /// Address of the peer.
        peer: SocketAddr,
        /// Body length in the answer's head.
        want_bytes: usize,
        /// Length received.
        got_bytes: usize,
    },
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Head of the answer.
    pub head: Response,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// First value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }
}

/// Client for one address.
#[derive(Debug)]
pub struct Client {
    peer: SocketAddr,
    source: Option<Ipv4Addr>,
    idle: Mutex<Vec<TcpStream>>,
}

impl Client {
    /// Creates a client that connects on first use.
    pub fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            source: None,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sets the source IP address, by which the peer identifies the caller.
    #[must_use]
    pub fn from_source(mut self, source: Ipv4Addr) -> Self {
        self.source = Some(source);
        self
    }

    /// Address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Builds a request to this address; `path` begins with a slash.
    pub fn request(&self, method: Method, path: &str) -> Request {
        let text = format!("http://{}{path}", self.peer);
        let url = Url::parse(&text).unwrap_or_else(|_| fallback_url());
        Request::new(method, url)
    }

    /// Sends a request and reads the whole answer. Dropping the future closes the connection.
    pub async fn send(&self, request: Request) -> Result<Answer, ClientError> {
        let framed = Framed::new(self.connection().await?);
        let broken = |error: ResponseError| match error {
            ResponseError::Cut {
                expected_bytes,
                found_bytes,
            } => ClientError::Cut {
                peer: self.peer,
                want_bytes: expected_bytes,
                got_bytes: found_bytes,
            },
            error => ClientError::Broken {
                peer: self.peer,
                detail: error.to_smolstr(),
            },
        };
        let is_head = request.method() == Method::Head;
        let mut head = response::send(&framed, request).await.map_err(broken)?;
        let body = response::read_body(&framed, &mut head, is_head, MAX_BODY_BYTES)
            .await
            .map_err(broken)?;
        if response::is_reusable(&framed, &head) {
            self.return_to_pool(framed.stream().clone());
        }
        Ok(Answer {
            status: head.status().into(),
            head,
            body,
        })
    }

    /// Sends a request; returns `None` if there is no answer within `wait`.
    pub async fn send_within(
        &self,
        request: Request,
        wait: Duration,
    ) -> Option<Result<Answer, ClientError>> {
        future::timeout(wait, self.send(request)).await.ok()
    }

    /// Opens connections in advance and adds them to the pool.
    pub async fn open_connections(&self, count: usize) {
        let mut opened = Vec::new();
        for _ in 0..count {
            opened.extend(self.connect().await.ok());
        }
        self.idle.lock().extend(opened);
    }

    /// Number of idle connections in the pool.
    pub fn idle_connections(&self) -> usize {
        self.idle.lock().len()
    }

    async fn connection(&self) -> Result<TcpStream, ClientError> {
        loop {
            let Some(stream) = self.idle.lock().pop() else {
                return self.connect().await;
            };
            if is_reusable(&stream).await {
                return Ok(stream);
            }
        }
    }

    async fn connect(&self) -> Result<TcpStream, ClientError> {
        let connected = match self.source {
            Some(source) => connect_from(source, self.peer).await,
            None => TcpStream::connect(self.peer).await,
        };
        let stream = connected.map_err(|error| ClientError::Connect {
            peer: self.peer,
            detail: error.to_smolstr(),
        })?;
        stream.set_nodelay(true).ok();
        Ok(stream)
    }

    fn return_to_pool(&self, stream: TcpStream) {
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(stream);
        }
    }
}

fn fallback_url() -> Url {
    Url::parse("http://127.0.0.1/").expect("a constant address")
}

/// Returns whether an idle connection is still open and has no unread data.
async fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let mut peek = pin!(stream.peek(&mut byte));
    poll_fn(|context: &mut Context<'_>| Poll::Ready(peek.poll_unpin(context).is_pending())).await
}

async fn connect_from(source: Ipv4Addr, peer: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::from((source, 0)).into())?;
    // A non-blocking connect returns an error while it is in progress; its result is checked below.
    let _ = socket.connect(&peer.into());
    let stream = Async::new(std::net::TcpStream::from(socket))?;
    stream.writable().await?;
    if let Some(error) = stream.get_ref().take_error()? {
        return Err(error);
    }
    stream.get_ref().peer_addr()?;
    Ok(stream.into_inner()?.into())
}

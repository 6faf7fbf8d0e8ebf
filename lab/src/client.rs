//! Small HTTP/1.1 client with a pool of connections to one address.

use {
    async_std::{
        future,
        net::{SocketAddr, TcpStream},
        task::{Context, Poll},
    },
    derive_more::{Display, Error},
    futures::{FutureExt, future::poll_fn},
    http_types::{Method, Request, Response, Url},
    parking_lot::Mutex,
    smol_str::{SmolStr, ToSmolStr},
    std::{pin::pin, time::Duration},
};

/// Connections kept for reuse.
const IDLE_LIMIT: usize = 512;

/// Why no answer came.
#[derive(Debug, Clone, Display, Error)]
pub enum ClientError {
    /// Nothing was sent.
    #[display("connect to {peer}: {detail}")]
    Connect {
        /// Address of the other side.
        peer: SocketAddr,
        /// Cause.
        detail: SmolStr,
    },
    /// The request may have been sent.
    #[display("exchange with {peer}: {detail}")]
    Broken {
        /// Address of the other side.
        peer: SocketAddr,
        /// Cause.
        detail: SmolStr,
    },
    /// The answer ended early.
    #[display("answer of {peer} has {got_bytes} of {want_bytes} bytes")]
    Cut {
        /// Address of the other side.
        peer: SocketAddr,
        /// Bytes announced.
        want_bytes: usize,
        /// Bytes received.
        got_bytes: usize,
    },
}

/// A whole answer.
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

/// Client of one address.
#[derive(Debug)]
pub struct Client {
    peer: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
}

impl Client {
    /// Creates a client that connects when it is first used.
    pub fn new(peer: SocketAddr) -> Self {
        Self {
            peer,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Address of the other side.
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
        let stream = self.connection().await?;
        let broken = |error: http_types::Error| ClientError::Broken {
            peer: self.peer,
            detail: error.to_smolstr(),
        };
        let mut head = async_h1::connect(stream.clone(), request)
            .await
            .map_err(broken)?;
        let want_bytes = head.len();
        let body = head.body_bytes().await.map_err(broken)?;
        if let Some(want_bytes) = want_bytes
            && body.len() != want_bytes
        {
            return Err(ClientError::Cut {
                peer: self.peer,
                want_bytes,
                got_bytes: body.len(),
            });
        }
        self.keep(stream, &head);
        Ok(Answer {
            status: head.status().into(),
            head,
            body,
        })
    }

    /// Sends a request and gives up after `wait`.
    pub async fn send_within(
        &self,
        request: Request,
        wait: Duration,
    ) -> Option<Result<Answer, ClientError>> {
        future::timeout(wait, self.send(request)).await.ok()
    }

    /// Opens connections ahead of use.
    pub async fn warm(&self, count: usize) {
        let mut fresh = Vec::new();
        for _ in 0..count {
            fresh.extend(self.connect().await.ok());
        }
        self.idle.lock().extend(fresh);
    }

    async fn connection(&self) -> Result<TcpStream, ClientError> {
        loop {
            let Some(stream) = self.idle.lock().pop() else {
                return self.connect().await;
            };
            if is_quiet(&stream).await {
                return Ok(stream);
            }
        }
    }

    async fn connect(&self) -> Result<TcpStream, ClientError> {
        let stream = TcpStream::connect(self.peer)
            .await
            .map_err(|error| ClientError::Connect {
                peer: self.peer,
                detail: error.to_smolstr(),
            })?;
        stream.set_nodelay(true).ok();
        Ok(stream)
    }

    fn keep(&self, stream: TcpStream, head: &Response) {
        let closes = head
            .header("connection")
            .is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"));
        let mut idle = self.idle.lock();
        if !closes && idle.len() < IDLE_LIMIT {
            idle.push(stream);
        }
    }
}

fn fallback_url() -> Url {
    Url::parse("http://127.0.0.1/").expect("a constant address")
}

/// Tells whether a connection in the pool is open and has nothing to read.
async fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let mut peek = pin!(stream.peek(&mut byte));
    poll_fn(|context: &mut Context<'_>| Poll::Ready(peek.poll_unpin(context).is_pending())).await
}

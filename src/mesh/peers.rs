//! Connections opened by other daemons: receives calls and sends replies.

use {
    crate::{
        collections::HashMap,
        mesh::{
            Mesh,
            conn::{self, Conn},
            frame::{self, Call, CallNumber, Extensions, Frame, Message},
            link::Outbox,
            runtime::spawn,
            work,
        },
    },
    async_executor::Task,
    futures::future::select,
    std::{cell::RefCell, io, net::SocketAddr, pin::pin, rc::Rc},
    tokio::net::TcpStream,
};

/// Running calls of one connection.
type RunningCalls = Rc<RefCell<HashMap<CallNumber, Task<()>>>>;

/// Accepts connections from other daemons until the listener fails.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn listen(mesh: Rc<Mesh>, addr: SocketAddr) -> io::Result<()> {
    conn::serve_connections("calls", addr, &mesh.metrics, |stream, peer| {
        serve(Rc::clone(&mesh), stream, peer)
    })
    .await
}

async fn serve(mesh: Rc<Mesh>, stream: TcpStream, peer: SocketAddr) {
    let mut conn = match Conn::new(stream) {
        Ok(conn) => conn,
        Err(error) => {
            tracing::debug!(%peer, %error, "peer connection lost");
            return;
        }
    };
    let io = conn.io();
    let outbox = Rc::new(Outbox::default());
    mesh.add_inbound(&outbox);
    let calls = RunningCalls::default();
    let reading = pin!(read(&mesh, &mut conn, &outbox, &calls, peer));
    let writing = pin!(outbox.run(&io));
    // The connection has ended in either case; dropping the calls cancels them at the worker.
    select(reading, writing).await;
    let unfinished = std::mem::take(&mut *calls.borrow_mut());
    drop(unfinished);
}

async fn read(
    mesh: &Rc<Mesh>,
    conn: &mut Conn,
    outbox: &Rc<Outbox>,
    calls: &RunningCalls,
    peer: SocketAddr,
) {
    loop {
        let Frame {
            message,
            extensions,
            payload,
        } = match frame::read(conn).await {
            Ok(frame) => frame,
            Err(error) => {
                tracing::debug!(%peer, %error, "peer connection ended");
                return;
            }
        };
        match message {
            Message::Call(number, call) => {
                let received = ReceivedCall {
                    number,
                    call,
                    extensions,
                    payload,
                };
                start_call(mesh, outbox, calls, received);
            }
            Message::Cancel(number) => {
                let task = calls.borrow_mut().remove(&number);
                drop(task);
            }
            other => mesh.handle_message(other, &payload, outbox),
        }
    }
}

/// Call of another daemon.
struct ReceivedCall {
    number: CallNumber,
    call: Call,
    extensions: Extensions,
    payload: Vec<u8>,
}

fn start_call(mesh: &Rc<Mesh>, outbox: &Rc<Outbox>, calls: &RunningCalls, received: ReceivedCall) {
    let ReceivedCall {
        number,
        call,
        extensions,
        payload,
    } = received;
    let mesh = Rc::clone(mesh);
    let outbox = Rc::clone(outbox);
    let own_calls = Rc::clone(calls);
    let task = spawn(async move {
        let (reply, payload) = if extensions.organisation_checked {
            work::serve(&mesh, &call, &payload).await
        } else {
            work::serve_unchecked(&mesh, call, payload).await
        };
        outbox.push(&Message::Reply(number, reply), &[&payload]);
        let finished = own_calls.borrow_mut().remove(&number);
        if let Some(finished) = finished {
            finished.detach();
        }
    });
    calls.borrow_mut().insert(number, task);
}

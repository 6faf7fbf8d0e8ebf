//! Keep-alive between the stand-in backend server and the daemon on its VM.

use {
    crate::{
        client::Client,
        wire::{Announcement, AnnouncementAnswer, WORKER},
    },
    async_std::task,
    http_types::{Method, Request},
    std::{net::SocketAddr, process, time::Duration},
};

const INTERVAL: Duration = Duration::from_secs(1);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const ANSWER_WAIT: Duration = Duration::from_secs(1);

/// Announces the backend server for ever; ends the process when the daemon releases it.
pub(super) async fn announce(daemon: SocketAddr, announcement: Announcement) {
    let client = Client::new(daemon);
    loop {
        let wait = match exchange(&client, &announcement).await {
            Some(answer) if answer.stop => process::exit(0),
            Some(_) => INTERVAL,
            None => RETRY_INTERVAL,
        };
        task::sleep(wait).await;
    }
}

/// Tells the daemon that the backend server wants to leave.
pub(super) async fn leave(daemon: SocketAddr) -> bool {
    let client = Client::new(daemon);
    let request = client.request(Method::Delete, WORKER);
    matches!(client.send_within(request, ANSWER_WAIT).await, Some(Ok(answer)) if answer.status < 300)
}

/// Announces the backend server once.
pub(crate) async fn exchange(
    client: &Client,
    announcement: &Announcement,
) -> Option<AnnouncementAnswer> {
    let mut request: Request = client.request(Method::Put, WORKER);
    request.set_body(http_types::Body::from_json(announcement).ok()?);
    let answer = client.send_within(request, ANSWER_WAIT).await?.ok()?;
    if answer.status >= 300 {
        return None;
    }
    Some(serde_json::from_slice(&answer.body).unwrap_or_default())
}

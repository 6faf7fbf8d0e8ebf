//! Announcements of the stand-in backend server to the daemon on its VM.

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
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Announces the backend server periodically; exits the process when the daemon requests a stop.
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

/// Asks the daemon to take the backend server out of service; returns whether it accepted.
pub(super) async fn leave(daemon: SocketAddr) -> bool {
    let client = Client::new(daemon);
    let request = client.request(Method::Delete, WORKER);
    matches!(client.send_within(request, ANSWER_TIMEOUT).await, Some(Ok(answer)) if answer.status < 300)
}

/// Sends one announcement; returns `None` if it was not accepted.
pub(crate) async fn exchange(
    client: &Client,
    announcement: &Announcement,
) -> Option<AnnouncementAnswer> {
    let mut request: Request = client.request(Method::Put, WORKER);
    request.set_body(http_types::Body::from_json(announcement).ok()?);
    let answer = client.send_within(request, ANSWER_TIMEOUT).await?.ok()?;
    if answer.status >= 300 {
        return None;
    }
    Some(serde_json::from_slice(&answer.body).unwrap_or_default())
}

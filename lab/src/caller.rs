//! Stand-in caller: obtains a ticket, sends and resends one request, and records the results.

use {
    crate::{
        backend::{AnswerError, check_body},
        client::{Answer, Client, ClientError},
        record::{RequestRecord, SendRecord, Verdict, unix_us},
        scenario::{CallSpec, ClassSpec, Resend},
        wire::{
            LAB_ORDER, REQUEST_ATTEMPT, REQUEST_CLASS, REQUEST_ID, REQUEST_OUTCOME, REQUEST_REASON,
            REQUEST_TICKET, REQUEST_TIMEOUT, RETRY_AFTER, RETRY_AFTER_MS, TICKETS,
        },
    },
    async_std::task,
    http_types::{Method, Request},
    smol_str::{SmolStr, ToSmolStr, format_smolstr},
    std::time::{Duration, Instant},
};

/// Delay of a polite caller before a resend, if the answer recommends none; grows with each send.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Attempts to obtain a ticket, each from another daemon.
const MAX_TICKET_ATTEMPTS: usize = 3;
/// Timeout of one attempt to obtain a ticket.
const TICKET_TIMEOUT: Duration = Duration::from_millis(500);

/// One client request to send.
#[derive(Debug, Clone)]
pub struct RequestPlan {
    /// Index of the load that the request belongs to.
    pub load: usize,
    /// Identity, the same for all sends.
    pub id: u128,
    /// Service and path to call.
    pub call: CallSpec,
    /// Class of the request.
    pub class: ClassSpec,
    /// Resend behaviour.
    pub resend: Resend,
    /// Body of the request.
    pub body: &'static str,
    /// Whether a ticket is obtained if the class is not idempotent.
    pub tickets: bool,
    /// Index of the caller among those of its load.
    pub source: usize,
    /// Indices of the daemons in the order of use; resends go round.
    pub daemons: Vec<usize>,
}

/// State of a request in progress.
struct RequestProgress<'a> {
    plan: &'a RequestPlan,
    clients: &'a [Client],
    started_at: Instant,
    id: SmolStr,
    ticket: Option<SmolStr>,
    sends: Vec<SendRecord>,
    ticket_failed: bool,
}

impl RequestPlan {
    /// Sends the request until it has a final result, and returns its record.
    pub async fn run(&self, clients: &[Client]) -> RequestRecord {
        let offered_us = unix_us();
        let mut progress = RequestProgress {
            plan: self,
            clients,
            started_at: Instant::now(),
            id: format_smolstr!("{:032x}", self.id),
            ticket: None,
            sends: Vec::new(),
            ticket_failed: false,
        };
        progress.send_until_final().await;
        let in_time = progress.started_at.elapsed() <= self.deadline();
        let done = progress
            .sends
            .last()
            .is_some_and(|send| send.verdict == Verdict::Done);
        RequestRecord {
            request: progress.id,
            class: self.class.name.clone(),
            load: self.load,
            offered_us,
            ended_us: unix_us(),
            good: done && in_time,
            sends: progress.sends,
            ticket_failed: progress.ticket_failed,
        }
    }

    fn deadline(&self) -> Duration {
        Duration::from_millis(self.class.deadline_ms)
    }

    fn resends(&self) -> u32 {
        match self.resend {
            Resend::Polite(times) | Resend::Hard(times) => times,
        }
    }

    fn needs_ticket(&self) -> bool {
        self.tickets && !self.class.idempotent
    }
}

impl RequestProgress<'_> {
    /// Sends and resends until a result is final or no time remains for the next send.
    async fn send_until_final(&mut self) {
        for attempt in 1..=self.plan.resends() + 1 {
            if self.plan.needs_ticket() && self.ticket.is_none() && !self.fetch_ticket().await {
                self.ticket_failed = true;
                return;
            }
            let delay = self.send().await;
            if !self.may_resend() {
                return;
            }
            let delay = match self.plan.resend {
                Resend::Polite(_) => delay.unwrap_or(DEFAULT_RETRY_DELAY * attempt),
                Resend::Hard(_) => Duration::ZERO,
            };
            if delay >= self.remaining_time() {
                return;
            }
            task::sleep(delay).await;
        }
    }

    /// Sends once, records the result and returns the delay recommended for a resend.
    async fn send(&mut self) -> Option<Duration> {
        let daemon = self.daemon_for(self.sends.len());
        let client = &self.clients[daemon];
        let sent_us = unix_us();
        let answer = client
            .send_within(self.request(client, self.attempt()), self.send_timeout())
            .await;
        let verdict = self.verdict(answer.as_ref());
        let response = answer.as_ref().and_then(|answer| answer.as_ref().ok());
        let reason = response.and_then(|answer| answer.header(REQUEST_REASON).map(SmolStr::from));
        if verdict == Verdict::NotRun {
            self.ticket = None;
        }
        self.sends.push(SendRecord {
            daemon,
            sent_us,
            ended_us: unix_us(),
            verdict,
            reason,
        });
        response.and_then(retry_delay)
    }

    /// Number of the next send, counting only sends since the last `not-run` answer that may have
    /// run.
    fn attempt(&self) -> u32 {
        let was_not_run = |send: &SendRecord| send.verdict == Verdict::NotRun;
        let maybe_run = self
            .sends
            .iter()
            .rev()
            .take_while(|send| !was_not_run(send));
        let maybe_run = maybe_run.filter(|send| send.verdict != Verdict::Unreached);
        1 + maybe_run.count() as u32
    }

    fn request(&self, client: &Client, attempt: u32) -> Request {
        let mut request = client.request(Method::Post, &format!("/{}", self.plan.call));
        request.insert_header(REQUEST_ID, self.id.as_str());
        request.insert_header(REQUEST_CLASS, self.plan.class.name.as_str());
        request.insert_header(
            REQUEST_TIMEOUT,
            self.remaining_time().as_millis().to_string(),
        );
        request.insert_header(REQUEST_ATTEMPT, attempt.to_string());
        if !self.plan.class.idempotent {
            request.insert_header(LAB_ORDER, self.id.as_str());
        }
        if let Some(ticket) = &self.ticket {
            request.insert_header(REQUEST_TICKET, ticket.as_str());
        }
        request.set_body(self.plan.body);
        request
    }

    fn verdict(&self, answer: Option<&Result<Answer, ClientError>>) -> Verdict {
        let answer = match answer {
            None => return Verdict::TimedOut,
            Some(Err(ClientError::Connect { .. })) => return Verdict::Unreached,
            Some(Err(ClientError::Broken { .. })) => return Verdict::Broken,
            Some(Err(ClientError::Cut { .. })) => return Verdict::NotWhole,
            Some(Ok(answer)) => answer,
        };
        match answer.header(REQUEST_OUTCOME) {
            Some("not-run") => Verdict::NotRun,
            Some("unknown") => Verdict::Unknown,
            _ if answer.status != 200 => Verdict::Failed,
            _ => match check_body(&self.id, &answer.body) {
                Ok(()) => Verdict::Done,
                Err(AnswerError::Corrupt) => Verdict::NotWhole,
                Err(AnswerError::OtherRequest) => Verdict::NotOwn,
            },
        }
    }

    /// Returns whether another send is allowed. An order answered with a failure has run and is not
    /// resent.
    fn may_resend(&self) -> bool {
        let Some(last) = self.sends.last() else {
            return false;
        };
        match last.verdict {
            Verdict::Done => false,
            Verdict::Failed => self.plan.class.idempotent,
            _ => !self.remaining_time().is_zero(),
        }
    }

    /// Obtains a ticket; returns whether a daemon issued one.
    async fn fetch_ticket(&mut self) -> bool {
        for attempt in 0..MAX_TICKET_ATTEMPTS {
            let client = &self.clients[self.daemon_for(self.sends.len() + attempt)];
            let path = format!("{TICKETS}/{}", self.plan.call.service);
            let mut request = client.request(Method::Post, &path);
            request.insert_header(REQUEST_CLASS, self.plan.class.name.as_str());
            request.insert_header(REQUEST_ID, self.id.as_str());
            let wait = self.remaining_time().min(TICKET_TIMEOUT);
            let Some(Ok(answer)) = client.send_within(request, wait).await else {
                continue;
            };
            if let Some(ticket) = answer.header(REQUEST_TICKET) {
                self.ticket = Some(ticket.to_smolstr());
                return true;
            }
        }
        false
    }

    fn daemon_for(&self, position: usize) -> usize {
        self.plan.daemons[position % self.plan.daemons.len()]
    }

    fn remaining_time(&self) -> Duration {
        self.plan
            .deadline()
            .saturating_sub(self.started_at.elapsed())
    }

    /// Timeout of one send; a hard caller divides its deadline among its sends.
    fn send_timeout(&self) -> Duration {
        match self.plan.resend {
            Resend::Polite(_) => self.remaining_time(),
            Resend::Hard(times) => self
                .remaining_time()
                .min(self.plan.deadline() / (times + 1)),
        }
    }
}

/// Delay before a resend that the answer recommends, if any.
fn retry_delay(answer: &Answer) -> Option<Duration> {
    let milliseconds = answer
        .header(RETRY_AFTER_MS)
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    let seconds = answer
        .header(RETRY_AFTER)
        .and_then(|text| text.parse().ok())
        .map(Duration::from_secs);
    milliseconds.or(seconds)
}

//! One stand-in caller's way through one request: ticket, sends, resends, and what it was told.

use {
    crate::{
        backend::{AnswerFault, check_body},
        client::{Answer, Client, ClientError},
        record::{RequestRecord, Send, Verdict, unix_us},
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

/// Pause of a polite caller that got no advice.
const DEFAULT_PAUSE: Duration = Duration::from_millis(100);
/// Tries for one ticket, each at another daemon.
const TICKET_TRIES: usize = 3;
/// Longest wait for one ticket.
const TICKET_WAIT: Duration = Duration::from_millis(500);

/// One client request to be made.
#[derive(Debug, Clone)]
pub struct Errand {
    /// Position of the load it belongs to.
    pub load: usize,
    /// Identity, kept over all sends.
    pub id: u128,
    /// What is called.
    pub call: CallSpec,
    /// Class of the request.
    pub class: ClassSpec,
    /// How it is sent again.
    pub resend: Resend,
    /// Body of the request.
    pub body: &'static str,
    /// Whether a ticket is asked for when the class is not idempotent.
    pub tickets: bool,
    /// Position of the caller among those of its load.
    pub source: usize,
    /// Daemons in the order in which they are tried; resends go round.
    pub daemons: Vec<usize>,
}

/// State of a request under way.
struct Journey<'a> {
    errand: &'a Errand,
    clients: &'a [Client],
    began: Instant,
    id: SmolStr,
    ticket: Option<SmolStr>,
    sends: Vec<Send>,
    ticket_failed: bool,
}

impl Errand {
    /// Makes the request and tells what came of it.
    pub async fn run(&self, clients: &[Client]) -> RequestRecord {
        let offered_us = unix_us();
        let mut journey = Journey {
            errand: self,
            clients,
            began: Instant::now(),
            id: format_smolstr!("{:032x}", self.id),
            ticket: None,
            sends: Vec::new(),
            ticket_failed: false,
        };
        journey.travel().await;
        let in_time = journey.began.elapsed() <= self.deadline();
        let done = journey
            .sends
            .last()
            .is_some_and(|send| send.verdict == Verdict::Done);
        RequestRecord {
            request: journey.id,
            class: self.class.name.clone(),
            load: self.load,
            offered_us,
            ended_us: unix_us(),
            good: done && in_time,
            sends: journey.sends,
            ticket_failed: journey.ticket_failed,
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

impl Journey<'_> {
    async fn travel(&mut self) {
        for attempt in 1..=self.errand.resends() + 1 {
            if self.errand.needs_ticket() && self.ticket.is_none() && !self.fetch_ticket().await {
                self.ticket_failed = true;
                return;
            }
            let pause = self.send().await;
            if !self.may_resend() {
                return;
            }
            let pause = match self.errand.resend {
                Resend::Polite(_) => pause.unwrap_or(DEFAULT_PAUSE * attempt),
                Resend::Hard(_) => Duration::ZERO,
            };
            if pause >= self.left() {
                return;
            }
            task::sleep(pause).await;
        }
    }

    /// Sends once, records it, and returns the daemon's advice on when to come back.
    async fn send(&mut self) -> Option<Duration> {
        let daemon = self.daemon(self.sends.len());
        let client = &self.clients[daemon];
        let sent_us = unix_us();
        let answer = client
            .send_within(self.request(client, self.attempt()), self.wait())
            .await;
        let verdict = self.judge(answer.as_ref());
        let whole = answer.as_ref().and_then(|answer| answer.as_ref().ok());
        let reason = whole.and_then(|answer| answer.header(REQUEST_REASON).map(SmolStr::from));
        if verdict == Verdict::NotRun {
            self.ticket = None;
        }
        self.sends.push(Send {
            daemon,
            sent_us,
            ended_us: unix_us(),
            verdict,
            reason,
        });
        whole.and_then(advice)
    }

    /// Number of this send, counting those before it that may have run.
    fn attempt(&self) -> u32 {
        let is_not_run = |send: &Send| send.verdict == Verdict::NotRun;
        let doubtful = self.sends.iter().rev().take_while(|send| !is_not_run(send));
        let doubtful = doubtful.filter(|send| send.verdict != Verdict::Unreached);
        1 + doubtful.count() as u32
    }

    fn request(&self, client: &Client, attempt: u32) -> Request {
        let mut request = client.request(Method::Post, &format!("/{}", self.errand.call));
        request.insert_header(REQUEST_ID, self.id.as_str());
        request.insert_header(REQUEST_CLASS, self.errand.class.name.as_str());
        request.insert_header(REQUEST_TIMEOUT, self.left().as_millis().to_string());
        request.insert_header(REQUEST_ATTEMPT, attempt.to_string());
        if !self.errand.class.idempotent {
            request.insert_header(LAB_ORDER, self.id.as_str());
        }
        if let Some(ticket) = &self.ticket {
            request.insert_header(REQUEST_TICKET, ticket.as_str());
        }
        request.set_body(self.errand.body);
        request
    }

    fn judge(&self, answer: Option<&Result<Answer, ClientError>>) -> Verdict {
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
                Err(AnswerFault::NotWhole) => Verdict::NotWhole,
                Err(AnswerFault::NotOwn) => Verdict::NotOwn,
            },
        }
    }

    /// An order that a backend server answered with a failure is not sent again; it has run.
    fn may_resend(&self) -> bool {
        let Some(last) = self.sends.last() else {
            return false;
        };
        match last.verdict {
            Verdict::Done => false,
            Verdict::Failed => self.errand.class.idempotent,
            _ => !self.left().is_zero(),
        }
    }

    async fn fetch_ticket(&mut self) -> bool {
        for trial in 0..TICKET_TRIES {
            let client = &self.clients[self.daemon(self.sends.len() + trial)];
            let path = format!("{TICKETS}/{}", self.errand.call.service);
            let mut request = client.request(Method::Post, &path);
            request.insert_header(REQUEST_CLASS, self.errand.class.name.as_str());
            request.insert_header(REQUEST_ID, self.id.as_str());
            let wait = self.left().min(TICKET_WAIT);
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

    fn daemon(&self, position: usize) -> usize {
        self.errand.daemons[position % self.errand.daemons.len()]
    }

    fn left(&self) -> Duration {
        self.errand.deadline().saturating_sub(self.began.elapsed())
    }

    /// A hard caller shares its deadline among its sends.
    fn wait(&self) -> Duration {
        match self.errand.resend {
            Resend::Polite(_) => self.left(),
            Resend::Hard(times) => self.left().min(self.errand.deadline() / (times + 1)),
        }
    }
}

fn advice(answer: &Answer) -> Option<Duration> {
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

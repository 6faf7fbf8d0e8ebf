//! Injection of faults at scheduled times.

use {
    crate::{
        history::Departure,
        platform::Faults,
        process::Signal,
        record::unix_us,
        round::{Round, host::Host},
        scenario::{Fault, FaultSpec, Target},
    },
    async_std::task,
    serde::Serialize,
    smol_str::{SmolStr, ToSmolStr, format_smolstr},
    std::{collections::VecDeque, mem, time::Duration},
};

/// Note on an event during a round, shown in the report.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct EventNote {
    /// Time of the event.
    pub at_us: u64,
    /// What happened.
    pub text: SmolStr,
}

/// An operator's statement and the daemon's answer.
pub(super) struct AnsweredStatement {
    statement: SmolStr,
    sent_us: u64,
    answered_us: u64,
    answer: Result<SmolStr, SmolStr>,
}

impl AnsweredStatement {
    fn note(&self) -> EventNote {
        let duration_ms = self.answered_us.saturating_sub(self.sent_us) / 1_000;
        let (prefix, text) = match &self.answer {
            Ok(text) => ("", text),
            Err(text) => ("refused, ", text),
        };
        EventNote {
            at_us: self.sent_us,
            text: format_smolstr!("'{}': {prefix}{text} ({duration_ms} ms)", self.statement),
        }
    }

    /// Returns the departure of a worker that an accepted `drain` or `stop` caused.
    fn departure(&self) -> Option<Departure> {
        self.answer.as_ref().ok()?;
        let mut words = self.statement.split_whitespace();
        let is_departure = matches!(words.next(), Some("drain" | "stop"));
        if !is_departure || words.next() != Some("worker") {
            return None;
        }
        Some(Departure {
            worker: words.next()?.into(),
            at_us: self.sent_us,
        })
    }
}

/// Start or end of a fault.
#[derive(Debug, Clone)]
pub(super) struct Action {
    fault: Fault,
    is_start: bool,
    /// Whether the fault has a duration, and so an action for its end.
    has_end: bool,
}

/// Actions ordered by time since the start of the counted load.
pub(super) struct Timeline(VecDeque<(Duration, Action)>);

impl Timeline {
    pub(super) fn new(faults: &[FaultSpec]) -> Self {
        let mut actions = Vec::new();
        for spec in faults {
            let action = |is_start| Action {
                fault: spec.fault.clone(),
                is_start,
                has_end: spec.for_ms > 0,
            };
            actions.push((Duration::from_millis(spec.at_ms), action(true)));
            if spec.for_ms > 0 {
                actions.push((Duration::from_millis(spec.end_ms()), action(false)));
            }
        }
        actions.sort_by_key(|(at, _)| *at);
        Self(actions.into())
    }

    pub(super) fn next(&mut self) -> Option<(Duration, Action)> {
        self.0.pop_front()
    }
}

impl Round {
    /// Starts or ends a fault.
    pub(super) async fn apply(&mut self, action: Action) {
        let is_start = action.is_start;
        match &action.fault {
            Fault::Slow(service, factor) => {
                let factor = if is_start { *factor } else { 1.0 };
                self.slow(service, factor).await;
            }
            Fault::Surge(load, factor) => self.surge(load, if is_start { *factor } else { 1.0 }),
            Fault::HardResends(times) => {
                self.controls
                    .set_hard_resends(if is_start { *times } else { 0 });
            }
            Fault::Kill(target) => self.kill(target, &action),
            Fault::Pause(target) => self.pause(target, is_start),
            Fault::Cut(left, right) => self.network.cut(left, right, is_start),
            Fault::Delay(left, right, delay_us) => {
                self.network
                    .delay(left, right, is_start.then_some(*delay_us));
            }
            Fault::Poison(call) => self.callers.poison(call),
            Fault::Leave(worker) => self.leave(worker).await,
            Fault::Ask(statement) => self.ask(statement),
            Fault::StoreOutage => self.set_store_faults(Faults {
                outage: is_start,
                ..Faults::default()
            }),
            Fault::StoreLostAnswers(count) => self.set_store_faults(Faults {
                lose_answers: if is_start { *count } else { 0 },
                ..Faults::default()
            }),
        }
    }

    async fn slow(&mut self, service: &str, factor: f64) {
        let mut failures = Vec::new();
        for host in self.hosts.iter().filter(|host| host.service == service) {
            if let Err(detail) = host.command(&format!("slow/{factor}")).await {
                failures.push(format_smolstr!("{} was not slowed: {detail}", host.name));
            }
        }
        for failure in failures {
            self.note(failure);
        }
    }

    fn surge(&self, load: &str, factor: f64) {
        for (position, spec) in self.scenario.loads.iter().enumerate() {
            if load == "all" || spec.name == load {
                self.controls.set_rate_factor(position, factor);
            }
        }
    }

    fn kill(&mut self, target: &Target, action: &Action) {
        let (daemon, backend) = target_processes(target);
        let Some(host) = self.host(target.worker()) else {
            return;
        };
        if action.is_start {
            host.kill(daemon, backend);
        } else if action.has_end
            && let Err(error) = host.replace(daemon, backend)
        {
            self.note(error.to_smolstr());
        }
    }

    fn pause(&mut self, target: &Target, is_start: bool) {
        let (daemon, backend) = target_processes(target);
        let signal = if is_start {
            Signal::Stop
        } else {
            Signal::Continue
        };
        let Some(host) = self.host(target.worker()) else {
            return;
        };
        if let Err(error) = host.signal(signal, daemon, backend) {
            self.note(error.to_smolstr());
        }
    }

    async fn leave(&mut self, worker: &SmolStr) {
        let Some(host) = self.host(worker) else {
            return;
        };
        if let Err(detail) = host.command("leave").await {
            self.note(format_smolstr!("{worker} could not leave: {detail}"));
            return;
        }
        self.departures.push(Departure {
            worker: worker.clone(),
            at_us: unix_us(),
        });
    }

    /// Sends a statement to the first daemon without waiting for the answer.
    fn ask(&mut self, statement: &SmolStr) {
        let answer = self.hosts[0].ask(statement);
        let statement = statement.clone();
        let sent_us = unix_us();
        self.pending_statements.push(task::spawn(async move {
            let answer = answer.await;
            AnsweredStatement {
                statement,
                sent_us,
                answered_us: unix_us(),
                answer,
            }
        }));
    }

    /// Waits for the answers to all statements; records them and the departures that they caused.
    pub(super) async fn collect_statement_answers(&mut self) {
        for statement in mem::take(&mut self.pending_statements) {
            let statement = statement.await;
            self.notes.push(statement.note());
            self.departures.extend(statement.departure());
        }
    }

    fn set_store_faults(&mut self, faults: Faults) {
        match &self.store {
            Some(store) => store.platform.set_faults(faults),
            None => self.note("no store to fail: daemons keep their own in memory".into()),
        }
    }

    /// Finds a host by its worker's name; adds a note if there is none.
    fn host(&mut self, worker: &str) -> Option<&mut Host> {
        let position = self.hosts.iter().position(|host| host.name == worker);
        if position.is_none() {
            self.note(format_smolstr!("no worker {worker}"));
        }
        position.map(|position| &mut self.hosts[position])
    }
}

/// Whether a target includes the daemon, and whether it includes the backend server.
fn target_processes(target: &Target) -> (bool, bool) {
    match target {
        Target::Daemon(_) => (true, false),
        Target::Backend(_) => (false, true),
        Target::Vm(_) => (true, true),
    }
}

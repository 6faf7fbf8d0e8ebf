//! Classes, loads and faults of a scenario.

use {
    crate::scenario::{CallSpec, ScenarioError, section::Section},
    smol_str::SmolStr,
};

/// One class of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: SmolStr,
    /// Importance; zero is the most important and shed last.
    pub importance: u8,
    /// Extra calls allowed in a request's whole call tree.
    pub retry_allowance: u32,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time limit for an answer.
    pub deadline_ms: u64,
}

/// One open-loop load.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSpec {
    /// Name of the load.
    pub name: SmolStr,
    /// Class of its requests.
    pub class: SmolStr,
    /// Service and path to call.
    pub call: CallSpec,
    /// Mean arrival rate.
    pub rate_per_s: f64,
    /// Data centres whose daemons are called first; no preference if empty.
    pub from: Vec<SmolStr>,
    /// Resend behaviour of its callers.
    pub resend: Resend,
}

/// Resend behaviour of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resend {
    /// Resends after the recommended delay, at most this many times.
    Polite(u32),
    /// Resends immediately to another daemon, at most this many times, with a short timeout per
    /// send.
    Hard(u32),
}

/// One fault at a scheduled time.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultSpec {
    /// Start, since the start of the counted load.
    pub at_ms: u64,
    /// Duration; zero for a fault without an end.
    pub for_ms: u64,
    /// Kind of the fault.
    pub fault: Fault,
}

/// Kind of a fault.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Multiplies the service times of all workers of a service.
    Slow(SmolStr, f64),
    /// Multiplies the arrival rate of a load, or of each load if `all`.
    Surge(SmolStr, f64),
    /// Makes all callers resend hard, at most this many times.
    HardResends(u32),
    /// Kills processes and starts new ones at the end of the fault.
    Kill(Target),
    /// Suspends processes and continues them at the end of the fault.
    Pause(Target),
    /// Cuts all links between two data centres or regions.
    Cut(SmolStr, SmolStr),
    /// Sets the one-way delay between two data centres or regions, in microseconds.
    Delay(SmolStr, SmolStr, u64),
    /// Sends a request to this path that crashes each worker that runs it.
    Poison(CallSpec),
    /// Takes a worker out of service in a planned stop.
    Leave(SmolStr),
    /// Sends an operator's statement to one daemon.
    Ask(SmolStr),
    /// Makes the store refuse all calls.
    StoreOutage,
    /// Loses the answers to this many of the next writes to the store, which take effect.
    StoreLostAnswers(u32),
}

/// Processes that a fault affects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// Daemon of a worker.
    Daemon(SmolStr),
    /// Backend server of a worker.
    Backend(SmolStr),
    /// Both processes of a worker, as in the loss of a VM.
    Vm(SmolStr),
}

impl Target {
    /// Name of the worker.
    pub fn worker(&self) -> &SmolStr {
        match self {
            Self::Daemon(name) | Self::Backend(name) | Self::Vm(name) => name,
        }
    }
}

impl FaultSpec {
    /// End of the fault, since the start of the counted load.
    pub fn end_ms(&self) -> u64 {
        self.at_ms + self.for_ms
    }
}

impl TryFrom<&Section<'_>> for ClassSpec {
    type Error = ScenarioError;

    fn try_from(section: &Section<'_>) -> Result<Self, ScenarioError> {
        Ok(Self {
            name: section.name.clone(),
            importance: section.number("importance", None)?,
            retry_allowance: section.number("retry-allowance", Some(2))?,
            idempotent: section.number("idempotent", Some(true))?,
            deadline_ms: section.number("deadline-ms", None)?,
        })
    }
}

impl TryFrom<&Section<'_>> for LoadSpec {
    type Error = ScenarioError;

    fn try_from(section: &Section<'_>) -> Result<Self, ScenarioError> {
        let call = section.text("call")?;
        let resends = section.number("resends", Some(1))?;
        let resend = match section.optional("resend").as_deref() {
            None | Some("polite") => Resend::Polite(resends),
            Some("hard") => Resend::Hard(resends),
            Some(_) => return Err(section.error("resend", &"expected polite or hard")),
        };
        Ok(Self {
            name: section.name.clone(),
            class: section.text("class")?,
            call: CallSpec::try_from(call.as_str())?,
            rate_per_s: section.number("rate-per-s", None)?,
            from: section.list("from"),
            resend,
        })
    }
}

impl TryFrom<&Section<'_>> for FaultSpec {
    type Error = ScenarioError;

    fn try_from(section: &Section<'_>) -> Result<Self, ScenarioError> {
        Ok(Self {
            at_ms: section.number("at-ms", None)?,
            for_ms: section.number("for-ms", Some(0))?,
            fault: fault(section)?,
        })
    }
}

fn fault(section: &Section<'_>) -> Result<Fault, ScenarioError> {
    let kind = section.text("kind")?;
    Ok(match kind.as_str() {
        "slow" => Fault::Slow(section.text("service")?, section.number("factor", None)?),
        "surge" => Fault::Surge(
            section.optional("load").unwrap_or_else(|| "all".into()),
            section.number("factor", None)?,
        ),
        "hard-resends" => Fault::HardResends(section.number("times", None)?),
        "kill" => Fault::Kill(target(section)?),
        "pause" => Fault::Pause(target(section)?),
        "cut" => {
            let (left, right) = endpoints(section)?;
            Fault::Cut(left, right)
        }
        "delay" => {
            let (left, right) = endpoints(section)?;
            Fault::Delay(left, right, section.number("delay-us", None)?)
        }
        "poison" => Fault::Poison(CallSpec::try_from(section.text("call")?.as_str())?),
        "leave" => Fault::Leave(section.text("worker")?),
        "ask" => Fault::Ask(section.text("statement")?),
        "store-outage" => Fault::StoreOutage,
        "store-lost-answers" => Fault::StoreLostAnswers(section.number("count", None)?),
        _ => return Err(section.error("kind", &"is not known")),
    })
}

fn target(section: &Section<'_>) -> Result<Target, ScenarioError> {
    let text = section.text("target")?;
    match text.split_once(' ') {
        Some(("daemon", name)) => Ok(Target::Daemon(name.into())),
        Some(("backend", name)) => Ok(Target::Backend(name.into())),
        Some(("vm", name)) => Ok(Target::Vm(name.into())),
        _ => Err(section.error("target", &"expected daemon, backend or vm and a worker")),
    }
}

fn endpoints(section: &Section<'_>) -> Result<(SmolStr, SmolStr), ScenarioError> {
    match section.list("between").as_slice() {
        [left, right] => Ok((left.clone(), right.clone())),
        _ => Err(section.error("between", &"expected two names and a comma")),
    }
}

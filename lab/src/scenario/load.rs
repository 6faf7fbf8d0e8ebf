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
    /// Importance; zero is kept longest.
    pub importance: u8,
    /// Extra calls allowed over a request's whole tree.
    pub retry_allowance: u32,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time within which an answer counts.
    pub deadline_ms: u64,
}

/// One open-loop load.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSpec {
    /// Name of the load.
    pub name: SmolStr,
    /// Class of its requests.
    pub class: SmolStr,
    /// What is called.
    pub call: CallSpec,
    /// Mean rate of arrivals.
    pub rate_per_s: f64,
    /// Data centres whose daemons are called first; all if empty.
    pub from: Vec<SmolStr>,
    /// How its callers resend.
    pub resend: Resend,
}

/// How a caller sends again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resend {
    /// After the advised time, at most this often.
    Polite(u32),
    /// At once and to another daemon, at most this often, giving up on each send early.
    Hard(u32),
}

/// One fault at a set time.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultSpec {
    /// Begin, from the start of the counted load.
    pub at_ms: u64,
    /// Duration; zero is an instant.
    pub for_ms: u64,
    /// What fails.
    pub fault: Fault,
}

/// What fails.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Work at all workers of a service takes this many times as long.
    Slow(SmolStr, f64),
    /// A load (or each, if `all`) arrives this many times as often.
    Surge(SmolStr, f64),
    /// All callers resend hard this often.
    HardResends(u32),
    /// A process is killed; it comes back as a fresh one at the end of the fault.
    Kill(Target),
    /// A process is stopped and continued at the end of the fault.
    Pause(Target),
    /// Two data centres or regions cannot reach each other.
    Cut(SmolStr, SmolStr),
    /// Two data centres or regions are further apart by this one-way delay.
    Delay(SmolStr, SmolStr, u64),
    /// A request that crashes each worker that runs it is sent to this path.
    Poison(CallSpec),
    /// A worker leaves in a planned stop.
    Leave(SmolStr),
    /// An operator's statement is sent to one daemon.
    Ask(SmolStr),
    /// The store answers nothing.
    StoreOutage,
    /// So many of the next writes to the store take effect while their answers are lost.
    StoreLostAnswers(u32),
}

/// Process that a fault is aimed at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// Daemon of a worker.
    Daemon(SmolStr),
    /// Backend server of a worker.
    Backend(SmolStr),
    /// Both: the VM is lost.
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
    /// End of the fault, from the start of the counted load.
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

//! Memory of state by its number of records, with each size measured in a separate process.

use {
    crate::slopes::{Series, Slopes, SlopesError, decisions},
    derive_more::Display,
    shallotdeal::{
        config::{Config, Edit, Proposal, ServiceEdit},
        request::RequestId,
        trace::{Event, Traces},
    },
    smol_str::format_smolstr,
    std::{env, fs, hint::black_box, process::Command, time::Instant},
};

/// Bytes of each answer kept for replay.
const ANSWER_BYTES: usize = 1_000;
const CHANGE_TEXT_BYTES: usize = 60;
const CHANGE_COUNT: usize = 256;
const DECODE_COUNT: f64 = 500.0;
const PAGE_BYTES: u64 = 4_096;

/// Kind of measured state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum Kind {
    /// Run-once records with their answers.
    #[display("once")]
    Once,
    /// Crash records with the requests blamed for the crashes.
    #[display("suspects")]
    Suspects,
    /// Events kept for operators.
    #[display("traces")]
    Traces,
    /// Members of the own data centre.
    #[display("members")]
    Members,
    /// Summaries of other data centres.
    #[display("summaries")]
    Summaries,
}

impl TryFrom<&str> for Kind {
    type Error = SlopesError;

    fn try_from(name: &str) -> Result<Self, SlopesError> {
        let all = [
            Self::Once,
            Self::Suspects,
            Self::Traces,
            Self::Members,
            Self::Summaries,
        ];
        all.into_iter()
            .find(|kind| kind.to_string() == name)
            .ok_or_else(|| SlopesError::new("parse state", &name))
    }
}

/// Returns the resident memory of this process.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Measures the memory of a state by the growth of this process.
pub fn growth_bytes<T>(build: impl FnOnce() -> T) -> u64 {
    let before = resident_bytes();
    let state = black_box(build());
    let after = resident_bytes();
    drop(black_box(state));
    after.saturating_sub(before)
}

/// Measures a state of the policy; returns `None` for states that gossip has to form.
pub fn policy_bytes(kind: Kind, count: u64) -> Option<u64> {
    match kind {
        Kind::Once => Some(growth_bytes(|| {
            decisions::dedup_table_with(count, ANSWER_BYTES)
        })),
        Kind::Suspects => Some(growth_bytes(|| decisions::crash_suspects_with(count))),
        Kind::Traces => Some(growth_bytes(|| traces(count))),
        Kind::Members | Kind::Summaries => None,
    }
}

/// Measures all states, each size in a new process of this program.
pub fn measure(slopes: &mut Slopes) -> Result<(), SlopesError> {
    let states: [(_, _, &[u64]); 5] = [
        (Kind::Once, "run-once records", &[5_000, 20_000, 80_000]),
        (
            Kind::Suspects,
            "quarantine entries",
            &[2_000, 8_000, 32_000],
        ),
        (Kind::Traces, "events", &[4_000, 8_000, 16_000]),
        (Kind::Members, "members", &[10, 50, 150]),
        (Kind::Summaries, "summaries", &[45, 90, 144]),
    ];
    for (kind, along, sizes) in states {
        let mut points = Vec::new();
        for size in sizes {
            points.push((*size as f64, measure_in_child(kind, *size)?));
        }
        slopes.add(&format!("{kind}-bytes"), Series::new(along, "B", points));
    }
    measure_documents(slopes);
    Ok(())
}

fn measure_documents(slopes: &mut Slopes) {
    let (mut bytes, mut decode) = (Vec::new(), Vec::new());
    for services in [40, 80, 160, 320] {
        let document = encoded_config(services);
        let at = f64::from(services);
        bytes.push((at, document.len() as f64));
        let start = Instant::now();
        for _ in 0..DECODE_COUNT as u32 {
            black_box(Config::decode(&document)).ok();
        }
        decode.push((at, start.elapsed().as_micros() as f64 / DECODE_COUNT));
    }
    slopes.add("config-bytes", Series::new("services", "B", bytes));
    slopes.add("config-decode", Series::new("services", "us", decode));
}

fn measure_in_child(kind: Kind, count: u64) -> Result<f64, SlopesError> {
    let program = env::current_exe().map_err(|error| SlopesError::new("find lab", &error))?;
    let output = Command::new(program)
        .args(["slopes", "--state", &kind.to_string()])
        .args(["--count", &count.to_string()])
        .output()
        .map_err(|error| SlopesError::new("start child", &error))?;
    let text = String::from_utf8_lossy(&output.stdout);
    text.trim()
        .parse()
        .map_err(|error| SlopesError::new("read child", &format!("{kind} {count}: {error}")))
}

fn traces(count: u64) -> Traces {
    let mut traces = Traces::default();
    for serial in 0..count {
        let event = Event::Answered { status: 200 };
        traces.add(RequestId(u128::from(serial)), event, serial);
    }
    traces
}

/// Encodes a configuration of this many services with a full history.
fn encoded_config(services: u32) -> Vec<u8> {
    let mut config = Config::initial();
    for number in 0..services.max(CHANGE_COUNT as u32) {
        let edit = if number < services {
            let name = format_smolstr!("service-{number}");
            Edit::CreateService(name, ServiceEdit::default())
        } else {
            Edit::ChangeService("service-0".into(), ServiceEdit::default())
        };
        let proposal = Proposal {
            id: format_smolstr!("{number:032x}"),
            text: "x".repeat(CHANGE_TEXT_BYTES).into(),
            if_revision: None,
            edits: vec![edit],
        };
        if let Ok(next) = config.apply(&proposal, 1_700_000_000_000) {
            config = next;
        }
    }
    config.encode()
}

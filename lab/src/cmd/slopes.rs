//! `lab slopes`.

#[path = "../../../tests/fleet_net/mod.rs"]
mod fleet_net;
mod views;

use {
    crate::cmd::{self, run::daemon},
    async_std::task,
    lab::slopes::{
        Series, Slopes, SlopesError,
        daemons::{self, DaemonLauncher},
        decisions,
        state::{self, Kind},
    },
    std::{
        env,
        error::Error,
        fs,
        path::{Path, PathBuf},
        process,
    },
};

const COMMAND: &str = "cargo build --release -p shallotdeal -p lab && target/release/lab slopes";
const DEFAULT_NET: u8 = 77;
const DEFAULT_OUT: &str = "docs/capacity/slopes.json";
const DEFAULT_SCENARIO: &str = "lab/scenarios/overhead.ini";

/// Measures all costs that grow with the fleet or its load, and writes the data file.
pub(super) fn run(flags: &cmd::Slopes) -> Result<(), Box<dyn Error>> {
    if let Some(kind) = &flags.state {
        let kind = Kind::try_from(kind.as_str())?;
        let count = flags.count.unwrap_or(1);
        let bytes = state::policy_bytes(kind, count).unwrap_or_else(|| views::bytes(kind, count));
        println!("{bytes}");
        return Ok(());
    }
    let out = flags.out.as_deref().unwrap_or(Path::new(DEFAULT_OUT));
    if let Some(overhead) = &flags.overhead {
        return add_overhead(out, overhead);
    }
    let mut slopes = Slopes {
        command: COMMAND.into(),
        machine: machine().into(),
        ..Slopes::default()
    };
    eprintln!("lab: decisions");
    decisions::measure(&mut slopes);
    views::measure_picks(&mut slopes);
    eprintln!("lab: states");
    state::measure(&mut slopes)?;
    eprintln!("lab: gossip");
    views::measure(&mut slopes);
    views::measure_spread(&mut slopes);
    eprintln!("lab: daemons");
    let directory = env::temp_dir().join(format!("lab-{}", process::id()));
    fs::create_dir_all(&directory)?;
    let result = daemon_launcher(flags, &directory).and_then(|launcher| {
        let measured = task::block_on(daemons::measure(&launcher, &mut slopes));
        measured.map_err(Into::into)
    });
    fs::remove_dir_all(&directory).ok();
    result?;
    carry_over_overhead(out, &mut slopes);
    slopes.write(out)?;
    Ok(())
}

/// Adds the latency that daemons add to calls, which is measured separately on a quiet machine.
fn add_overhead(out: &Path, overhead: &Path) -> Result<(), Box<dyn Error>> {
    let mut slopes = Slopes::read(out)?;
    let figures: serde_json::Value = serde_json::from_str(&fs::read_to_string(overhead)?)?;
    for (name, field) in ADDED_LATENCY_SERIES {
        let of = |way: &str| figures[way][field].as_f64();
        let (Some(direct), Some(through)) = (of("direct"), of("through")) else {
            return Err(SlopesError::new("read overhead", &field).into());
        };
        let points = vec![(1.0, through - direct)];
        slopes.add(name, Series::new("calls in a chain", "us", points));
    }
    slopes.write(out)?;
    Ok(())
}

/// Copies the added latency from the data file that is about to be replaced.
fn carry_over_overhead(out: &Path, slopes: &mut Slopes) {
    let Ok(old) = Slopes::read(out) else {
        return;
    };
    for (name, _) in ADDED_LATENCY_SERIES {
        if let Some(series) = old.series.get(name) {
            slopes.add(name, series.clone());
        }
    }
}

const ADDED_LATENCY_SERIES: [(&str, &str); 2] = [("added-p50", "p50_us"), ("added-p99", "p99_us")];

fn daemon_launcher(
    flags: &cmd::Slopes,
    directory: &Path,
) -> Result<DaemonLauncher, Box<dyn Error>> {
    let file = PathBuf::from(DEFAULT_SCENARIO);
    Ok(DaemonLauncher {
        daemon: daemon(flags.daemon.as_deref())?,
        lab: env::current_exe()?,
        file: fs::canonicalize(file)?,
        directory: directory.to_owned(),
        net: flags.net.unwrap_or(DEFAULT_NET),
    })
}

/// Returns the cores and the load of the machine at the start of the run.
fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split_whitespace().next().unwrap_or("unknown");
    format!("{cores} cores, load average {load} at the start")
}

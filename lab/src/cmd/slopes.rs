//! `lab slopes`.

#[path = "../../../tests/fleet_net/mod.rs"]
mod fleet_net;
mod views;

use {
    crate::cmd::{self, run::daemon},
    async_std::task,
    lab::slopes::{
        Slopes,
        daemons::{self, Bench},
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
const DEFAULT_NET: u8 = 60;
const DEFAULT_OUT: &str = "docs/capacity/slopes.json";
const DEFAULT_SCENARIO: &str = "lab/scenarios/overhead.ini";

/// Measures what grows and writes the data file.
pub(super) fn run(flags: &cmd::Slopes) -> Result<(), Box<dyn Error>> {
    if let Some(kind) = &flags.state {
        let kind = Kind::try_from(kind.as_str())?;
        let count = flags.count.unwrap_or(1);
        let bytes = state::policy_bytes(kind, count).unwrap_or_else(|| views::bytes(kind, count));
        println!("{bytes}");
        return Ok(());
    }
    let mut slopes = Slopes {
        command: COMMAND.into(),
        machine: machine().into(),
        ..Slopes::default()
    };
    eprintln!("lab: decisions");
    decisions::measure(&mut slopes);
    views::picks(&mut slopes);
    eprintln!("lab: states");
    state::measure(&mut slopes)?;
    eprintln!("lab: gossip");
    views::measure(&mut slopes);
    views::spread(&mut slopes);
    eprintln!("lab: daemons");
    let directory = env::temp_dir().join(format!("lab-{}", process::id()));
    fs::create_dir_all(&directory)?;
    let result = bench(flags, &directory).and_then(|bench| {
        let measured = task::block_on(daemons::measure(&bench, &mut slopes));
        measured.map_err(Into::into)
    });
    fs::remove_dir_all(&directory).ok();
    result?;
    slopes.write(flags.out.as_deref().unwrap_or(Path::new(DEFAULT_OUT)))?;
    Ok(())
}

fn bench(flags: &cmd::Slopes, directory: &Path) -> Result<Bench, Box<dyn Error>> {
    let file = PathBuf::from(DEFAULT_SCENARIO);
    Ok(Bench {
        daemon: daemon(flags.daemon.as_deref())?,
        lab: env::current_exe()?,
        file: fs::canonicalize(file)?,
        directory: directory.to_owned(),
        net: flags.net.unwrap_or(DEFAULT_NET),
    })
}

/// Cores and load of the machine when the run begins.
fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split_whitespace().next().unwrap_or("unknown");
    format!("{cores} cores, load average {load} at the start")
}

//! `lab run`.

use {
    crate::cmd::Run,
    async_std::task,
    lab::{
        round::{self, Policy, RoundSettings},
        scenario::Scenario,
        summary::Summary,
    },
    std::{
        env,
        error::Error,
        fs::{self, File},
        io::{self, BufWriter},
        path::{Path, PathBuf},
        process,
        sync::Arc,
    },
};

const DEFAULT_NET: u8 = 1;

/// Runs a scenario under the policy and under the baseline, in alternating order.
pub(super) fn run(flags: &Run) -> Result<(), Box<dyn Error>> {
    let mut scenario = Scenario::read(&flags.file)?;
    if let Some(factor) = flags.surge {
        scenario.set_surge_factor(factor);
    }
    let scenario = Arc::new(scenario);
    let directory = env::temp_dir().join(format!("lab-{}", process::id()));
    fs::create_dir_all(&directory)?;
    let summaries = rounds(flags, &scenario, &directory);
    if flags.keep_logs {
        eprintln!("lab: logs are in {}", directory.display());
    } else {
        fs::remove_dir_all(&directory).ok();
    }
    let summaries = summaries?;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&summaries)?);
        return Ok(());
    }
    println!("{}", scenario.name);
    for summary in &summaries {
        println!("\n{}", summary.text());
    }
    Ok(())
}

fn rounds(
    flags: &Run,
    scenario: &Arc<Scenario>,
    directory: &Path,
) -> Result<Vec<Summary>, Box<dyn Error>> {
    let mut summaries = Vec::new();
    for number in 0..flags.rounds.unwrap_or(1) {
        for policy in order(number, flags) {
            eprintln!("lab: round {}, {policy}", number + 1);
            let directory = directory.join(format!("{}-{policy}", number + 1));
            fs::create_dir_all(&directory)?;
            let settings = RoundSettings {
                file: fs::canonicalize(&flags.file)?,
                daemon: daemon(flags.daemon.as_deref())?,
                lab: env::current_exe()?,
                directory,
                net: flags.net.unwrap_or(DEFAULT_NET),
                policy,
                store: !flags.memory,
                forwarders: true,
            };
            let outcome = task::block_on(round::run(scenario, settings))?;
            if let Some(directory) = &flags.history {
                fs::create_dir_all(directory)?;
                let file = directory.join(format!("{}-{policy}.jsonl", number + 1));
                outcome.history.write(BufWriter::new(File::create(file)?))?;
            }
            summaries.push(Summary::new(policy, &outcome));
        }
    }
    Ok(summaries)
}

/// Returns the policies of a round; their order alternates between rounds.
fn order(number: u32, flags: &Run) -> Vec<Policy> {
    let mut policies = vec![Policy::Shallotdeal, Policy::Baseline];
    if number % 2 == 1 {
        policies.reverse();
    }
    policies.retain(|policy| match policy {
        Policy::Shallotdeal => !flags.baseline_only,
        Policy::Baseline => !flags.no_baseline,
    });
    policies
}

/// Path of the daemon's binary: as given, or next to the lab's own.
pub(super) fn daemon(given: Option<&Path>) -> io::Result<PathBuf> {
    let next_to_lab = || {
        let own = env::current_exe()?;
        Ok::<_, io::Error>(own.with_file_name("shallotdeal"))
    };
    let path = given.map_or_else(next_to_lab, |path| Ok(path.to_owned()))?;
    fs::canonicalize(&path)
        .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", path.display())))
}

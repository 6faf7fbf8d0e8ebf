//! `lab overhead`.

use {
    crate::cmd::{Overhead, run::daemon},
    async_std::task,
    lab::{
        round::{Policy, RoundSettings, overhead},
        scenario::Scenario,
    },
    std::{env, error::Error, fs, process, sync::Arc},
};

const DEFAULT_NET: u8 = 1;

/// Compares calls through daemons with direct calls to the backend server.
pub(super) fn run(flags: &Overhead) -> Result<(), Box<dyn Error>> {
    let scenario = Arc::new(Scenario::read(&flags.file)?);
    let directory = env::temp_dir().join(format!("lab-{}", process::id()));
    fs::create_dir_all(&directory)?;
    let settings = RoundSettings {
        file: fs::canonicalize(&flags.file)?,
        daemon: daemon(flags.daemon.as_deref())?,
        lab: env::current_exe()?,
        directory: directory.clone(),
        net: flags.net.unwrap_or(DEFAULT_NET),
        policy: Policy::Shallotdeal,
        store: false,
        forwarders: false,
    };
    let result = task::block_on(overhead(&scenario, &settings));
    fs::remove_dir_all(&directory).ok();
    let figures = result?;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&figures)?);
    } else {
        print!("{}", figures.text());
    }
    Ok(())
}

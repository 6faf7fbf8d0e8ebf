//! `lab fleet`.

use {
    crate::cmd::{self, run::daemon},
    async_std::task,
    lab::fleet::{self, FleetLauncher},
    std::{env, error::Error, fs, process},
};

const DEFAULT_NET: u8 = 70;
const DEFAULT_DATA_CENTRES: usize = 2;
const MAX_DAEMONS: usize = 100;

/// Measures how fast changes reach all daemons of a fleet.
pub(super) fn run(flags: &cmd::Fleet) -> Result<(), Box<dyn Error>> {
    let data_centres = flags.data_centres.unwrap_or(DEFAULT_DATA_CENTRES);
    if data_centres == 0 || flags.daemons < data_centres || flags.daemons > MAX_DAEMONS {
        return Err(format!("expected {data_centres} to {MAX_DAEMONS} daemons").into());
    }
    let directory = env::temp_dir().join(format!("lab-{}", process::id()));
    fs::create_dir_all(&directory)?;
    let launcher = FleetLauncher {
        daemon: daemon(flags.daemon.as_deref())?,
        directory: directory.clone(),
        net: flags.net.unwrap_or(DEFAULT_NET),
        daemons: flags.daemons,
        data_centres,
    };
    let result = task::block_on(fleet::measure(&launcher));
    fs::remove_dir_all(&directory).ok();
    let figures = result?;
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&figures)?);
    } else {
        print!("{}", figures.text());
    }
    Ok(())
}

//! `lab backend`.

use {
    crate::cmd::Backend,
    async_std::task,
    lab::{
        backend::{BackendSettings, serve},
        scenario::Scenario,
    },
    std::{error::Error, io},
};

/// Runs one stand-in backend server until its process exits.
pub(super) fn run(flags: Backend) -> Result<(), Box<dyn Error>> {
    let scenario = Scenario::read(&flags.scenario)?;
    let service = scenario.service(&flags.service).cloned().ok_or_else(|| {
        io::Error::new(io::ErrorKind::NotFound, "the scenario has no such service")
    })?;
    let settings = BackendSettings {
        worker: flags.worker.unwrap_or(flags.service).into(),
        service,
        listen: flags.listen,
        announce: flags.announce,
        callers: flags.callers,
        seed: flags.seed.unwrap_or(scenario.seed),
    };
    task::block_on(serve(settings))?;
    Ok(())
}

use {
    super::{CommandError, Run, args::Daemon, load},
    crate::{daemon, logs},
};

impl Run for Daemon {
    fn run(&self) -> Result<(), CommandError> {
        let settings = load(&self.config)?;
        logs::init(&settings.log);
        Ok(daemon::run(settings)?)
    }
}

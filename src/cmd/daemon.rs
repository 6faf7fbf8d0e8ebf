use {
    super::{AnySettings, CommandError, Run, args::Daemon, load},
    crate::{
        daemon, logs,
        mesh::daemon::{self as mesh_daemon, Platform},
        platform::{WireProtocol, WireStore},
    },
    std::rc::Rc,
};

impl Run for Daemon {
    fn run(&self) -> Result<(), CommandError> {
        match load(&self.config)? {
            AnySettings::Standalone(settings) => {
                logs::init(&settings.log);
                Ok(daemon::run(*settings)?)
            }
            AnySettings::Mesh(settings) => {
                let log = logs::init_mesh(settings.log_level);
                let platform = Platform {
                    protocol: Rc::new(WireProtocol),
                    store: Rc::new(WireStore::new(settings.store_addr)),
                };
                Ok(mesh_daemon::run(
                    *settings,
                    self.config.clone(),
                    platform,
                    &log.dropped_lines,
                )?)
            }
        }
    }
}

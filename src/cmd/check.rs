use super::{AnySettings, CommandError, Run, args::Check, load};

impl Run for Check {
    fn run(&self) -> Result<(), CommandError> {
        let name = match load(&self.file)? {
            AnySettings::Standalone(settings) => settings.place.name,
            AnySettings::Mesh(settings) => settings.name,
        };
        println!(
            "{}: settings of daemon {name} are valid",
            self.file.display()
        );
        Ok(())
    }
}

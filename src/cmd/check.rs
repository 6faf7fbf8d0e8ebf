use super::{Any, CommandError, Run, args::Check, load};

impl Run for Check {
    fn run(&self) -> Result<(), CommandError> {
        let name = match load(&self.file)? {
            Any::Standalone(settings) => settings.place.name,
            Any::Mesh(settings) => settings.name,
        };
        println!("{}: daemon {name} is set up correctly", self.file.display());
        Ok(())
    }
}

use super::{CommandError, Run, args::Check, load};

impl Run for Check {
    fn run(&self) -> Result<(), CommandError> {
        let settings = load(&self.file)?;
        println!(
            "{}: daemon {} is set up correctly",
            self.file.display(),
            settings.place.name
        );
        Ok(())
    }
}

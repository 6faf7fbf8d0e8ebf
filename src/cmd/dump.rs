use {
    super::{CommandError, Run, args::Dump},
    crate::operators::Client,
};

impl Run for Dump {
    fn run(&self) -> Result<(), CommandError> {
        let client = Client::new(self.address, self.token_env.as_deref())?;
        println!("{}", client.dump(self.json)?);
        Ok(())
    }
}

use {
    super::{CommandError, Run, args::Ask},
    crate::operators::Client,
};

impl Run for Ask {
    fn run(&self) -> Result<(), CommandError> {
        let text = self.text()?;
        let client = Client::new(self.at, self.token_env.as_deref())?;
        println!("{}", client.ask(&text, self.json)?);
        Ok(())
    }
}

impl Ask {
    fn text(&self) -> Result<String, CommandError> {
        match (&self.statements, &self.file) {
            (Some(statements), None) => Ok(statements.clone()),
            (None, Some(path)) => {
                std::fs::read_to_string(path).map_err(|error| CommandError::File {
                    path: path.display().to_string().into(),
                    error,
                })
            }
            _ => Err(CommandError::Refused {
                detail: "expected statements, or --file with a file of them".to_owned(),
            }),
        }
    }
}

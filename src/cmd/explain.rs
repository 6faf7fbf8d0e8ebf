use {
    super::{CommandError, Run, args::Explain, read},
    crate::explain::Timeline,
};

impl Run for Explain {
    fn run(&self) -> Result<(), CommandError> {
        let texts = self
            .files
            .iter()
            .map(|path| read(path).map(|text| (path.display().to_string(), text)))
            .collect::<Result<Vec<_>, _>>()?;
        let files = texts
            .iter()
            .map(|(name, text)| (name.as_str(), text.as_str()));
        print!("{}", Timeline::collect(&self.id, files)?);
        Ok(())
    }
}

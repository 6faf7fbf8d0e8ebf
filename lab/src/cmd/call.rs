//! `lab call`.

use {
    crate::cmd::Call,
    async_std::task,
    lab::{load::Callers, report::Tally, scenario::Scenario},
    smol_str::SmolStr,
    std::{error::Error, sync::Arc, time::Duration},
};

const DEFAULT_SECONDS: u64 = 5;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends the load of a scenario and prints the results by class.
pub(super) fn run(flags: &Call) -> Result<(), Box<dyn Error>> {
    let scenario = Arc::new(Scenario::read(&flags.scenario)?);
    let (sender, receiver) = async_channel::unbounded();
    let host_data_centres = vec![SmolStr::default(); flags.daemon.len()];
    let tickets = !flags.no_tickets;
    let callers = Callers::new(
        scenario.clone(),
        &flags.daemon,
        host_data_centres,
        tickets,
        sender,
    );
    let controls = callers.controls();
    for (position, load) in scenario.loads.iter().enumerate() {
        if flags.load.as_ref().is_none_or(|only| load.name == only) {
            callers.start(position);
        }
    }
    task::block_on(async {
        task::sleep(Duration::from_secs(
            flags.seconds.unwrap_or(DEFAULT_SECONDS),
        ))
        .await;
        controls.stop();
        while controls.in_flight() > 0 {
            task::sleep(POLL_INTERVAL).await;
        }
    });
    let mut records = Vec::new();
    while let Ok(record) = receiver.try_recv() {
        records.push(record);
    }
    if flags.records {
        for record in &records {
            println!("{}", serde_json::to_string(record)?);
        }
    }
    print!("{}", Tally::table(&Tally::by_class(&scenario, &records)));
    Ok(())
}

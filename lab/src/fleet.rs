//! Measures how fast changes reach all daemons of a real fleet, and the fleet's costs while idle.

mod dump;
mod figures;
mod launcher;

pub use {figures::Figures, launcher::FleetLauncher};

use {
    crate::{
        fleet::{
            dump::{Dump, Dumps},
            figures::{Costs, Row},
            launcher::{Daemon, Fleet},
        },
        platform::{Counts, RunningPlatform},
    },
    async_std::task,
    derive_more::{Display, Error},
    smol_str::{SmolStr, ToSmolStr, format_smolstr},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time limit for a change to reach all daemons.
const CHANGE_LIMIT: Duration = Duration::from_secs(12);
/// Time limit for a fleet to form.
const FORM_LIMIT: Duration = Duration::from_secs(25);
/// Wait between the forming of a fleet and the first measurement.
const SETTLE_DURATION: Duration = Duration::from_secs(3);
/// Duration of the measurement of costs while idle.
const IDLE_DURATION: Duration = Duration::from_secs(10);
/// Number of measured configuration changes.
const CHANGES: usize = 5;
/// Number of daemons that join, are drained and are killed.
const JOINS: usize = 3;
const KNOWN_ELSEWHERE: &str = "join: offer known elsewhere";

/// Error that ends the measurement.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("{step}: {detail}")]
pub struct FleetError {
    /// Step that failed.
    pub step: &'static str,
    /// Cause.
    pub detail: SmolStr,
}

impl FleetError {
    /// Creates the error of one step.
    pub fn new(step: &'static str, detail: &dyn std::fmt::Display) -> Self {
        Self {
            step,
            detail: detail.to_smolstr(),
        }
    }
}

/// Starts a fleet and measures it.
pub async fn measure(launcher: &FleetLauncher) -> Result<Figures, FleetError> {
    let store = launcher.start_store().await?;
    let mut fleet = launcher.start(&store)?;
    let mut rows = vec![Row::new("form")];
    let start = Instant::now();
    let formed = fleet.wait_until(start, FORM_LIMIT, Fleet::is_formed).await;
    rows[0].add(formed);
    if formed.is_none() {
        return Err(FleetError::new(
            "form the fleet",
            &fleet.incomplete_daemons().await,
        ));
    }
    task::sleep(SETTLE_DURATION).await;
    let costs = idle_costs(&fleet, &store).await;
    rows.extend(configuration_changes(&fleet).await);
    rows.extend(joins_and_deaths(launcher, &store, &mut fleet).await?);
    let figures = Figures {
        daemons: launcher.daemons,
        data_centres: launcher.data_centres,
        machine: figures::machine(),
        poll_interval_ms: fleet.median_poll_interval_ms(),
        rows,
        costs,
    };
    drop(fleet);
    store.task.cancel().await;
    Ok(figures)
}

/// Measures costs while nothing changes.
async fn idle_costs(fleet: &Fleet, store: &RunningPlatform) -> Costs {
    let before = fleet.dumps().await;
    let (before_ms, counts_before) = (fleet.processor_ms(), store.platform.report().counts);
    let start = Instant::now();
    task::sleep(IDLE_DURATION).await;
    let seconds = start.elapsed().as_secs_f64();
    let (after_ms, counts) = (fleet.processor_ms(), store.platform.report().counts);
    let after = fleet.dumps().await;
    let daemons = fleet.daemons.len() as f64;
    let rate = |name: &str| {
        let total = |dumps: &Dumps| {
            dumps
                .iter()
                .flatten()
                .map(|it| it.gossip_total(name))
                .sum::<u64>()
        };
        total(&after).saturating_sub(total(&before)) as f64 / seconds / daemons
    };
    Costs {
        sent_bytes_per_s: rate("sent_bytes"),
        received_bytes_per_s: rate("received_bytes"),
        sent_datagrams_per_s: rate("sent_datagrams"),
        processor_ms_per_s: (after_ms - before_ms) as f64 / seconds / daemons,
        resident_bytes: fleet.resident_bytes(),
        store_calls_per_s: calls_per_s(&counts_before, &counts, seconds),
        waiting_watches: counts.waiting_watches,
    }
}

fn calls_per_s(before: &Counts, after: &Counts, seconds: f64) -> BTreeMap<String, f64> {
    let rate = |(name, count): (&String, &u64)| {
        let known = before.calls.get(name).copied().unwrap_or(0);
        (name.clone(), (count - known) as f64 / seconds)
    };
    after.calls.iter().map(rate).collect()
}

/// Measures configuration changes, each sent to a different daemon.
async fn configuration_changes(fleet: &Fleet) -> [Row; 2] {
    let mut rows = [
        Row::new("configuration: told accepted"),
        Row::new("configuration: in force everywhere"),
    ];
    for number in 0..CHANGES {
        let before = fleet.dumps().await;
        let revision = before.iter().flatten().map(Dump::revision).max();
        let entry = &fleet.daemons[number * fleet.daemons.len() / CHANGES];
        let start = Instant::now();
        let text = format!("create service s{number}");
        let (accepted, in_force) = futures::join!(
            entry.ask(&text),
            fleet.wait_until(start, CHANGE_LIMIT, |_, dumps| {
                let is_old = |it: &Dump| Some(it.revision()) <= revision;
                dumps
                    .iter()
                    .all(|it| it.as_ref().is_some_and(|it| !is_old(it)))
            })
        );
        rows[0].add(accepted);
        rows[1].add(in_force);
    }
    rows
}

/// Measures daemons that join, are drained and are killed, one after the other.
async fn joins_and_deaths(
    launcher: &FleetLauncher,
    store: &RunningPlatform,
    fleet: &mut Fleet,
) -> Result<Vec<Row>, FleetError> {
    let mut rows: Vec<Row> = Vec::new();
    for number in 0..JOINS {
        let service = format_smolstr!("joined-{number}");
        let start = Instant::now();
        let mut daemon = launcher.start_daemon(launcher.daemons + number, &service, store)?;
        let joined = JoinedDaemon {
            fleet,
            name: daemon.settings.name.clone(),
            data_centre: daemon.settings.data_centre.clone(),
        };
        let mut samples = joined.measure(&service, &mut daemon, start).await;
        samples.retain(|(name, _)| launcher.data_centres > 1 || *name != KNOWN_ELSEWHERE);
        for (position, (name, sample)) in samples.into_iter().enumerate() {
            if rows.len() == position {
                rows.push(Row::new(name));
            }
            rows[position].add(sample);
        }
    }
    Ok(rows)
}

/// A daemon that joins the fleet, as seen by the others.
struct JoinedDaemon<'f> {
    fleet: &'f Fleet,
    name: SmolStr,
    data_centre: SmolStr,
}

type Sample = (&'static str, Option<Duration>);

impl JoinedDaemon<'_> {
    async fn measure(&self, service: &str, daemon: &mut Daemon, start: Instant) -> Vec<Sample> {
        let (known_in_data_centre, known_elsewhere) = futures::join!(
            self.wait_in_data_centre(start, |it| it.is_some_and(dump::Member::has_worker)),
            self.fleet.wait_until(start, CHANGE_LIMIT, |fleet, dumps| {
                fleet.all_dumps(dumps, |data_centre, dump| {
                    *data_centre == self.data_centre || dump.has_offers(service)
                })
            })
        );
        let drain_start = Instant::now();
        let drain_text = format!("drain worker {}", self.name);
        let (drain_accepted, drained) = futures::join!(
            self.fleet.daemons[0].ask(&drain_text),
            self.wait_in_data_centre(drain_start, |it| it.is_some_and(dump::Member::is_draining))
        );
        let undrain_start = Instant::now();
        let undrain_text = format!("undrain worker {}", self.name);
        let (undrain_accepted, undrained) = futures::join!(
            self.fleet.daemons[0].ask(&undrain_text),
            self.wait_in_data_centre(undrain_start, |it| it
                .is_some_and(|member| !member.is_draining()))
        );
        let killed_at = Instant::now();
        daemon.kill().await;
        let (suspected, dead) = futures::join!(
            self.wait_in_data_centre(killed_at, |it| it.is_none_or(|member| !member.is_alive())),
            self.wait_in_data_centre(killed_at, |it| it.is_none_or(dump::Member::is_dead))
        );
        vec![
            (
                "join: worker known in its data centre",
                known_in_data_centre,
            ),
            (KNOWN_ELSEWHERE, known_elsewhere),
            ("drain: told accepted", drain_accepted),
            ("drain: known in its data centre", drained),
            ("undrain: told accepted", undrain_accepted),
            ("undrain: known in its data centre", undrained),
            ("death: suspected in its data centre", suspected),
            ("death: dead in its data centre", dead),
        ]
    }

    /// Time until `test` holds for the member in the dumps of all daemons of its data centre.
    async fn wait_in_data_centre(
        &self,
        start: Instant,
        test: impl Fn(Option<dump::Member<'_>>) -> bool,
    ) -> Option<Duration> {
        let holds = |fleet: &Fleet, dumps: &Dumps| {
            fleet.all_dumps(dumps, |data_centre, dump| {
                *data_centre != self.data_centre || test(dump.member(&self.name))
            })
        };
        self.fleet.wait_until(start, CHANGE_LIMIT, holds).await
    }
}

//! How fast a fleet of real daemons learns of changes, and what that costs at rest.

mod bench;
mod figures;
mod watch;

pub use {bench::Bench, figures::Figures};

use {
    crate::{
        fleet::{
            bench::{Daemon, Fleet},
            figures::{Costs, Row},
            watch::{Look, Sight},
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

/// Time for a change to be seen everywhere.
const LIMIT: Duration = Duration::from_secs(12);
/// Time for a fleet to form.
const FORM_LIMIT: Duration = Duration::from_secs(25);
/// Time that a formed fleet gets before it is measured.
const SETTLE: Duration = Duration::from_secs(3);
const QUIET: Duration = Duration::from_secs(10);
const CHANGES: usize = 5;
const LIVES: usize = 3;
const ELSEWHERE: &str = "join: offer known elsewhere";

/// Failure that ends the measurement.
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
    /// Error of one step.
    pub fn new(step: &'static str, detail: &dyn std::fmt::Display) -> Self {
        Self {
            step,
            detail: detail.to_smolstr(),
        }
    }
}

/// Starts a fleet and measures it.
pub async fn measure(bench: &Bench) -> Result<Figures, FleetError> {
    let store = bench.start_store().await?;
    let mut fleet = bench.start(&store)?;
    let mut rows = vec![Row::new("form")];
    let start = Instant::now();
    let formed = fleet.wait(start, FORM_LIMIT, Fleet::is_formed).await;
    rows[0].add(formed);
    if formed.is_none() {
        return Err(FleetError::new("form the fleet", &fleet.missing().await));
    }
    task::sleep(SETTLE).await;
    let costs = quiet(&fleet, &store).await;
    rows.extend(configuration(&fleet).await);
    rows.extend(lives(bench, &store, &mut fleet).await?);
    let figures = Figures {
        daemons: bench.daemons,
        data_centres: bench.data_centres,
        machine: figures::machine(),
        look_ms: fleet.look_ms(),
        rows,
        costs,
    };
    drop(fleet);
    store.task.cancel().await;
    Ok(figures)
}

/// Costs while nothing changes.
async fn quiet(fleet: &Fleet, store: &RunningPlatform) -> Costs {
    let before = fleet.look().await;
    let (before_ms, counts_before) = (fleet.processor_ms(), store.platform.report().counts);
    let start = Instant::now();
    task::sleep(QUIET).await;
    let seconds = start.elapsed().as_secs_f64();
    let (after_ms, counts) = (fleet.processor_ms(), store.platform.report().counts);
    let after = fleet.look().await;
    let daemons = fleet.daemons.len() as f64;
    let rate = |name: &str| {
        let total = |look: &Look| look.iter().flatten().map(|it| it.gossip(name)).sum::<u64>();
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

/// Changes of the configuration, each given to another daemon.
async fn configuration(fleet: &Fleet) -> [Row; 2] {
    let mut rows = [
        Row::new("configuration: told accepted"),
        Row::new("configuration: in force everywhere"),
    ];
    for number in 0..CHANGES {
        let before = fleet.look().await;
        let revision = before.iter().flatten().map(Sight::revision).max();
        let entry = &fleet.daemons[number * fleet.daemons.len() / CHANGES];
        let start = Instant::now();
        let text = format!("create service s{number}");
        let (told, seen) = futures::join!(
            entry.ask(&text),
            fleet.wait(start, LIMIT, |_, look| {
                let behind = |it: &Sight| Some(it.revision()) <= revision;
                look.iter()
                    .all(|it| it.as_ref().is_some_and(|it| !behind(it)))
            })
        );
        rows[0].add(told);
        rows[1].add(seen);
    }
    rows
}

/// Daemons that join, are drained and die, one after the other.
async fn lives(
    bench: &Bench,
    store: &RunningPlatform,
    fleet: &mut Fleet,
) -> Result<Vec<Row>, FleetError> {
    let mut rows: Vec<Row> = Vec::new();
    for number in 0..LIVES {
        let service = format_smolstr!("joined-{number}");
        let start = Instant::now();
        let mut daemon = bench.start_daemon(bench.daemons + number, &service, store)?;
        let life = Life {
            fleet,
            name: daemon.settings.name.clone(),
            data_centre: daemon.settings.data_centre.clone(),
        };
        let mut samples = life.measure(&service, &mut daemon, start).await;
        samples.retain(|(name, _)| bench.data_centres > 1 || *name != ELSEWHERE);
        for (position, (name, sample)) in samples.into_iter().enumerate() {
            if rows.len() == position {
                rows.push(Row::new(name));
            }
            rows[position].add(sample);
        }
    }
    Ok(rows)
}

/// One daemon that joins the fleet.
struct Life<'f> {
    fleet: &'f Fleet,
    name: SmolStr,
    data_centre: SmolStr,
}

type Sample = (&'static str, Option<Duration>);

impl Life<'_> {
    async fn measure(&self, service: &str, daemon: &mut Daemon, start: Instant) -> Vec<Sample> {
        let (near, far) = futures::join!(
            self.near(start, |it| it.is_some_and(watch::Member::has_worker)),
            self.fleet.wait(start, LIMIT, |fleet, look| {
                fleet.all(look, |place, sight| {
                    *place == self.data_centre || sight.offers(service)
                })
            })
        );
        let drain_start = Instant::now();
        let drain_text = format!("drain worker {}", self.name);
        let (drain_told, drained) = futures::join!(
            self.fleet.daemons[0].ask(&drain_text),
            self.near(drain_start, |it| it.is_some_and(watch::Member::is_draining))
        );
        let undrain_start = Instant::now();
        let undrain_text = format!("undrain worker {}", self.name);
        let (undrain_told, undrained) = futures::join!(
            self.fleet.daemons[0].ask(&undrain_text),
            self.near(undrain_start, |it| it
                .is_some_and(|member| !member.is_draining()))
        );
        let death = Instant::now();
        daemon.kill().await;
        let (suspected, dead) = futures::join!(
            self.near(death, |it| it.is_none_or(|member| !member.is_alive())),
            self.near(death, |it| it.is_none_or(watch::Member::is_dead))
        );
        vec![
            ("join: worker known in its data centre", near),
            (ELSEWHERE, far),
            ("drain: told accepted", drain_told),
            ("drain: known in its data centre", drained),
            ("undrain: told accepted", undrain_told),
            ("undrain: known in its data centre", undrained),
            ("death: suspected in its data centre", suspected),
            ("death: dead in its data centre", dead),
        ]
    }

    /// Time until all daemons of the data centre hold `test` of the member.
    async fn near(
        &self,
        start: Instant,
        test: impl Fn(Option<watch::Member<'_>>) -> bool,
    ) -> Option<Duration> {
        let seen = |fleet: &Fleet, look: &Look| {
            fleet.all(look, |place, sight| {
                *place != self.data_centre || test(sight.member(&self.name))
            })
        };
        self.fleet.wait(start, LIMIT, seen).await
    }
}

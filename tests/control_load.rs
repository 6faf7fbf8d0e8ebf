//! Number of store calls as the fleet grows, counted in virtual time.

use {
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    shallotdeal::{
        config::Config,
        control::{
            election::ReaderRole,
            load::FleetSize,
            watcher::{Step, Watcher},
        },
        store::{Entry, Version},
    },
    smol_str::{SmolStr, format_smolstr},
    std::{cmp::Reverse, collections::BinaryHeap},
};

const RUN_MS: u64 = 600_000;
const CHANGE_INTERVAL_MS: u64 = 86_400_000 / 2_900;

struct StoreCalls {
    calls: u64,
    max_waiting: usize,
}

/// Counts the store calls of one data centre's readers, with changes at the planned rate.
fn count_calls(daemons: usize) -> StoreCalls {
    let names: Vec<SmolStr> = (0..daemons)
        .map(|index| format_smolstr!("d{index}"))
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut watchers = vec![Watcher::new(); daemons];
    let mut queue: BinaryHeap<_> = (0..daemons).map(|index| Reverse((0, index))).collect();
    let value = Config::initial().encode();
    let mut counted = StoreCalls {
        calls: 0,
        max_waiting: 0,
    };
    let mut waiting = vec![0; daemons];
    while let Some(Reverse((now_ms, index))) = queue.pop() {
        if now_ms >= RUN_MS {
            break;
        }
        let role = ReaderRole::of(&names[index], names.iter().map(SmolStr::as_str), now_ms);
        let next_ms = match watchers[index].step(role) {
            Step::Pause { pause_ms } => now_ms + u64::from(pause_ms),
            Step::Watch { after, wait_ms } => {
                counted.calls += u64::from(now_ms > 0);
                let (until_ms, entry) = watch(now_ms, after, wait_ms, &value);
                let _ = watchers[index].on_response(Ok(entry), &mut rng);
                waiting[index] = until_ms;
                let now_waiting = waiting
                    .iter()
                    .filter(|until_ms| **until_ms > now_ms)
                    .count();
                counted.max_waiting = counted.max_waiting.max(now_waiting);
                until_ms.max(now_ms + 1)
            }
        };
        queue.push(Reverse((next_ms, index)));
    }
    counted
}

/// End time and result of a watch.
fn watch(now_ms: u64, after: Version, wait_ms: u32, value: &[u8]) -> (u64, Option<Entry>) {
    let entry = |version| Entry {
        key: "config".into(),
        version: Version(version),
        value: value.to_vec(),
    };
    let version = now_ms / CHANGE_INTERVAL_MS + 1;
    if version > after.0 {
        return (now_ms, Some(entry(version)));
    }
    let next_change_ms = version * CHANGE_INTERVAL_MS;
    let end_ms = now_ms + u64::from(wait_ms);
    if next_change_ms < end_ms {
        return (next_change_ms, Some(entry(version + 1)));
    }
    (end_ms, None)
}

#[test]
fn calls_do_not_grow_with_the_daemons_of_a_data_centre() {
    let mut lines = Vec::new();
    for daemons in [1, 10, 40, 150] {
        let counted = count_calls(daemons);
        let fleet = FleetSize {
            data_centres: 10,
            daemons: daemons as u32 * 10,
            starts_per_day: 0,
            changes_per_day: 2_900,
        };
        let load = fleet.store_load();
        let calls_per_s = counted.calls as f64 * 10.0 * 1_000.0 / RUN_MS as f64;
        assert!(calls_per_s <= load.reads_per_s, "{daemons}: {calls_per_s}");
        assert!(counted.max_waiting * 10 <= load.waiting_watches as usize + 10);
        lines.push(format!(
            "{} daemons: counted {calls_per_s:.2}/s, at most {:.2}/s, {} waiting",
            fleet.daemons, load.reads_per_s, load.waiting_watches
        ));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
10 daemons: counted 0.35/s, at most 1.04/s, 10 waiting
100 daemons: counted 0.95/s, at most 1.70/s, 20 waiting
400 daemons: counted 1.03/s, at most 1.70/s, 20 waiting
1500 daemons: counted 1.03/s, at most 1.70/s, 20 waiting
");
}

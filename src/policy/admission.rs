//! Admission of callers' requests at the edge, by what is scarce deep in the call graph.
//!
//! Load pattern: a burst of requests whose nested calls meet at one small service. Each answer tells
//! the most loaded service that it met. For each such service the edge keeps a level over the classes
//! of requests that lead there, the most important first: classes below the level are admitted, the
//! class at the level in part, the others refused at once, before they have cost any work. The level
//! integrates the distance between the load and its target, so it settles where the admitted
//! requests fill the scarce service and no more.

use {
    crate::{
        collections::HashMap,
        request::{Importance, ServiceName},
    },
    smol_str::SmolStr,
};

/// Load that the level aims at, in thousandths of the room: all slots in use and a short queue.
const TARGET_PERMILLE: f64 = 1_000.0;

/// Classes that the level moves in a second at a load of twice the target.
const GAIN_PER_S: f64 = 2.0;

/// Largest distance from the target that moves the level, in thousandths, so that one full queue
/// does not close it at once.
const MAX_ERROR_PERMILLE: f64 = 1_000.0;

/// Factor on upward moves: opening too far costs more than opening late.
const OPENING: f64 = 1.5;

/// Longest time that one report counts for; a level moves on reports only.
const MAX_STEP_US: u64 = 200_000;

/// Time without a report after which what was learnt about a class is void.
const STALE_US: u64 = 5_000_000;

/// Rate at which a level opens while no report comes, in classes per second.
const IDLE_OPENING_PER_S: f64 = 0.5;

/// Part of a class that is admitted at least, so that its load is seen.
const PROBE_SHARE: f64 = 0.03;

/// Weight of one report in the load that a class meets.
const LOAD_WEIGHT: f64 = 0.1;

#[derive(Debug)]
struct Class {
    importance: Importance,
    scarce: ServiceName,
    load_permille: f64,
    seen_us: u64,
}

#[derive(Debug)]
struct Level {
    value: f64,
    moved_us: u64,
}

/// Verdict on a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Go on.
    Admit,
    /// Refuse at once.
    Refuse {
        /// Service that has no room.
        scarce: ServiceName,
        /// Its load as last seen, in thousandths.
        load_permille: u32,
        /// Part of the class that is admitted at present.
        admitted_share: f64,
    },
}

/// Admission state of one daemon.
#[derive(Debug, Default)]
pub struct Admission {
    classes: HashMap<SmolStr, Class>,
    levels: HashMap<ServiceName, Level>,
}

impl Admission {
    /// Decides on a request of a class; `draw` is uniform between 0 and 1.
    pub fn decide(&mut self, class: &str, draw: f64, now_us: u64) -> Verdict {
        let Some(known) = self.classes.get(class) else {
            return Verdict::Admit;
        };
        if now_us.saturating_sub(known.seen_us) > STALE_US {
            return Verdict::Admit;
        }
        let place = self.place(class, known) as f64;
        let classes = self.leading_to(&known.scarce) as f64;
        let Some(level) = self.levels.get_mut(&known.scarce) else {
            return Verdict::Admit;
        };
        level.open(classes, now_us);
        let share = (level.value - place).clamp(PROBE_SHARE, 1.0);
        if draw < share {
            return Verdict::Admit;
        }
        Verdict::Refuse {
            scarce: known.scarce.clone(),
            load_permille: known.load_permille as u32,
            admitted_share: share,
        }
    }

    /// Takes the most loaded service that a request of a class met.
    pub fn report(
        &mut self,
        class: &SmolStr,
        importance: Importance,
        scarce: &ServiceName,
        load_permille: u32,
        now_us: u64,
    ) {
        let load = f64::from(load_permille);
        match self.classes.get_mut(class) {
            Some(known) if known.scarce == *scarce => {
                known.load_permille += (load - known.load_permille) * LOAD_WEIGHT;
                known.seen_us = now_us;
                known.importance = importance;
            }
            Some(known)
                if load < known.load_permille
                    && now_us.saturating_sub(known.seen_us) < STALE_US / 4 =>
            {
                // Another service stood out this once.
                known.load_permille += (load - known.load_permille) * LOAD_WEIGHT;
                return;
            }
            _ => {
                let known = Class {
                    importance,
                    scarce: scarce.clone(),
                    load_permille: load,
                    seen_us: now_us,
                };
                self.classes.insert(class.clone(), known);
            }
        }
        let classes = self.leading_to(scarce) as f64;
        let level = self.levels.entry(scarce.clone()).or_insert(Level {
            value: classes,
            moved_us: now_us,
        });
        level.step(load, classes, now_us);
    }

    /// Part of a class that is admitted at present.
    pub fn share(&self, class: &str) -> f64 {
        let Some(known) = self.classes.get(class) else {
            return 1.0;
        };
        let level = self.levels.get(&known.scarce);
        let place = self.place(class, known) as f64;
        level.map_or(1.0, |level| (level.value - place).clamp(PROBE_SHARE, 1.0))
    }

    /// Level of each scarce service with the number of classes that lead there, for logs.
    pub fn levels(&self) -> String {
        let levels = self.levels.iter().map(|(service, level)| {
            let classes = self.leading_to(service);
            format!("{service}:{:.2}/{classes}", level.value)
        });
        levels.collect::<Vec<_>>().join(" ")
    }

    /// Classes that lead to the same service and come before this one.
    fn place(&self, name: &str, class: &Class) -> usize {
        let before = self.classes.iter().filter(|(other, known)| {
            known.scarce == class.scarce
                && (known.importance, other.as_str()) < (class.importance, name)
        });
        before.count()
    }

    fn leading_to(&self, scarce: &str) -> usize {
        let classes = self.classes.values();
        classes.filter(|class| class.scarce == scarce).count()
    }
}

impl Level {
    fn step(&mut self, load_permille: f64, classes: f64, now_us: u64) {
        let step_us = now_us.saturating_sub(self.moved_us).min(MAX_STEP_US) as f64;
        self.moved_us = now_us;
        let error = (TARGET_PERMILLE - load_permille)
            .clamp(-MAX_ERROR_PERMILLE, MAX_ERROR_PERMILLE)
            / TARGET_PERMILLE;
        let gain = if error > 0.0 { OPENING } else { 1.0 } * GAIN_PER_S;
        self.value = (self.value + error * gain * step_us / 1e6).clamp(0.0, classes);
    }

    /// Opens while nothing is heard.
    fn open(&mut self, classes: f64, now_us: u64) {
        let idle_us = now_us
            .saturating_sub(self.moved_us)
            .saturating_sub(MAX_STEP_US);
        if idle_us > 0 {
            self.moved_us += idle_us;
            self.value = (self.value + IDLE_OPENING_PER_S * idle_us as f64 / 1e6).min(classes);
        }
    }
}

//! Network between the operators' daemons and the store.

use {
    super::world::{Event, Input, US_PER_MS, World},
    rand::RngExt,
    shallotdeal::{
        config::{CONFIG_KEY, Config},
        store::{StoreError, Swap, Version},
    },
};

const STORE_TIMEOUT_US: u64 = 2_000_000;

/// Call to the store, with the operator and the serial number of its attempt.
pub(super) enum StoreCall {
    Read(usize, u64),
    Write(usize, u64, Version, Vec<u8>),
}

impl World {
    pub(super) fn send(&mut self, call: StoreCall) {
        let slow = self.slow_until_us > self.now_us;
        let delay_ms = self.rng.random_range(1..if slow { 4_000 } else { 20 });
        if self.chance(5) {
            return self.lose_call(&call);
        }
        self.after(delay_ms * US_PER_MS, Event::CallArrives(call));
    }

    pub(super) fn arrive(&mut self, call: StoreCall) {
        let (StoreCall::Read(operator, _) | StoreCall::Write(operator, ..)) = call;
        if self.is_store_unreachable(self.operators[operator].daemon) {
            return self.reply_unavailable(&call);
        }
        match call {
            StoreCall::Read(operator, serial) => {
                let entry = self.table.get(CONFIG_KEY, self.now_us);
                self.reply(operator, serial, Input::Read(Ok(entry)));
            }
            StoreCall::Write(operator, serial, expected, value) => {
                self.write(operator, serial, expected, value);
            }
        }
    }

    fn write(&mut self, operator: usize, serial: u64, expected: Version, value: Vec<u8>) {
        let config = Config::decode(&value).expect("a configuration");
        let swap = self
            .table
            .swap(CONFIG_KEY, expected, value, None, self.now_us)
            .expect("no lease is needed");
        if matches!(swap, Swap::Applied(_)) {
            self.record.applied(&config);
        }
        if self.chance(25) {
            self.record.lost_responses += 1;
            let input = Input::Written(Err(uncertain()));
            return self.after(STORE_TIMEOUT_US, Event::Advance(operator, serial, input));
        }
        self.reply(operator, serial, Input::Written(Ok(swap)));
    }

    /// Delivers a response after a short delay. A response that takes longer than the timeout of
    /// its call counts as lost.
    fn reply(&mut self, operator: usize, serial: u64, input: Input) {
        let delay_ms = self.rng.random_range(1..20);
        self.after(
            delay_ms * US_PER_MS,
            Event::Advance(operator, serial, input),
        );
    }

    /// Loses a call, which its sender cannot distinguish from a lost response. A lost write may
    /// still arrive much later.
    fn lose_call(&mut self, call: &StoreCall) {
        match call {
            StoreCall::Read(operator, serial) => {
                let input = Input::Read(Err(unavailable("get")));
                self.after(STORE_TIMEOUT_US, Event::Advance(*operator, *serial, input));
            }
            StoreCall::Write(operator, serial, expected, value) => {
                let input = Input::Written(Err(uncertain()));
                self.after(STORE_TIMEOUT_US, Event::Advance(*operator, *serial, input));
                let late_us = self.rng.random_range(1_000..15_000) * US_PER_MS;
                let late = StoreCall::Write(*operator, 0, *expected, value.clone());
                self.after(late_us, Event::CallArrives(late));
            }
        }
    }

    fn reply_unavailable(&mut self, call: &StoreCall) {
        match call {
            StoreCall::Read(operator, serial) => {
                let input = Input::Read(Err(unavailable("get")));
                self.reply(*operator, *serial, input);
            }
            StoreCall::Write(operator, serial, ..) => {
                let input = Input::Written(Err(unavailable("swap")));
                self.reply(*operator, *serial, input);
            }
        }
    }
}

pub(super) fn unavailable(step: &'static str) -> StoreError {
    StoreError::Unavailable {
        step,
        peer: "store".into(),
        detail: "outage".into(),
    }
}

fn uncertain() -> StoreError {
    StoreError::Uncertain {
        step: "swap",
        peer: "store".into(),
        detail: "timeout".into(),
    }
}

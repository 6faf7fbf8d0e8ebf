//! State of the process on request.

use {
    crate::{
        node::Node,
        operators::{Operate, Reply},
    },
    async_trait::async_trait,
    serde_json::{Value, json},
    std::sync::Arc,
};

impl Node {
    /// State of the process, with units in the names.
    pub fn describe(&self) -> Value {
        let now = self.now();
        let config = self.config();
        let local = self.local.lock();
        json!({
            "place": self.settings.place,
            "policy": self.settings.policy.to_string(),
            "revision": config.revision,
            "worker": local.worker,
            "gate": local.gate.report(now.us),
            "drain": local.drain.report(),
            "suspects": local.suspects.list(now.unix_ms),
            "accounts": local.accounts.len(),
            "running": local.running.len(),
            "counters": self.metrics.snapshot(),
        })
    }
}

#[async_trait]
impl Operate for Arc<Node> {
    async fn ask(&self, _statements: &str, _as_json: bool) -> Reply {
        Reply {
            is_done: false,
            text: "statements are not taken yet\n".to_owned(),
        }
    }

    fn dump(&self, as_json: bool) -> String {
        let state = self.describe();
        if as_json {
            return state.to_string();
        }
        let mut text = String::new();
        write_tree(&state, 0, &mut text);
        text
    }
}

/// Writes a value as an indented tree of `name: value` lines.
fn write_tree(value: &Value, depth: usize, text: &mut String) {
    let indent = "  ".repeat(depth);
    let entries: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields
            .iter()
            .map(|(name, value)| (name.clone(), value))
            .collect(),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .map(|(index, value)| (index.to_string(), value))
            .collect(),
        _ => return,
    };
    for (name, value) in entries {
        if value.is_object() || value.is_array() {
            text.push_str(&format!("{indent}{name}:\n"));
            write_tree(value, depth + 1, text);
        } else {
            text.push_str(&format!("{indent}{name}: {value}\n"));
        }
    }
}

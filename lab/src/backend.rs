//! Stand-in backend server with slots, random service times, nested calls and a record of each run.

pub(crate) mod announce;
mod answer;
mod server;
mod service_times;

pub use crate::backend::{
    answer::{AnswerError, answer_body, check_body},
    server::{BackendSettings, serve},
};

//! Stand-in backend server: slots, service times, nested calls, and a record of every run.

pub(crate) mod announce;
mod answer;
mod server;
mod work;

pub use crate::backend::{
    answer::{AnswerFault, answer_body, check_body},
    server::{BackendSettings, serve},
};

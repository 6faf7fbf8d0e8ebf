//! The operators' language: questions about the state of the system, and changes of its
//! configuration.

pub mod answer;
pub mod error;
pub mod executor;
pub mod grammar;
pub mod lexer;
pub mod render;
pub mod route;
pub mod secret;
pub mod statement;
pub mod units;
pub mod view;

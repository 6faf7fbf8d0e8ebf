//! The operators' language: questions about what is enforced, and changes of it.

pub mod answer;
pub mod executor;
pub mod fault;
pub mod grammar;
pub mod lexer;
pub mod render;
pub mod route;
pub mod secret;
pub mod statement;
pub mod units;
pub mod view;

//! Whole daemons on one thread with stand-ins for the platform's store, workers and clients.

mod answers;
mod explained;
mod planned;
mod requests;
mod store;
mod world;
#[path = "../writers/mod.rs"]
mod writers;

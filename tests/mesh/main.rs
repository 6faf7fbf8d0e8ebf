//! Complete daemons on one thread, with stand-ins for the platform's store, workers and clients.

mod answers;
mod endless;
mod era;
mod explained;
mod harness;
mod left;
mod need;
mod odd_input;
mod organisations;
mod planned;
mod replies;
mod requests;
mod store;
#[path = "../writers/mod.rs"]
mod writers;

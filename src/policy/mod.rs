//! Decisions without I/O: input and the present time go in, verdicts come out.

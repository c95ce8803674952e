//! A fleet in virtual time, and the bound that must hold in each history.

#![allow(dead_code, reason = "each test file uses another part")]

pub mod bound;
pub mod fleet;
pub mod load;
pub mod small;

//! An open-loop load tool: seeded arrivals that wait for nobody, every answer checked in full.

pub mod answer;
pub mod call;
pub mod mix;
pub mod plot;
pub mod prompt;
pub mod report;
pub mod run;

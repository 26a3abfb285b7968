//! How full the engines of a service are, from which their capacity is estimated.

use std::fmt;
use std::time::Duration;

use crate::LoadLimits;
use crate::Registry;
use crate::Service;
use crate::choice;

/// The mean fractions of the engines' limits that are in use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineFill {
    /// Running requests.
    pub running: f64,
    /// Waiting prompt tokens.
    pub backlog: f64,
    /// Memory.
    pub memory: f64,
    /// Of each engine, the limit that is nearest, at most 1.
    pub nearest: f64,
}

impl EngineFill {
    /// Returns how full the engines of a service are that may be used; `None` if there are none.
    ///
    /// Engines for which this router has no credit can't be filled, however much of their limits is free.
    pub(crate) fn of(
        now: Duration,
        registry: &Registry,
        service: &Service,
        limits: LoadLimits,
    ) -> Option<Self> {
        let engine = service.engine?;
        let memory_limit = choice::usable_memory(&engine).max(1) as f64;
        let (mut sum, mut count) = (Self::default(), 0.0);
        for (_, runner) in registry.serving(service.name.as_str()) {
            if !runner.may_be_sent(now) || runner.lacks_credits(now) || !runner.has_credit(now) {
                continue;
            }
            let load = runner.load();
            let slots = limits.running.min(runner.registration.slots).min(engine.slots);
            let running = f64::from(load.running) / f64::from(slots.max(1));
            let backlog =
                load.backlog as f64 * runner.pace.factor(now) / limits.backlog.max(1) as f64;
            let memory = load.memory as f64 / memory_limit;
            sum.running += running;
            sum.backlog += backlog;
            sum.memory += memory;
            sum.nearest += running.max(backlog).max(memory).min(1.0);
            count += 1.0;
        }
        (count > 0.0).then(|| Self {
            running: sum.running / count,
            backlog: sum.backlog / count,
            memory: sum.memory / count,
            nearest: sum.nearest / count,
        })
    }
}

impl fmt::Display for EngineFill {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { running, backlog, memory, nearest } = self;
        write!(formatter, "mean fill: running {running:.2}, backlog {backlog:.2}, ")?;
        write!(formatter, "memory {memory:.2}, nearest limit {nearest:.2}")
    }
}

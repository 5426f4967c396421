/// What a node has measured of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Share of requests that failed within the window.
    pub error_rate: f64,
    pub errors_total: u64,
    pub requests_total: u64,
    /// Share of requests turned away for load within the window.
    pub throttled_rate: f64,
    pub p90: f64,
    pub p95: f64,
    pub p99: f64,
    /// Log positions behind the highest known head.
    pub lag: u64,
}

/// A registered server as the policy sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub name: String,
    /// In the fallback group: taken in only when too few others are healthy.
    pub fallback: bool,
    pub metrics: Metrics,
}

/// Why a server is in or out of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    Healthy,
    Errors,
    Lag,
    /// Healthy enough, but the fallback group is not needed.
    Spare,
    /// Taken in because too few were healthy.
    TooFew,
    /// Taken in because the policy returned nothing.
    Open,
}

impl Reason {
    /// The word operators read.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Healthy => "healthy",
            Reason::Errors => "error-rate",
            Reason::Lag => "lag",
            Reason::Spare => "fallback-not-needed",
            Reason::TooFew => "too-few-healthy",
            Reason::Open => "failed-open",
        }
    }
}

/// An evaluation that could not be carried out.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("server {server}: {field} is not a number")]
pub struct InvalidMetric {
    pub server: String,
    pub field: &'static str,
}

/// The default policy and its figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    pub max_error_rate: f64,
    pub max_lag: u64,
    pub min_healthy: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self { max_error_rate: 0.7, max_lag: 10, min_healthy: 1 }
    }
}

impl Policy {
    /// Judges all registered servers; says for each whether it is in, and why.
    pub fn evaluate(&self, all: &[Candidate]) -> Result<Vec<(bool, Reason)>, InvalidMetric> {
        let mut out = Vec::with_capacity(all.len());
        for c in all {
            let m = &c.metrics;
            for (field, n) in [("error_rate", m.error_rate), ("throttled_rate", m.throttled_rate), ("p90", m.p90)] {
                if !n.is_finite() {
                    return Err(InvalidMetric { server: c.name.clone(), field });
                }
            }
            let row = if m.error_rate >= self.max_error_rate {
                (false, Reason::Errors)
            } else if m.lag >= self.max_lag {
                (false, Reason::Lag)
            } else if c.fallback {
                (false, Reason::Spare)
            } else {
                (true, Reason::Healthy)
            };
            out.push(row);
        }
        if out.iter().filter(|r| r.0).count() < self.min_healthy {
            out.iter_mut().filter(|r| !r.0).for_each(|r| *r = (true, Reason::TooFew));
        }
        if out.iter().all(|r| !r.0) {
            out.iter_mut().for_each(|r| *r = (true, Reason::Open));
        }
        Ok(out)
    }
}

//! The policy that decides which servers are eligible.

/// The metrics of one server as measured by a node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Share of requests that failed within the window, from 0 to 1.
    pub error_rate: f64,
    /// Failed requests since the start.
    pub errors_total: u64,
    /// Requests since the start.
    pub requests_total: u64,
    /// Share of requests that the server rejected because of overload within the window, from 0 to 1.
    pub throttled_rate: f64,
    /// The 90th percentile of response times within the window, in seconds.
    pub p90: f64,
    /// The 95th percentile, in seconds.
    pub p95: f64,
    /// The 99th percentile, in seconds.
    pub p99: f64,
    /// How many log positions the server is behind the highest known position.
    pub lag: u64,
}

/// A registered server as input of the policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub name: String,
    /// Whether the server is in the fallback group, which is eligible only if too few other servers are healthy.
    pub fallback: bool,
    pub metrics: Metrics,
}

/// Why a server is eligible or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Eligible.
    Healthy,
    /// Not eligible: its error rate is too high.
    ErrorRate,
    /// Not eligible: it is too far behind.
    Lag,
    /// Not eligible: healthy, but in the fallback group, which is not needed.
    FallbackNotNeeded,
    /// Eligible because too few servers are healthy.
    TooFewHealthy,
    /// Eligible because otherwise no server would be.
    FailedOpen,
}

impl Reason {
    /// The reason as shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Healthy => "healthy",
            Reason::ErrorRate => "error-rate",
            Reason::Lag => "lag",
            Reason::FallbackNotNeeded => "fallback-not-needed",
            Reason::TooFewHealthy => "too-few-healthy",
            Reason::FailedOpen => "failed-open",
        }
    }
}

/// The error of an evaluation with a metric that is infinite or not a number.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("server {server}: {field} is not a number")]
pub struct InvalidMetric {
    pub server: String,
    pub field: &'static str,
}

/// The selection policy with its parameters.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// A server with this error rate, or a higher one, is not eligible.
    pub max_error_rate: f64,
    /// A server that is this many log positions behind, or more, is not eligible.
    pub max_lag: u64,
    /// With fewer healthy servers than this, all servers are eligible.
    pub min_healthy: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self { max_error_rate: 0.7, max_lag: 10, min_healthy: 1 }
    }
}

impl Policy {
    /// Evaluates all registered servers; returns for each, in the same order, whether it is eligible and why.
    pub fn evaluate(&self, candidates: &[Candidate]) -> Result<Vec<(bool, Reason)>, InvalidMetric> {
        let mut verdicts = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let metrics = &candidate.metrics;
            for (field, value) in
                [("error_rate", metrics.error_rate), ("throttled_rate", metrics.throttled_rate), ("p90", metrics.p90)]
            {
                if !value.is_finite() {
                    return Err(InvalidMetric { server: candidate.name.clone(), field });
                }
            }
            let verdict = if metrics.error_rate >= self.max_error_rate {
                (false, Reason::ErrorRate)
            } else if metrics.lag >= self.max_lag {
                (false, Reason::Lag)
            } else if candidate.fallback {
                (false, Reason::FallbackNotNeeded)
            } else {
                (true, Reason::Healthy)
            };
            verdicts.push(verdict);
        }
        if verdicts.iter().filter(|v| v.0).count() < self.min_healthy {
            verdicts.iter_mut().filter(|v| !v.0).for_each(|v| *v = (true, Reason::TooFewHealthy));
        }
        if verdicts.iter().all(|v| !v.0) {
            verdicts.iter_mut().for_each(|v| *v = (true, Reason::FailedOpen));
        }
        Ok(verdicts)
    }
}

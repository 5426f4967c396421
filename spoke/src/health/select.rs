//! Evaluation of the selection policy: the eligible set and the weights of each list.

use std::{convert::Infallible, rc::Rc, time::Duration};

use base::runtime::Component;
use pick::{Candidate, Policy, adjust_weights};

use super::{HealthMeasurements, ListName, SelectionList};

/// How many lists are evaluated before other tasks may run.
const LISTS_PER_BATCH: usize = 64;

/// How many changed lists are logged individually per evaluation.
const MAX_LISTS_LOGGED: usize = 16;

impl HealthMeasurements {
    /// Evaluates every list at the evaluation interval, never for a statement, and at once after a change of the
    /// policy.
    pub async fn run_evaluations(self: Rc<Self>) -> Result<(), Infallible> {
        let mut next_evaluation = self.env.now();
        let mut next_resampling = self.env.now();
        loop {
            let seen = self.policy_changed.generation();
            let now = self.env.now();
            let policy = self.policy.borrow().clone();
            self.update_lists();
            if now >= next_evaluation {
                next_evaluation = now + Duration::from_millis(policy.eval_interval_ms);
                let names = self.lists.borrow().names();
                self.evaluate_all(&names, now).await;
            }
            // New lists have no eligible set yet, so they are evaluated without waiting for the interval.
            let new_lists = self.names_of_lists(|list| list.eligible.servers().is_none());
            self.evaluate_all(&new_lists, now).await;
            if policy.resample && now >= next_resampling {
                next_resampling = now + Duration::from_millis(policy.resample_interval_ms);
                self.refill_sample_budgets(policy.resample_count);
            }
            // The weights inside a list are adjusted twelve times per evaluation interval.
            let interval = Duration::from_millis(policy.eval_interval_ms / 12).max(Duration::from_millis(10));
            let _ = self
                .env
                .timeout(interval.min(next_evaluation.saturating_sub(now)), self.policy_changed.changed_since(seen))
                .await;
            if self.policy_changed.generation() != seen {
                next_evaluation = self.env.now();
                continue;
            }
            self.update_weights();
        }
    }

    /// Evaluates lists in batches: thousands may be new at once, and evaluating them must not block other tasks.
    async fn evaluate_all(&self, names: &[ListName], now: Duration) {
        let mut changed = 0;
        for batch in names.chunks(LISTS_PER_BATCH) {
            for name in batch {
                let Some(text) = self.evaluate(name, now) else { continue };
                changed += 1;
                if changed <= MAX_LISTS_LOGGED {
                    self.env.log(Component::Selection, text);
                }
            }
            self.env.yield_now().await;
        }
        if changed > MAX_LISTS_LOGGED {
            self.env.log(Component::Selection, format!("{} more lists changed", changed - MAX_LISTS_LOGGED));
        }
    }

    /// The names of the lists that fulfil a condition; the condition may change them.
    fn names_of_lists(&self, mut condition: impl FnMut(&mut SelectionList) -> bool) -> Vec<ListName> {
        let mut lists = self.lists.borrow_mut();
        lists.iter_mut().filter_map(|(name, list)| condition(list).then_some(name)).collect()
    }

    /// Adds a list for each new group and removes the lists that are no longer needed.
    fn update_lists(&self) {
        let view = self.journal.view();
        let Some(image) = &view.image else { return };
        self.remove_unknown(image);
        let max_idle = Duration::from_millis(self.policy.borrow().history_ms);
        self.lists.borrow_mut().update(image, self.env.now(), max_idle);
    }

    /// The servers that a list selects from, with their metrics.
    fn candidates(&self, name: &ListName, now: Duration) -> Vec<Candidate> {
        let view = self.journal.view();
        let Some(image) = &view.image else { return Vec::new() };
        let lists = self.lists.borrow();
        let Some(list) = lists.by_name(name) else { return Vec::new() };
        let Some(group) = image.groups.iter().find(|group| group.name == list.group) else { return Vec::new() };
        let fallback_servers = &self.policy.borrow().fallback;
        let candidate = |server: &String| {
            let lag = self.lag(&group.name, server);
            let metrics = match list.windows.get(server) {
                Some(window) => window.metrics(now, lag),
                None => pick::Metrics { lag, ..Default::default() },
            };
            Candidate { name: server.clone(), fallback: fallback_servers.contains(server), metrics }
        };
        group.servers.iter().map(candidate).collect()
    }

    /// Evaluates one list. Returns a text for the log if that changed the eligible set or failed.
    fn evaluate(&self, name: &ListName, now: Duration) -> Option<String> {
        let settings = self.policy.borrow().clone();
        let policy = Policy {
            max_error_rate: settings.max_error_rate,
            max_lag: settings.max_lag,
            min_healthy: settings.min_healthy as usize,
        };
        let candidates = self.candidates(name, now);
        if candidates.is_empty() {
            return None;
        }
        self.evaluation_count.set(self.evaluation_count.get() + 1);
        let mut lists = self.lists.borrow_mut();
        let list = lists.by_name_mut(name)?;
        let window = Duration::from_millis(settings.window_ms);
        list.windows.values_mut().for_each(|w| w.resize(window));
        list.windows.retain(|server, _| candidates.iter().any(|c| c.name == *server));
        let before = list.eligible.servers().map(<[_]>::to_vec);
        let result = list.eligible.evaluate(now, Duration::from_millis(settings.history_ms), &policy, &candidates);
        let after = list.eligible.servers().map(<[_]>::to_vec);
        if let Err(error) = result {
            return Some(format!("evaluation of {name} failed, the last set stays: {error}"));
        }
        (before != after).then(|| format!("{name} reads from {}", after.unwrap_or_default().join(" ")))
    }

    /// Gives each excluded server of each list a new budget of `count` statements.
    fn refill_sample_budgets(&self, count: u64) {
        let mut lists = self.lists.borrow_mut();
        for (_, list) in lists.iter_mut() {
            let Some(decision) = list.eligible.history().last() else { continue };
            list.sample_budget =
                decision.servers.iter().filter(|r| !r.eligible).map(|r| (r.name.clone(), count)).collect();
        }
    }

    /// Adjusts the weights of the lists for which statements were measured since the last adjustment.
    fn update_weights(&self) {
        let now = self.env.now();
        let measured = self.names_of_lists(|list| std::mem::take(&mut list.has_new_measurements));
        for name in measured {
            let candidates = self.candidates(&name, now);
            let view = self.journal.view();
            let mut lists = self.lists.borrow_mut();
            let Some(list) = lists.by_name_mut(&name) else { continue };
            let cold = |c: &Candidate| view.servers.get(&c.name).map_or(0.0, |s| s.cold);
            let candidates = candidates.iter().map(|c| (c.name.as_str(), c.metrics, cold(c)));
            list.weights = adjust_weights(&list.weights, candidates);
        }
    }
}

//! Evaluation of the selection policy: the eligible set and the weights of each list.

use std::{collections::BTreeSet, convert::Infallible, rc::Rc, time::Duration};

use base::runtime::Component;
use pick::{Candidate, Policy, adjust_weights};

use super::{HealthMeasurements, ListKey};

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
                let keys: Vec<ListKey> = self.lists.borrow().keys().cloned().collect();
                self.evaluate_all(&keys, now).await;
            }
            // New lists have no eligible set yet, so they are evaluated without waiting for the interval.
            let new_lists: Vec<ListKey> = self
                .lists
                .borrow()
                .iter()
                .filter(|(_, l)| l.eligible.servers().is_none())
                .map(|(k, _)| k.clone())
                .collect();
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
    async fn evaluate_all(&self, keys: &[ListKey], now: Duration) {
        let mut changed = 0;
        for batch in keys.chunks(LISTS_PER_BATCH) {
            for key in batch {
                let Some(text) = self.evaluate(key, now) else { continue };
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

    /// Adds a list for each route and removes the lists of routes that no longer exist.
    fn update_lists(&self) {
        let view = self.journal.view();
        let Some(image) = &view.image else { return };
        self.remove_unknown(image);
        let names: BTreeSet<&str> = image.routes.iter().map(|d| d.name.as_str()).collect();
        let mut lists = self.lists.borrow_mut();
        lists.retain(|key, _| names.contains(key.0.as_str()));
        for route in &image.routes {
            lists.entry((route.name.clone(), "*".into())).or_default();
        }
    }

    fn candidates(&self, key: &ListKey, now: Duration) -> Vec<Candidate> {
        let view = self.journal.view();
        let Some(image) = &view.image else { return Vec::new() };
        let Some(route) = view.route(&key.0) else { return Vec::new() };
        let Some(group) = image.groups.iter().find(|g| g.name == route.group) else { return Vec::new() };
        let lists = self.lists.borrow();
        let fallback_servers = &self.policy.borrow().fallback;
        let candidate = |server: &String| {
            let lag = self.lag(&group.name, server);
            let metrics = match lists.get(key).and_then(|l| l.windows.get(server)) {
                Some(window) => window.metrics(now, lag),
                None => pick::Metrics { lag, ..Default::default() },
            };
            Candidate { name: server.clone(), fallback: fallback_servers.contains(server), metrics }
        };
        group.servers.iter().map(candidate).collect()
    }

    /// Evaluates one list. Returns a text for the log if that changed the eligible set or failed.
    fn evaluate(&self, key: &ListKey, now: Duration) -> Option<String> {
        let settings = self.policy.borrow().clone();
        let policy = Policy {
            max_error_rate: settings.max_error_rate,
            max_lag: settings.max_lag,
            min_healthy: settings.min_healthy as usize,
        };
        let candidates = self.candidates(key, now);
        if candidates.is_empty() {
            return None;
        }
        self.evaluation_count.set(self.evaluation_count.get() + 1);
        let mut lists = self.lists.borrow_mut();
        let list = lists.get_mut(key)?;
        let window = Duration::from_millis(settings.window_ms);
        list.windows.values_mut().for_each(|w| w.resize(window));
        list.windows.retain(|server, _| candidates.iter().any(|c| c.name == *server));
        let before = list.eligible.servers().map(<[_]>::to_vec);
        let result = list.eligible.evaluate(now, Duration::from_millis(settings.history_ms), &policy, &candidates);
        let after = list.eligible.servers().map(<[_]>::to_vec);
        if let Err(error) = result {
            return Some(format!("evaluation of {} failed, the last set stays: {error}", key.0));
        }
        (before != after).then(|| format!("{} reads from {}", key.0, after.unwrap_or_default().join(" ")))
    }

    /// Gives each excluded server of each list a new budget of `count` statements.
    fn refill_sample_budgets(&self, count: u64) {
        let mut lists = self.lists.borrow_mut();
        for list in lists.values_mut() {
            let Some(decision) = list.eligible.history().last() else { continue };
            list.sample_budget =
                decision.servers.iter().filter(|r| !r.eligible).map(|r| (r.name.clone(), count)).collect();
        }
    }

    /// Adjusts the weights of the lists for which statements were measured since the last adjustment.
    fn update_weights(&self) {
        let now = self.env.now();
        let mut keys: Vec<ListKey> = Vec::new();
        for (key, list) in self.lists.borrow_mut().iter_mut() {
            if std::mem::take(&mut list.has_new_measurements) {
                keys.push(key.clone());
            }
        }
        for key in keys {
            let candidates = self.candidates(&key, now);
            let view = self.journal.view();
            let mut lists = self.lists.borrow_mut();
            let Some(list) = lists.get_mut(&key) else { continue };
            let cold = |c: &Candidate| view.servers.get(&c.name).map_or(0.0, |s| s.cold);
            let candidates = candidates.iter().map(|c| (c.name.as_str(), c.metrics, cold(c)));
            list.weights = adjust_weights(&list.weights, candidates);
        }
    }
}

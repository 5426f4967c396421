use std::{collections::BTreeSet, convert::Infallible, rc::Rc, time::Duration};

use base::runtime::Component;
use pick::{Candidate, Policy, adjust_weights};

use super::{HealthMeasurements, ListKey};

/// How many lists are evaluated before other tasks get their turn.
const LISTS_PER_BATCH: usize = 64;

/// How many changed lists are logged one by one at a time.
const MAX_LISTS_LOGGED: usize = 16;

impl HealthMeasurements {
    /// Evaluates every list on the interval, never for a statement; and at once when the policy was changed.
    pub async fn run_evaluations(self: Rc<Self>) -> Result<(), Infallible> {
        let mut next = self.env.now();
        let mut resample = self.env.now();
        loop {
            let seen = self.policy_changed.generation();
            let now = self.env.now();
            let p = self.policy.borrow().clone();
            self.update_lists();
            if now >= next {
                next = now + Duration::from_millis(p.eval_interval_ms);
                let keys: Vec<ListKey> = self.lists.borrow().keys().cloned().collect();
                self.evaluate_all(&keys, now).await;
            }
            // A list that is new has no decision to hold yet.
            let fresh: Vec<ListKey> = self
                .lists
                .borrow()
                .iter()
                .filter(|(_, l)| l.eligible.set().is_none())
                .map(|(k, _)| k.clone())
                .collect();
            self.evaluate_all(&fresh, now).await;
            if p.resample && now >= resample {
                resample = now + Duration::from_millis(p.resample_interval_ms);
                self.refill_sample_budgets(p.resample_count);
            }
            // Weights move inside the list; they are tuned twelve times an interval.
            let step = Duration::from_millis(p.eval_interval_ms / 12).max(Duration::from_millis(10));
            let _ = self.env.timeout(step.min(next.saturating_sub(now)), self.policy_changed.changed_since(seen)).await;
            if self.policy_changed.generation() != seen {
                next = self.env.now();
                continue;
            }
            self.update_weights();
        }
    }

    /// Evaluates lists, a batch at a time: thousands may be new at once, and no task may hold the others up.
    async fn evaluate_all(&self, keys: &[ListKey], now: Duration) {
        let mut changed = 0;
        for batch in keys.chunks(LISTS_PER_BATCH) {
            for key in batch {
                let Some(text) = self.evaluate(key, now) else { continue };
                changed += 1;
                if changed <= MAX_LISTS_LOGGED {
                    self.env.log(Component::Pick, text);
                }
            }
            self.env.yield_now().await;
        }
        if changed > MAX_LISTS_LOGGED {
            self.env.log(Component::Pick, format!("{} more lists changed", changed - MAX_LISTS_LOGGED));
        }
    }

    /// Gives each doorway its list.
    fn update_lists(&self) {
        let view = self.journal.view();
        let Some(image) = &view.image else { return };
        self.remove_unknown(image);
        let names: BTreeSet<&str> = image.routes.iter().map(|d| d.name.as_str()).collect();
        let mut lists = self.lists.borrow_mut();
        lists.retain(|key, _| names.contains(key.0.as_str()));
        for d in &image.routes {
            lists.entry((d.name.clone(), "*".into())).or_default();
        }
    }

    fn candidates(&self, key: &ListKey, now: Duration) -> Vec<Candidate> {
        let view = self.journal.view();
        let Some(image) = &view.image else { return Vec::new() };
        let Some(d) = view.route(&key.0) else { return Vec::new() };
        let Some(g) = image.groups.iter().find(|g| g.name == d.group) else { return Vec::new() };
        let lists = self.lists.borrow();
        let spare = &self.policy.borrow().fallback;
        let row = |s: &String| {
            let lag = self.lag(&g.name, s);
            let metrics = match lists.get(key).and_then(|l| l.windows.get(s)) {
                Some(w) => w.metrics(now, lag),
                None => pick::Metrics { lag, ..Default::default() },
            };
            Candidate { name: s.clone(), fallback: spare.contains(s), metrics }
        };
        g.servers.iter().map(row).collect()
    }

    /// Evaluates one list; a line for the log where that changed it or failed.
    fn evaluate(&self, key: &ListKey, now: Duration) -> Option<String> {
        let p = self.policy.borrow().clone();
        let policy =
            Policy { max_error_rate: p.max_error_rate, max_lag: p.max_lag, min_healthy: p.min_healthy as usize };
        let rows = self.candidates(key, now);
        if rows.is_empty() {
            return None;
        }
        self.evaluation_count.set(self.evaluation_count.get() + 1);
        let mut lists = self.lists.borrow_mut();
        let list = lists.get_mut(key)?;
        let span = Duration::from_millis(p.window_ms);
        list.windows.values_mut().for_each(|w| w.resize(span));
        list.windows.retain(|s, _| rows.iter().any(|r| r.name == *s));
        let before = list.eligible.set().map(<[_]>::to_vec);
        let out = list.eligible.evaluate(now, Duration::from_millis(p.history_ms), &policy, &rows);
        let after = list.eligible.set().map(<[_]>::to_vec);
        if let Err(e) = out {
            return Some(format!("evaluation of {} failed, the last set stays: {e}", key.0));
        }
        (before != after).then(|| format!("{} reads from {}", key.0, after.unwrap_or_default().join(" ")))
    }

    fn refill_sample_budgets(&self, count: u64) {
        let mut lists = self.lists.borrow_mut();
        for l in lists.values_mut() {
            let Some(d) = l.eligible.ring().last() else { continue };
            l.sample_budget = d.servers.iter().filter(|r| !r.eligible).map(|r| (r.name.clone(), count)).collect();
        }
    }

    /// Tunes the weights of the lists that statements went by since they were last tuned.
    fn update_weights(&self) {
        let now = self.env.now();
        let mut keys: Vec<ListKey> = Vec::new();
        for (key, list) in self.lists.borrow_mut().iter_mut() {
            if std::mem::take(&mut list.has_new_measurements) {
                keys.push(key.clone());
            }
        }
        for k in keys {
            let rows = self.candidates(&k, now);
            let view = self.journal.view();
            let mut lists = self.lists.borrow_mut();
            let Some(list) = lists.get_mut(&k) else { continue };
            let row = |c: &Candidate| view.servers.get(&c.name).map_or(0.0, |s| s.cold);
            let rows = rows.iter().map(|c| (c.name.as_str(), c.metrics, row(c)));
            list.weights = adjust_weights(&list.weights, rows);
        }
    }
}

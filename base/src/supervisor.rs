//! Supervision of tasks: a child that ends is restarted after a growing delay.

use std::{future::Future, time::Duration};

use crate::runtime::{Component, Env, TaskGuard};

/// Runs the children of one parent; dropping it ends them all.
pub struct Supervisor {
    env: Env,
    children: Vec<TaskGuard>,
}

impl Supervisor {
    /// A supervisor without children.
    pub fn new(env: &Env) -> Self {
        Self { env: env.clone(), children: Vec::new() }
    }

    /// Starts a child and restarts it whenever it ends; `make` creates its future anew each time. The delay before a
    /// restart grows from 20 ms to 1 s, and starts at 20 ms again after a child that ran for more than 5 s.
    pub fn child<F, E>(&mut self, name: &'static str, mut make: impl FnMut() -> F + 'static)
    where
        F: Future<Output = Result<(), E>> + 'static,
        E: std::fmt::Display,
    {
        let env = self.env.clone();
        self.children.push(self.env.spawn(async move {
            let mut restart_delay = Duration::from_millis(20);
            loop {
                let start = env.now();
                match make().await {
                    Ok(()) => env.log(Component::Supervisor, format!("{name} ended; restarting it")),
                    Err(e) => env.log(Component::Supervisor, format!("{name} failed: {e}; restarting it")),
                }
                if env.now() - start > Duration::from_secs(5) {
                    restart_delay = Duration::from_millis(20);
                }
                env.sleep(restart_delay).await;
                restart_delay = (restart_delay * 2).min(Duration::from_secs(1));
            }
        }));
    }
}

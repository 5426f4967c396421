//! The supervisor tree: a child that ends is started again after a growing rest.

use std::{future::Future, time::Duration};

use crate::runtime::{Component, Env, TaskGuard};

/// Runs children of one parent; all end when it is dropped.
pub struct Supervisor {
    env: Env,
    jobs: Vec<TaskGuard>,
}

impl Supervisor {
    /// An empty tree.
    pub fn new(env: &Env) -> Self {
        Self { env: env.clone(), jobs: Vec::new() }
    }

    /// Starts a child; `make` is called anew each time the child ends.
    pub fn child<F, E>(&mut self, name: &'static str, mut make: impl FnMut() -> F + 'static)
    where
        F: Future<Output = Result<(), E>> + 'static,
        E: std::fmt::Display,
    {
        let env = self.env.clone();
        self.jobs.push(self.env.spawn(async move {
            let mut rest = Duration::from_millis(20);
            loop {
                let start = env.now();
                match make().await {
                    Ok(()) => env.log(Component::Tree, format!("{name} ended; starting it again")),
                    Err(e) => env.log(Component::Tree, format!("{name} failed: {e}; starting it again")),
                }
                if env.now() - start > Duration::from_secs(5) {
                    rest = Duration::from_millis(20);
                }
                env.sleep(rest).await;
                rest = (rest * 2).min(Duration::from_secs(1));
            }
        }));
    }
}

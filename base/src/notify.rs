//! A bell that wakes every waiter when something changed.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
};

/// Rung by an owner after a change; waiters look again.
#[derive(Clone, Default)]
pub struct Notify(Rc<Inner>);

#[derive(Default)]
struct Inner {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// How often the bell was rung; pass it to [`Bell::after`].
    pub fn generation(&self) -> u64 {
        self.0.count.get()
    }

    /// Wakes all waiters.
    pub fn notify_waiters(&self) {
        self.0.count.set(self.0.count.get() + 1);
        let all = std::mem::take(&mut *self.0.wakers.borrow_mut());
        all.into_iter().for_each(Waker::wake);
    }

    /// Waits until the bell has been rung since `seen`.
    pub async fn changed_since(&self, seen: u64) {
        poll_fn(|cx| {
            if self.0.count.get() != seen {
                return Poll::Ready(());
            }
            let mut all = self.0.wakers.borrow_mut();
            if !all.iter().any(|w| w.will_wake(cx.waker())) {
                all.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await
    }

    /// Waits until `test` gives something, looking again at each ring.
    pub async fn wait_until<T>(&self, mut test: impl FnMut() -> Option<T>) -> T {
        loop {
            let seen = self.generation();
            if let Some(out) = test() {
                return out;
            }
            self.changed_since(seen).await;
        }
    }
}

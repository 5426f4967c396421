//! Notification of all waiting tasks after a change.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
};

/// Wakes all waiting tasks after a change; clones share their waiters.
#[derive(Clone, Default)]
pub struct Notify(Rc<Inner>);

#[derive(Default)]
struct Inner {
    generation: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// The number of notifications so far; pass it to [`Notify::changed_since`].
    pub fn generation(&self) -> u64 {
        self.0.generation.get()
    }

    /// Wakes all waiting tasks.
    pub fn notify_waiters(&self) {
        self.0.generation.set(self.0.generation.get() + 1);
        let wakers = std::mem::take(&mut *self.0.wakers.borrow_mut());
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Waits until there has been a notification after generation `seen`.
    pub async fn changed_since(&self, seen: u64) {
        poll_fn(|cx| {
            if self.0.generation.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = self.0.wakers.borrow_mut();
            if !wakers.iter().any(|w| w.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
        .await
    }

    /// Waits until `condition` returns a value; it is evaluated at once and again after each notification.
    pub async fn wait_until<T>(&self, mut condition: impl FnMut() -> Option<T>) -> T {
        loop {
            let seen = self.generation();
            if let Some(value) = condition() {
                return value;
            }
            self.changed_since(seen).await;
        }
    }
}

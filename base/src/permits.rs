//! A limit on the number of concurrent operations of one kind.

use std::{cell::Cell, rc::Rc};

/// Issues up to a fixed number of permits at a time; clones share the count.
#[derive(Clone, Debug)]
pub struct Permits {
    in_use: Rc<Cell<usize>>,
    max: usize,
}

/// One permit; it is released when it is dropped.
#[derive(Debug)]
pub struct Permit {
    in_use: Rc<Cell<usize>>,
}

impl Permits {
    /// A limit of `max` permits at a time.
    pub fn new(max: usize) -> Self {
        Self { in_use: Rc::default(), max }
    }

    /// Acquires a permit; `None` while all are in use.
    pub fn try_acquire(&self) -> Option<Permit> {
        if self.in_use.get() >= self.max {
            return None;
        }
        self.in_use.set(self.in_use.get() + 1);
        Some(Permit { in_use: self.in_use.clone() })
    }

    /// The number of permits in use.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.in_use.set(self.in_use.get() - 1);
    }
}

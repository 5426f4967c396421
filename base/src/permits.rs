//! A bound on how much of one kind may be under way at once.

use std::{cell::Cell, rc::Rc};

/// Hands out up to a fixed number of permits at a time; clones share the count.
#[derive(Clone, Debug)]
pub struct Permits {
    in_use: Rc<Cell<usize>>,
    most: usize,
}

/// One permit; it is given back when it is dropped.
#[derive(Debug)]
pub struct Permit {
    used: Rc<Cell<usize>>,
}

impl Permits {
    /// Permits of which `most` may be out at once.
    pub fn new(most: usize) -> Self {
        Self { in_use: Rc::default(), most }
    }

    /// A permit, or nothing while all are out.
    pub fn try_acquire(&self) -> Option<Permit> {
        if self.in_use.get() >= self.most {
            return None;
        }
        self.in_use.set(self.in_use.get() + 1);
        Some(Permit { used: self.in_use.clone() })
    }

    /// How many are out.
    pub fn used(&self) -> usize {
        self.in_use.get()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.used.set(self.used.get() - 1);
    }
}

//! The routes of an image. Copies of an image share them until one of them is changed, as nearly all changes of an image
//! leave its thousands of routes alone.

use std::{
    ops::{Deref, DerefMut},
    sync::Arc,
};

use crate::Route;

/// A list of routes that is copied only when it is changed. Messages must be able to move between threads.
#[derive(Clone, Default)]
pub struct Routes(Arc<Vec<Route>>);

impl Routes {
    /// Whether both are the same list in memory.
    pub fn is_same(&self, other: &Routes) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl PartialEq for Routes {
    fn eq(&self, other: &Self) -> bool {
        self.is_same(other) || self.0 == other.0
    }
}

impl std::fmt::Debug for Routes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl Deref for Routes {
    type Target = Vec<Route>;

    fn deref(&self) -> &Vec<Route> {
        &self.0
    }
}

impl DerefMut for Routes {
    fn deref_mut(&mut self) -> &mut Vec<Route> {
        Arc::make_mut(&mut self.0)
    }
}

impl From<Vec<Route>> for Routes {
    fn from(routes: Vec<Route>) -> Self {
        Self(Arc::new(routes))
    }
}

impl FromIterator<Route> for Routes {
    fn from_iter<T: IntoIterator<Item = Route>>(routes: T) -> Self {
        routes.into_iter().collect::<Vec<_>>().into()
    }
}

impl<'a> IntoIterator for &'a Routes {
    type Item = &'a Route;
    type IntoIter = std::slice::Iter<'a, Route>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.iter()
    }
}

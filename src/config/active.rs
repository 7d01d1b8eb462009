//! The settings in force, as all parts of the process share them. They are replaced and never changed in place: whoever
//! holds an older version keeps a consistent one.

use std::cell::RefCell;
use std::rc::Rc;

use crate::config::site::Site;

/// The settings in force.
#[derive(Debug)]
pub struct ActiveSettings {
    site: RefCell<Rc<Site>>,
}

impl ActiveSettings {
    /// The settings that the process starts with.
    pub fn new(site: Rc<Site>) -> Self {
        ActiveSettings { site: RefCell::new(site) }
    }

    /// The settings in force now.
    pub fn site(&self) -> Rc<Site> {
        self.site.borrow().clone()
    }

    /// Replaces them by settings that [`Site::merged_with`] made of these.
    pub fn replace(&self, site: Rc<Site>) {
        *self.site.borrow_mut() = site;
    }
}

//! The active settings, which all parts of the process share. A reload replaces them and never changes them
//! in place, so code that still uses the previous version sees consistent settings.

use std::cell::RefCell;
use std::rc::Rc;

use crate::config::site::Site;

/// The active settings.
#[derive(Debug)]
pub struct ActiveSettings {
    site: RefCell<Rc<Site>>,
}

impl ActiveSettings {
    /// Begins with the settings that the process starts with.
    pub fn new(site: Rc<Site>) -> Self {
        ActiveSettings { site: RefCell::new(site) }
    }

    /// The active settings at this moment.
    pub fn site(&self) -> Rc<Site> {
        self.site.borrow().clone()
    }

    /// Replaces the active settings with `site`, which [`Site::merged_with`] made from them.
    pub fn replace(&self, site: Rc<Site>) {
        *self.site.borrow_mut() = site;
    }
}

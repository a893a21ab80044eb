//! The names (`X-Txn`) of the open requests, in this process and in its hot-restart predecessor: two
//! requests of one name must not be open at the same time, or a server could execute both.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use ironmast_admin::handover::Message;

use crate::hot_restart::partners::Partners;

/// A request of that name is open, in this process or in the other of a hot restart.
#[derive(Debug, thiserror::Error)]
#[error("a request of that name is open")]
pub(crate) struct NameInUse;

/// The names of all open requests, each in hexadecimal digits, as the processes of a hot restart
/// exchange them.
pub(crate) struct OpenNames {
    partners: Rc<Partners>,
    local: RefCell<BTreeSet<String>>,
    at_predecessor: RefCell<BTreeSet<String>>,
}

impl OpenNames {
    /// No open requests.
    pub(crate) fn new(partners: Rc<Partners>) -> Self {
        OpenNames {
            partners,
            local: RefCell::default(),
            at_predecessor: RefCell::default(),
        }
    }

    /// Opens a name that is free here. If there is a successor that decides for both processes, it
    /// must agree.
    ///
    /// # Errors
    /// [`NameInUse`] if a request of that name is open, or if the successor does not answer in time.
    pub(crate) async fn open(&self, txn: &[u8]) -> Result<OpenName<'_>, NameInUse> {
        let name = hexadecimal(txn);
        if self.at_predecessor.borrow().contains(&name)
            || !self.local.borrow_mut().insert(name.clone())
        {
            return Err(NameInUse);
        }
        let open = OpenName { name, names: self };
        match self.partners.claim(&open.name) {
            Some(claim) => {
                if !claim.await {
                    return Err(NameInUse);
                }
            }
            None => self
                .partners
                .send_to_successor(Message::Opened(open.name.clone())),
        }
        Ok(open)
    }

    /// Notifies a successor of all requests that are open in this process.
    pub(crate) fn notify_successor(&self) {
        for name in self.local.borrow().iter() {
            self.partners
                .send_to_successor(Message::Opened(name.clone()));
        }
    }

    /// Decides on the predecessor's claim of a name. It is granted if the name is open in neither
    /// process, and the name then counts as open at the predecessor.
    pub(crate) fn grant_claim(&self, name: &str) -> bool {
        let is_free = !self.local.borrow().contains(name);
        is_free && self.at_predecessor.borrow_mut().insert(name.to_string())
    }

    /// Marks a name as open at the predecessor.
    pub(crate) fn opened_at_predecessor(&self, name: String) {
        self.at_predecessor.borrow_mut().insert(name);
    }

    /// Marks a name as closed at the predecessor.
    pub(crate) fn closed_at_predecessor(&self, name: &str) {
        self.at_predecessor.borrow_mut().remove(name);
    }

    /// Forgets the names that are open at a predecessor that is lost.
    pub(crate) fn forget_predecessor(&self) {
        self.at_predecessor.borrow_mut().clear();
    }
}

/// A name that is open in this process. Dropping it closes the name, in both processes.
pub(crate) struct OpenName<'a> {
    name: String,
    names: &'a OpenNames,
}

impl Drop for OpenName<'_> {
    fn drop(&mut self) {
        self.names.local.borrow_mut().remove(&self.name);
        self.names
            .partners
            .send_to_successor(Message::Closed(self.name.clone()));
    }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[cfg(test)]
mod tests;

//! Transaction IDs of the open requests, in this process and in its hot-restart predecessor. A
//! transaction ID is the name that the client gives a request in `X-Txn`. Two requests with the
//! same name must not be open at the same time, because a server could execute both.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use ironmast_admin::handover::Message;

use crate::hot_restart::partners::Partners;

/// A request with this name is already open, in this process or in the other of a hot restart.
#[derive(Debug, thiserror::Error)]
#[error("a request with this X-Txn is already open")]
pub(crate) struct NameInUse;

/// Names of all open requests. Each name is stored in hexadecimal digits, the form in which the
/// processes of a hot restart exchange it.
pub(crate) struct OpenNames {
    partners: Rc<Partners>,
    local: RefCell<BTreeSet<String>>,
    at_predecessor: RefCell<BTreeSet<String>>,
}

impl OpenNames {
    /// Creates an empty set; `partners` are notified of names that open or close.
    pub(crate) fn new(partners: Rc<Partners>) -> Self {
        OpenNames {
            partners,
            local: RefCell::default(),
            at_predecessor: RefCell::default(),
        }
    }

    /// Opens a name. If there is a successor that decides on names for both processes, the name is
    /// claimed there first. A successor that does not answer claims is only notified.
    ///
    /// # Errors
    /// [`NameInUse`] if a request with this name is open, or if the successor does not answer in
    /// time.
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

    /// Notifies a new successor of all names that are open in this process.
    pub(crate) fn notify_successor(&self) {
        for name in self.local.borrow().iter() {
            self.partners
                .send_to_successor(Message::Opened(name.clone()));
        }
    }

    /// Decides on the predecessor's claim of a name and returns whether it is granted. A claim is
    /// granted if the name is open in neither process; the name is then open at the predecessor.
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

    /// Removes all names that are open at the predecessor, because its connection is lost.
    pub(crate) fn forget_predecessor(&self) {
        self.at_predecessor.borrow_mut().clear();
    }
}

/// Guard of a name that is open in this process. Dropping it closes the name here and notifies the
/// successor.
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

//! The budget of file descriptors: how many connections a process may have open, split between
//! clients and servers.
//!
//! A connection holds a [`DescriptorPermit`] for as long as it is open. Because of the split, a flood
//! of clients cannot use up the descriptors for connections to servers, nor the other way round. When
//! permits run short, the budget calls the registered functions that close idle connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::Notify;

/// Percentage of all permits that are for clients; the rest is for servers.
const CLIENT_PERCENT: usize = 60;
/// Idle connections are closed once fewer than one in this many permits is available.
const PRESSURE_DIVISOR: usize = 8;

/// Closes an idle connection, if there is one.
type PressureHandler = Box<dyn Fn()>;

/// A number of permits, each of which allows one connection to be open. Clones share one budget.
#[derive(Clone)]
pub struct DescriptorBudget {
    /// The capacity at 100 percent.
    full_capacity: usize,
    capacity: Rc<Cell<usize>>,
    in_use: Rc<Cell<usize>>,
    released: Rc<Notify>,
    pressure_handlers: Rc<RefCell<Vec<PressureHandler>>>,
}

impl DescriptorBudget {
    /// Creates the budgets for clients and for servers, in that order, of a process that may open
    /// `limit` descriptors, `reserved` of them for other uses.
    #[must_use]
    pub fn split(limit: usize, reserved: usize) -> (Self, Self) {
        let all = limit.saturating_sub(reserved).max(2);
        let clients = (all * CLIENT_PERCENT / 100).max(1);
        (
            DescriptorBudget::new(clients),
            DescriptorBudget::new(all - clients),
        )
    }

    /// Creates a budget of `capacity` permits.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        DescriptorBudget {
            full_capacity: capacity,
            capacity: Rc::new(Cell::new(capacity)),
            in_use: Rc::default(),
            released: Rc::default(),
            pressure_handlers: Rc::default(),
        }
    }

    /// The number of permits that may be in use at present.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity.get()
    }

    /// Sets the capacity to `percent` of the full one, but at least one permit. Idle connections that
    /// exceed it are closed; connections with a request in progress are not.
    pub async fn set_capacity_percent(&self, percent: u8) {
        self.capacity
            .set((self.full_capacity * usize::from(percent) / 100).max(1));
        self.released.notify_one();
        for _ in self.capacity.get()..self.in_use.get() {
            if self.in_use.get() <= self.capacity.get() {
                break;
            }
            self.relieve_pressure();
            tokio::task::yield_now().await;
        }
    }

    /// Registers a function that closes one idle connection; it is called when permits run short.
    pub fn on_pressure(&self, close_idle: impl Fn() + 'static) {
        self.pressure_handlers
            .borrow_mut()
            .push(Box::new(close_idle));
    }

    /// Acquires a permit, or returns `None` where all are in use. When few are left, each registered
    /// function first closes an idle connection.
    #[must_use]
    pub fn try_acquire(&self) -> Option<DescriptorPermit> {
        let reserve = self.capacity.get() / PRESSURE_DIVISOR;
        if self.in_use.get() + reserve >= self.capacity.get() {
            self.relieve_pressure();
        }
        if self.in_use.get() >= self.capacity.get() {
            return None;
        }
        self.in_use.set(self.in_use.get() + 1);
        Some(DescriptorPermit(self.clone()))
    }

    /// Waits until a permit is released or the capacity changes.
    pub async fn released(&self) {
        self.released.notified().await;
    }

    fn relieve_pressure(&self) {
        self.pressure_handlers
            .borrow()
            .iter()
            .for_each(|close_idle| close_idle());
    }
}

/// One descriptor of a [`DescriptorBudget`], released on drop.
pub struct DescriptorPermit(DescriptorBudget);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let budget = &self.0;
        budget.in_use.set(budget.in_use.get() - 1);
        budget.released.notify_one();
    }
}

//! The state machine that decides which process serves during a hot restart.
//!
//! During a hot restart an old and a new process run side by side as one proxy: the new one starts
//! serving before the old one stops. Each process runs a [`HotRestart`], which receives [`Event`]s
//! and returns the [`Action`]s that the process must perform.

#[cfg(test)]
mod tests;

/// The percentage of its file descriptors that a process uses while it runs alone.
const ALL_DESCRIPTORS: u8 = 100;

/// The percentage of its file descriptors that a process uses while a second process prepares or
/// shuts down beside it.
const SHARED_DESCRIPTORS: u8 = 50;

/// Whether a process takes over from an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// The process starts alone.
    None,
    /// A predecessor serves and hands over.
    Running,
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An endpoint list was received.
    EndpointsReceived,
    /// A successor connected and is preparing.
    SuccessorConnected,
    /// The successor has started serving.
    SuccessorServing,
    /// The connection to the successor is lost.
    SuccessorLost,
    /// The connection to the predecessor is lost.
    PredecessorLost,
    /// The platform asks this process to terminate.
    Terminate,
}

/// An output of the state machine, which the process must perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Accept connections and datagrams, and accept a successor.
    StartServing,
    /// Notify the predecessor that this process serves.
    NotifyPredecessor,
    /// Accept no more connections or datagrams, close connections with their next responses, and
    /// leave servers that are warming up to the successor.
    StopServing,
    /// Use at most this percentage of the process's file descriptors.
    SetDescriptorPercent(u8),
    /// Complete the open requests and exit.
    Shutdown {
        /// What to do with idle connections.
        idle_connections: IdleConnections,
    },
}

/// What a process that shuts down does with idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleConnections {
    /// Close them.
    Close,
    /// Leave them open until the clients close them: a successor serves, so nothing waits for
    /// this process to exit, and closing one could race with a request on it.
    Linger,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Successor {
    #[default]
    None,
    Preparing,
    Serving,
}

/// The state of one process in a hot restart.
#[derive(Debug)]
pub struct HotRestart {
    predecessor: Predecessor,
    serving: bool,
    successor: Successor,
    shutting_down: bool,
}

impl HotRestart {
    /// Creates the state of a process at its start. The process must first perform
    /// [`HotRestart::initial_action`].
    #[must_use]
    pub fn new(predecessor: Predecessor) -> Self {
        Self {
            predecessor,
            serving: predecessor == Predecessor::None,
            successor: Successor::None,
            shutting_down: false,
        }
    }

    /// Returns what a process must do at its start.
    #[must_use]
    pub fn initial_action(predecessor: Predecessor) -> Action {
        match predecessor {
            Predecessor::None => Action::StartServing,
            Predecessor::Running => Action::SetDescriptorPercent(SHARED_DESCRIPTORS),
        }
    }

    /// Whether this process serves and no successor has taken over.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.serving && self.successor != Successor::Serving
    }

    /// Whether this process can hand over to a successor now.
    #[must_use]
    pub fn accepts_successor(&self) -> bool {
        self.serving && self.successor == Successor::None && !self.shutting_down
    }

    /// Applies an event. Returns the actions that the process must perform, in order.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::EndpointsReceived => self.on_endpoints_received(),
            Event::SuccessorConnected => self.on_successor_connected(),
            Event::SuccessorServing => self.on_successor_serving(),
            Event::SuccessorLost => self.on_successor_lost(),
            Event::PredecessorLost => self.on_predecessor_lost(),
            Event::Terminate => self.on_terminate(),
        }
    }

    fn on_endpoints_received(&mut self) -> Vec<Action> {
        if self.serving {
            return Vec::new();
        }
        self.serving = true;
        vec![Action::NotifyPredecessor, Action::StartServing]
    }

    fn on_successor_connected(&mut self) -> Vec<Action> {
        if !self.accepts_successor() {
            return Vec::new();
        }
        self.successor = Successor::Preparing;
        vec![Action::SetDescriptorPercent(SHARED_DESCRIPTORS)]
    }

    fn on_successor_serving(&mut self) -> Vec<Action> {
        if self.successor != Successor::Preparing {
            return Vec::new();
        }
        self.successor = Successor::Serving;
        vec![Action::StopServing]
    }

    fn on_successor_lost(&mut self) -> Vec<Action> {
        let lost = std::mem::take(&mut self.successor);
        if self.shutting_down {
            return Vec::new();
        }
        let use_all_descriptors = Action::SetDescriptorPercent(ALL_DESCRIPTORS);
        match lost {
            Successor::None => Vec::new(),
            Successor::Preparing => vec![use_all_descriptors],
            Successor::Serving => vec![use_all_descriptors, Action::StartServing],
        }
    }

    fn on_predecessor_lost(&mut self) -> Vec<Action> {
        if self.predecessor == Predecessor::None {
            return Vec::new();
        }
        self.predecessor = Predecessor::None;
        let mut actions = vec![Action::SetDescriptorPercent(ALL_DESCRIPTORS)];
        // Serves even without an endpoint list, since no other process accepts clients any more.
        if !std::mem::replace(&mut self.serving, true) {
            actions.push(Action::StartServing);
        }
        actions
    }

    fn on_terminate(&mut self) -> Vec<Action> {
        if self.shutting_down {
            return Vec::new();
        }
        self.shutting_down = true;
        let idle_connections = match self.successor {
            Successor::Serving => IdleConnections::Linger,
            Successor::None | Successor::Preparing => IdleConnections::Close,
        };
        vec![Action::Shutdown { idle_connections }]
    }
}

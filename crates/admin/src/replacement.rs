//! Who serves while an old and a new process live, as a state machine: it is told what happens to
//! this process and says what it does. The two are one proxy, so what one takes up the other lets
//! go.

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A list of servers is held.
    Held,
    /// A successor has come and is preparing.
    SuccessorCame,
    /// It serves.
    SuccessorServes,
    /// It is gone.
    SuccessorLost,
    /// The process that was here before is gone.
    PredecessorLost,
    /// The platform asks this process to end.
    Term,
}

/// What this process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Accepts clients and hears datagrams, answers to whom comes next in `$TMPDIR`.
    Serve,
    /// Tells its predecessor that it serves.
    TellServing,
    /// Accepts nobody and hears nothing more; answers close their connections; cold servers are
    /// left to the successor.
    StandBack,
    /// Uses no more than this part of its descriptors, in percent.
    Descriptors(u8),
    /// Finishes what it has and ends.
    Finish {
        /// Idle connections are left to fall silent by themselves: a successor serves, so nobody
        /// waits for this process' end, and a close could cross a request.
        linger: bool,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Successor {
    #[default]
    None,
    Preparing,
    Serving,
}

/// The part of a process in a replacement.
#[derive(Debug)]
pub struct Replacement {
    predecessor: bool,
    serving: bool,
    successor: Successor,
    ending: bool,
}

impl Replacement {
    /// A process that has just started, with a predecessor that speaks to it or without; what it
    /// does at once comes along.
    #[must_use]
    pub fn start(predecessor: bool) -> (Self, Vec<Action>) {
        let (serving, successor, ending) = (!predecessor, Successor::None, false);
        let first = if predecessor {
            Action::Descriptors(50)
        } else {
            Action::Serve
        };
        (
            Replacement {
                predecessor,
                serving,
                successor,
                ending,
            },
            vec![first],
        )
    }

    /// Whether this process can serve, by what it knows of itself and its predecessor.
    #[must_use]
    pub fn serves(&self) -> bool {
        self.serving && self.successor != Successor::Serving
    }

    /// Whether a successor may come now.
    #[must_use]
    pub fn may_be_succeeded(&self) -> bool {
        self.serving && self.successor == Successor::None && !self.ending
    }

    /// Tells what has happened; says what to do, in order.
    pub fn on(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::Held if !self.serving => {
                self.serving = true;
                vec![Action::TellServing, Action::Serve]
            }
            Event::PredecessorLost if self.predecessor => {
                self.predecessor = false;
                let whole = Action::Descriptors(100);
                // Guards the clients against nobody at their door: list or not, this process is all
                // there is.
                if std::mem::replace(&mut self.serving, true) {
                    vec![whole]
                } else {
                    vec![whole, Action::Serve]
                }
            }
            Event::SuccessorCame if self.may_be_succeeded() => {
                self.successor = Successor::Preparing;
                vec![Action::Descriptors(50)]
            }
            Event::SuccessorServes if self.successor == Successor::Preparing => {
                self.successor = Successor::Serving;
                vec![Action::StandBack]
            }
            Event::SuccessorLost => {
                let before = std::mem::take(&mut self.successor);
                match before {
                    _ if self.ending => Vec::new(),
                    Successor::None => Vec::new(),
                    Successor::Preparing => vec![Action::Descriptors(100)],
                    Successor::Serving => vec![Action::Descriptors(100), Action::Serve],
                }
            }
            Event::Term if !self.ending => {
                self.ending = true;
                vec![Action::Finish {
                    linger: self.successor == Successor::Serving,
                }]
            }
            _ => Vec::new(),
        }
    }
}

#[cfg(test)]
mod tests;

//! Who serves while an old and a new process live, as a state machine: it is told what happens to this process
//! and says what it does. The two are one proxy, so what one takes up the other lets go.

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
    /// Accepts nobody and hears nothing more; answers close their connections; cold servers are left to the
    /// successor.
    StandBack,
    /// Uses no more than this part of its descriptors, in percent.
    Descriptors(u8),
    /// Finishes what it has and ends.
    Finish {
        /// Idle connections are left to fall silent by themselves: a successor serves, so nobody waits for this
        /// process' end, and a close could cross a request.
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
    /// A process that has just started, with a predecessor that speaks to it or without; what it does at once
    /// comes along.
    pub fn start(predecessor: bool) -> (Self, Vec<Action>) {
        let (serving, successor, ending) = (!predecessor, Successor::None, false);
        let first = if predecessor { Action::Descriptors(50) } else { Action::Serve };
        (Replacement { predecessor, serving, successor, ending }, vec![first])
    }

    /// Whether this process can serve, by what it knows of itself and its predecessor.
    pub fn serves(&self) -> bool {
        self.serving && self.successor != Successor::Serving
    }

    /// Whether a successor may come now.
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
                // Guards the clients against nobody at their door: list or not, this process is all there is.
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
                vec![Action::Finish { linger: self.successor == Successor::Serving }]
            }
            _ => Vec::new(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use Action::{Descriptors, Finish, Serve, StandBack, TellServing};
    use Event::{Held, PredecessorLost, SuccessorCame, SuccessorLost, SuccessorServes, Term};

    fn run(predecessor: bool, events: &[Event]) -> (Replacement, Vec<Vec<Action>>) {
        let (mut part, first) = Replacement::start(predecessor);
        let rest = events.iter().map(|&e| part.on(e));
        let all = std::iter::once(first).chain(rest).collect();
        (part, all)
    }

    #[test]
    fn alone_it_serves_at_once_and_accepts_until_the_end() {
        let (part, all) = run(false, &[Held, Held, Term, Term]);
        assert_eq!(all, [vec![Serve], vec![], vec![], vec![Finish { linger: false }], vec![]]);
        assert!(part.serves());
    }

    #[test]
    fn a_replacement_passes_the_door_once() {
        let (old, all) = run(false, &[SuccessorCame, SuccessorServes, Term, SuccessorLost]);
        let finish = vec![Finish { linger: true }];
        assert_eq!(all, [vec![Serve], vec![Descriptors(50)], vec![StandBack], finish, vec![]]);
        assert!(!old.may_be_succeeded());
        let (new, all) = run(true, &[Held, Held, PredecessorLost, PredecessorLost]);
        let serve = vec![TellServing, Serve];
        assert_eq!(all, [vec![Descriptors(50)], serve, vec![], vec![Descriptors(100)], vec![]]);
        assert!(new.serves() && new.may_be_succeeded());
    }

    #[test]
    fn a_successor_that_dies_gives_the_door_back() {
        let (part, all) =
            run(false, &[SuccessorCame, SuccessorLost, SuccessorCame, SuccessorServes, SuccessorLost]);
        assert_eq!(all[2], [Descriptors(100)]);
        assert_eq!(all[5], [Descriptors(100), Serve]);
        assert!(part.serves() && part.may_be_succeeded());
    }

    #[test]
    fn a_predecessor_that_dies_first_leaves_the_door_to_the_new_one() {
        let (part, all) = run(true, &[PredecessorLost, Held]);
        assert_eq!(all, [vec![Descriptors(50)], vec![Descriptors(100), Serve], vec![]]);
        assert!(part.serves());
    }

    #[test]
    fn nobody_is_succeeded_twice_at_once_or_before_it_serves() {
        let (part, all) = run(false, &[SuccessorCame, SuccessorCame]);
        assert!(all[2].is_empty() && !part.may_be_succeeded());
        let (part, all) = run(true, &[SuccessorCame]);
        assert!(all[1].is_empty() && !part.may_be_succeeded());
    }

    /// Two in a row: the new one is succeeded while its predecessor still finishes.
    #[test]
    fn a_chain_of_replacements_serves_at_one_place_at_a_time() {
        let (part, all) = run(true, &[Held, SuccessorCame, SuccessorServes, PredecessorLost]);
        assert_eq!(all[2..], [vec![Descriptors(50)], vec![StandBack], vec![Descriptors(100)]]);
        assert!(!part.serves());
    }
}

//! Which servers operators have taken out of use, laid over discovery's list before the module sees
//! it.
//!
//! A server that is out is shown as draining whatever discovery says of it, so the module's own
//! rule on drains holds. On its return it is shown as discovery tells it; where discovery has told
//! of no start since it went out, it is shown as started at its return: it may have been restarted,
//! and the news of that may be late.

use std::collections::{BTreeMap, BTreeSet};

use ironmast_balancer::{Micros, Phase, Scope, ServerId};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::call::Reply;
use crate::listing::{Entry, News};

/// What outlives the process: on disk, and told to a successor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bans {
    /// Of each server out of use, by `uid`: since when, in Unix microseconds.
    pub out: BTreeMap<String, Micros>,
    /// Of each that was called back and of whose start nothing was heard: when it went out, when it
    /// came back.
    pub back: BTreeMap<String, (Micros, Micros)>,
}

/// How one server stands: out of use since then, or called back with its start in doubt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The server.
    pub uid: String,
    /// As in [`Bans::out`].
    pub out: Option<Micros>,
    /// As in [`Bans::back`].
    pub back: Option<(Micros, Micros)>,
}

/// The admin state of all servers over discovery's list.
#[derive(Debug, Default)]
pub struct Admin {
    bans: Bans,
    rev: Option<u64>,
    /// As discovery tells them.
    listed: BTreeMap<ServerId, Entry>,
    /// Servers that started after this are left to a successor.
    left: Option<Micros>,
}

impl Admin {
    /// Takes up what an earlier process left.
    #[must_use]
    pub fn new(bans: Bans) -> Self {
        Admin {
            bans,
            ..Admin::default()
        }
    }

    /// What is to outlive the process.
    #[must_use]
    pub fn bans(&self) -> &Bans {
        &self.bans
    }

    /// Discovery's list as last told, in its own form; a successor starts from it.
    #[must_use]
    pub fn known(&self) -> Option<Value> {
        let targets: Vec<_> = self.listed.values().map(|e| &e.target).collect();
        self.rev
            .map(|rev| json!({"rev": rev, "all": true, "targets": targets}))
    }

    /// Takes discovery's news and gives it back as the module is to see it.
    pub fn listed(&mut self, mut news: News) -> News {
        if news.scope == Scope::Failed {
            return news;
        }
        self.rev = news.rev;
        if news.scope != Scope::Changes {
            self.listed.clear();
        }
        for entry in &news.entries {
            let uid = &entry.target.uid;
            match entry.server.phase {
                Phase::Gone => {
                    self.listed.remove(&entry.server.id);
                    self.bans.back.remove(uid);
                }
                _ => drop(self.listed.insert(entry.server.id, entry.clone())),
            }
            // It is told of now: nothing is in doubt any more.
            if self
                .bans
                .back
                .get(uid)
                .is_some_and(|&(out, _)| entry.server.started > Some(out))
            {
                self.bans.back.remove(uid);
            }
        }
        if news.scope != Scope::Changes {
            let there: BTreeSet<&str> = self
                .listed
                .values()
                .map(|e| e.target.uid.as_str())
                .collect();
            self.bans.back.retain(|uid, _| there.contains(uid.as_str()));
        }
        news.entries = news
            .entries
            .into_iter()
            .map(|entry| self.shown(entry))
            .collect();
        news
    }

    fn shown(&self, mut entry: Entry) -> Entry {
        let uid = &entry.target.uid;
        if let Some(&(_, back)) = self.bans.back.get(uid) {
            entry.server.started = Some(back);
        }
        let left = self
            .left
            .is_some_and(|after| entry.server.started > Some(after));
        if entry.server.phase == Phase::Ready && (left || self.bans.out.contains_key(uid)) {
            entry.server.phase = Phase::Draining;
        }
        entry
    }

    /// The list as the module is to see it now. It goes as the one last held, not as a change that
    /// discovery told: guards the module's asking, which such news would end.
    fn again(&self) -> News {
        let entries = self
            .listed
            .values()
            .map(|e| self.shown(e.clone()))
            .collect();
        News {
            scope: Scope::Cached,
            rev: self.rev,
            entries,
        }
    }

    /// The same, where the server is listed at all.
    fn change(&self, uid: &str) -> Option<News> {
        self.listed
            .contains_key(&ServerId::from_name(uid))
            .then(|| self.again())
    }

    fn known_id(&self, uid: &str) -> Result<(), String> {
        let listed = self
            .listed
            .get(&ServerId::from_name(uid))
            .is_some_and(|e| e.target.uid == uid);
        let known = listed || self.bans.out.contains_key(uid);
        if known {
            Ok(())
        } else {
            Err(format!("no server has the ID `{}`", uid.escape_debug()))
        }
    }

    /// Takes a server out of use at clock reading `now`; again is no harm. What the module must
    /// hear comes along.
    pub fn disable(&mut self, uid: &str, now: Micros) -> (Reply, Option<News>) {
        if let Err(why) = self.known_id(uid) {
            return (Err(why), None);
        }
        if self.bans.out.contains_key(uid) {
            return (Ok(format!("{uid} is out of use already")), None);
        }
        self.bans.out.insert(uid.to_string(), now);
        // Its return before, if in doubt still, is past: the next one decides anew.
        self.bans.back.remove(uid);
        (Ok(format!("{uid} is out of use")), self.change(uid))
    }

    /// Puts a server back in use; harmless for one that is. What the module must hear comes along.
    pub fn enable(&mut self, uid: &str, now: Micros) -> (Reply, Option<News>) {
        if let Err(why) = self.known_id(uid) {
            return (Err(why), None);
        }
        let Some(out) = self.bans.out.remove(uid) else {
            return (Ok(format!("{uid} is in use")), None);
        };
        let told = self
            .listed
            .get(&ServerId::from_name(uid))
            .and_then(|e| e.server.started);
        if told <= Some(out) {
            self.bans.back.insert(uid.to_string(), (out, now));
        }
        (Ok(format!("{uid} is in use again")), self.change(uid))
    }

    /// Leaves the servers that started after `after` to a successor, or none any more: guards cold
    /// servers against two processes that each grant them what one may. What the module must hear
    /// comes along.
    pub fn leave_cold(&mut self, after: Option<Micros>) -> Option<News> {
        let before = std::mem::replace(&mut self.left, after);
        (before != after).then(|| self.again())
    }

    /// How one server stands, for the other process of a replacement.
    #[must_use]
    pub fn change_of(&self, uid: &str) -> Change {
        let (out, back) = (
            self.bans.out.get(uid).copied(),
            self.bans.back.get(uid).copied(),
        );
        Change {
            uid: uid.to_string(),
            out,
            back,
        }
    }

    /// Takes over what the other process of a replacement was called for. What the module must hear
    /// comes back.
    pub fn adopt(&mut self, change: Change) -> Option<News> {
        let Change { uid, out, back } = change;
        match out {
            Some(at) => drop(self.bans.out.insert(uid.clone(), at)),
            None => drop(self.bans.out.remove(&uid)),
        }
        match back {
            Some(at) => drop(self.bans.back.insert(uid.clone(), at)),
            None => drop(self.bans.back.remove(&uid)),
        }
        self.change(&uid)
    }
}

#[cfg(test)]
mod tests;

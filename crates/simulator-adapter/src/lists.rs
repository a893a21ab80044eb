//! The numbered lists of servers to which later messages refer.

use std::collections::BTreeMap;

use ironmast_balancer::{Micros, Phase, Server, ServerId};
use ironmast_settings::{FieldError, parse_finite};

use crate::fields::{Fields, invalid};

/// The highest number of a list.
const MAX_LIST_NUMBER: u8 = 15;

/// A server in a list.
#[derive(Clone)]
pub(crate) struct ListedServer {
    pub name: String,
    /// The name of the server's zone; the zone's id differs between instances.
    pub zone: String,
    /// The server with zone 0 as a placeholder; the instance fills in the id.
    pub server: Server,
}

/// A list for which `ITEM` lines are still missing.
#[derive(Clone, Copy)]
struct OpenList {
    number: u8,
    missing: usize,
}

/// The lists by number, and the one that is being read.
#[derive(Default)]
pub(crate) struct Lists {
    lists: BTreeMap<u8, Vec<ListedServer>>,
    open: Option<OpenList>,
}

impl Lists {
    pub(crate) fn get(&self, number: u8) -> Option<&Vec<ListedServer>> {
        self.lists.get(&number)
    }

    /// The number of `ITEM` lines that must follow; `None` if no list is open.
    pub(crate) fn missing_items(&self) -> Option<usize> {
        self.open.map(|open| open.missing)
    }

    /// Reads the rest of a `SHEET` line, which begins a list and replaces an earlier one with the same number.
    pub(crate) fn begin(&mut self, fields: &mut Fields) -> Result<(), FieldError> {
        let number: u8 = fields.number("page")?;
        if number > MAX_LIST_NUMBER {
            return invalid("page", "lists are numbered 0 to 15");
        }
        let missing = fields.number("elements")?;
        fields.end()?;
        self.lists.insert(number, Vec::new());
        self.open = (missing > 0).then_some(OpenList { number, missing });
        Ok(())
    }

    /// Reads the rest of an `ITEM` line, which adds a server to the open list.
    pub(crate) fn add_item(&mut self, fields: &mut Fields) -> Result<(), FieldError> {
        let Some(OpenList { number, missing }) = self.open else {
            return invalid("(message)", "ITEM without a preceding SHEET");
        };
        let server = decode_server(fields)?;
        self.lists.entry(number).or_default().push(server);
        let missing = missing - 1;
        self.open = (missing > 0).then_some(OpenList { number, missing });
        Ok(())
    }
}

fn decode_server(fields: &mut Fields) -> Result<ListedServer, FieldError> {
    let name = fields.required("backend")?.to_string();
    let zone = fields.text("region_part")?.to_string();
    fields.text("flavor")?;
    let cell = fields.optional("group")?.unwrap_or(0);
    let phase = match fields.text("phase")? {
        "in_service" => Phase::Ready,
        "terminating" => Phase::Draining,
        "terminated" => Phase::Gone,
        other => return invalid("phase", format!("`{other}` is not a known phase")),
    };
    let size = match fields.text("scale")? {
        "-" => 1.0,
        value => parse_finite("scale", value)?,
    };
    let started = fields.optional("came_up")?.filter(|&at: &Micros| at > 0);
    fields.end()?;
    let server = Server {
        id: ServerId::from_name(&name),
        zone: 0,
        cell,
        phase,
        size,
        started,
    };
    Ok(ListedServer { name, zone, server })
}

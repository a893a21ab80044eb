//! Decoding of lines into the decision module's events.

use ironmast_balancer::{
    AttemptEnded, Event, Listing, LoadReport, Micros, Outcome, Request, Scope, Server, ServerId,
};
use ironmast_settings::{FieldError, parse_finite, parse_number};

use crate::fields::{Fields, invalid};
use crate::instance::Instance;
use crate::lists::{ListedServer, Lists};

#[cfg(test)]
mod tests;

/// Bit of the flags of a `REQ` line: the work hint is valid.
const HAS_WORK_HINT: u64 = 1;
/// Bit of the flags of a `REQ` line: the client has sent the request before.
const IS_CLIENT_RETRY: u64 = 2;

impl Instance {
    /// Decodes the rest of the line of an event; `message` is its first field.
    pub(crate) fn decode_event(
        &mut self,
        message: &str,
        fields: &mut Fields,
        lists: &Lists,
    ) -> Result<Event, FieldError> {
        Ok(match message {
            "REQ" => self.decode_request(fields)?,
            "SETTLED" => {
                let id = fields.number("handle")?;
                let outcome = decode_outcome(fields)?;
                Event::AttemptEnded(AttemptEnded {
                    id,
                    outcome,
                    server: ServerId::from_name(fields.required("backend")?),
                    attempt: fields.number("hop")?,
                    latency: fields.number("lag")?,
                    finished: fields.bool("over")?,
                    load: self.decode_load_report(fields)?,
                })
            }
            "HEADERS" => {
                let (id, attempt) = (fields.number("handle")?, fields.number("hop")?);
                fields.required("backend")?;
                fields.number::<Micros>("lag")?;
                Event::ResponseStarted { id, attempt }
            }
            "HANGUP" => Event::ClientDisconnected {
                id: fields.number("handle")?,
            },
            "DEADLINE_HIT" => Event::Timer {
                token: fields.number("ref")?,
            },
            "CHECKED" => {
                let server = ServerId::from_name(fields.required("backend")?);
                let outcome = decode_outcome(fields)?;
                Event::ProbeEnded {
                    server,
                    outcome,
                    latency: fields.number("lag")?,
                    load: self.decode_load_report(fields)?,
                }
            }
            "INBOX" => Event::PeerMessage {
                from: fields.number("from")?,
                data: decode_hex(fields.text("raw")?)?,
            },
            _ => self.decode_listing(fields, lists)?,
        })
    }

    /// Decodes the rest of a `REQ` line.
    fn decode_request(&self, fields: &mut Fields) -> Result<Event, FieldError> {
        let id = fields.number("handle")?;
        let name = fields.text("band")?;
        let Some(class) = self.classes.iter().position(|class| class == name) else {
            return invalid("band", format!("class `{name}` is not in the settings"));
        };
        let flags: u64 = fields.number("flags")?;
        let key = fields.optional("subject")?;
        let hint: Option<Micros> = fields.optional("hint")?;
        let customer = fields.text("customer")?;
        Ok(Event::Request(Request {
            id,
            class,
            tenant: self.tenants.iter().position(|tenant| tenant == customer),
            key,
            work_hint: hint.filter(|_| flags & HAS_WORK_HINT != 0),
            client_retry: flags & IS_CLIENT_RETRY != 0,
            expires: fields.number("expires")?,
        }))
    }

    /// Decodes the rest of a `VIEW` line, which reports discovery's list.
    fn decode_listing(&mut self, fields: &mut Fields, lists: &Lists) -> Result<Event, FieldError> {
        fields.optional::<u64>("stamp")?;
        let scope = match fields.text("scope")? {
            "D" => Scope::Changes,
            "F" => Scope::Complete,
            "C" => Scope::Cached,
            "X" => Scope::Failed,
            other => return invalid("scope", format!("`{other}` is not a known scope")),
        };
        let number = fields.text("page")?;
        if scope == Scope::Failed {
            return Ok(Event::Members(Listing {
                scope,
                servers: Vec::new(),
            }));
        }
        let Some(list) = lists.get(parse_number("page", number)?) else {
            return invalid("page", format!("list {number} does not exist"));
        };
        let servers = list.iter().map(|listed| self.resolve(listed)).collect();
        Ok(Event::Members(Listing { scope, servers }))
    }

    /// Converts a listed server to this instance's zone ids, and records its name.
    fn resolve(&mut self, listed: &ListedServer) -> Server {
        self.servers
            .entry(listed.server.id)
            .or_insert_with(|| listed.name.clone());
        Server {
            zone: self.zone_id(&listed.zone),
            ..listed.server.clone()
        }
    }

    /// Decodes a load report, whose columns the deployment defines; `None` if absent.
    fn decode_load_report(&self, fields: &mut Fields) -> Result<Option<LoadReport>, FieldError> {
        let row = fields.text("feedback")?;
        if matches!(row, "-" | "") {
            return Ok(None);
        }
        let values = row
            .split(',')
            .map(|value| match value {
                "-" => Ok(None),
                value => parse_finite("feedback", value).map(Some),
            })
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Some(self.load_report_columns.report(&values)))
    }
}

/// Decodes how an attempt or a health check ended.
fn decode_outcome(fields: &mut Fields) -> Result<Outcome, FieldError> {
    Ok(match fields.text("ending")? {
        "pass" => Outcome::Ok,
        "fault" => Outcome::ServerError,
        "no_room" => Outcome::Overloaded,
        "too_slow" => Outcome::Timeout,
        "no_route" => Outcome::ConnectFailed,
        "cut" => Outcome::Reset,
        "undone" => Outcome::Cancelled,
        "stale_send" => Outcome::NotSent,
        other => return invalid("ending", format!("`{other}` is not a known ending")),
    })
}

/// Decodes bytes from pairs of hex digits; `-` means no bytes.
fn decode_hex(hex: &str) -> Result<Vec<u8>, FieldError> {
    if hex == "-" {
        return Ok(Vec::new());
    }
    let digits: Option<Vec<u8>> = hex
        .chars()
        .map(|digit| digit.to_digit(16).map(|value| value as u8))
        .collect();
    match digits {
        Some(digits) if digits.len() % 2 == 0 => Ok(digits
            .chunks(2)
            .map(|pair| pair[0] << 4 | pair[1])
            .collect()),
        _ => invalid(
            "raw",
            format!("`{hex}` does not consist of pairs of hex digits"),
        ),
    }
}

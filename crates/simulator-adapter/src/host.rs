//! Reads batches of lines and passes each line to the instance that it addresses.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, Write};

use ironmast_balancer::{Action, Micros};
use ironmast_settings::FieldError;

use crate::fields::{Fields, invalid};
use crate::instance::Instance;
use crate::lists::Lists;
use crate::{Malformed, WireError};

/// The messages that [`Instance::decode_event`] decodes.
const EVENTS: [&str; 8] = [
    "VIEW",
    "REQ",
    "SETTLED",
    "DEADLINE_HIT",
    "CHECKED",
    "HANGUP",
    "HEADERS",
    "INBOX",
];

/// Whether the batch is complete after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Continues,
    /// The reply of the batch must be written.
    BatchEnded,
}

/// A batch whose `OVER_TO_YOU` has not been read.
#[derive(Clone, Copy, Debug)]
struct OpenBatch {
    now: Micros,
    number: u64,
}

/// Hosts any number of instances on one input and output.
#[derive(Default)]
pub struct Host {
    lists: Lists,
    instances: BTreeMap<u64, Instance>,
    batch: Option<OpenBatch>,
    /// Scratch buffer, empty between lines; kept to reuse its allocation.
    actions: Vec<Action>,
    reply: String,
}

impl Host {
    /// Creates a host without instances.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes batches until the input ends, and writes the reply of each.
    ///
    /// # Errors
    /// [`WireError`] at the first malformed line, or if reading or writing fails.
    pub fn run(
        &mut self,
        mut input: impl BufRead,
        mut output: impl Write,
    ) -> Result<(), WireError> {
        let (mut line, mut number) = (Vec::new(), 0);
        loop {
            line.clear();
            number += 1;
            let malformed = |message: &str, error: FieldError| Malformed {
                line: number,
                message: message.to_string(),
                field: error.field,
                problem: error.problem,
            };
            if input.read_until(b'\n', &mut line)? == 0 {
                return match self.batch {
                    Some(_) => Err(malformed("(end of input)", truncated()).into()),
                    None => Ok(()),
                };
            }
            let is_terminated = line.last() == Some(&b'\n');
            let Ok(text) = std::str::from_utf8(&line) else {
                let error = FieldError::new("(line)", "not UTF-8");
                return Err(malformed("(unreadable)", error).into());
            };
            let text = text.trim_end_matches(['\n', '\r']);
            let message = text.split('\t').next().unwrap_or("");
            if !is_terminated && message != "OVER_TO_YOU" {
                return Err(malformed(message, truncated()).into());
            }
            let progress = self
                .handle_line(text)
                .map_err(|error| malformed(message, error))?;
            if progress == Progress::BatchEnded {
                output.write_all(self.reply.as_bytes())?;
                output.flush()?;
                self.reply.clear();
            }
        }
    }

    fn handle_line(&mut self, line: &str) -> Result<Progress, FieldError> {
        let mut fields = Fields::new(line);
        let message = fields.text("(message)")?;
        if let Some(missing) = self.lists.missing_items() {
            if message != "ITEM" {
                let problem = format!("{missing} more ITEM lines must follow the SHEET");
                return invalid("elements", problem);
            }
            self.lists.add_item(&mut fields)?;
            return Ok(Progress::Continues);
        }
        if message == "CLOCK" {
            self.begin_batch(&mut fields)?;
            return Ok(Progress::Continues);
        }
        let Some(batch) = self.batch else {
            return invalid(
                "(message)",
                "unknown message, or a message outside of a batch",
            );
        };
        if message == "OVER_TO_YOU" {
            fields.end()?;
            self.batch = None;
            // Writing to a String cannot fail.
            let _ = writeln!(self.reply, "EOR\t{}", batch.number);
            return Ok(Progress::BatchEnded);
        }
        match message {
            "SHEET" => self.lists.begin(&mut fields)?,
            "ITEM" => self.lists.add_item(&mut fields)?,
            "CREATE" => self.create(&mut fields)?,
            "DOWN" => self.remove(&mut fields)?,
            _ if EVENTS.contains(&message) => self.handle_event(batch.now, message, &mut fields)?,
            _ => return invalid("(message)", "unknown message"),
        }
        Ok(Progress::Continues)
    }

    fn begin_batch(&mut self, fields: &mut Fields) -> Result<(), FieldError> {
        if self.batch.is_some() {
            return invalid("(message)", "the previous batch has not ended");
        }
        self.batch = Some(OpenBatch {
            now: fields.number("clock")?,
            number: fields.number("batch")?,
        });
        fields.end()
    }

    fn create(&mut self, fields: &mut Fields) -> Result<(), FieldError> {
        let id = fields.number("who")?;
        self.instances.insert(id, Instance::create(fields)?);
        Ok(())
    }

    fn remove(&mut self, fields: &mut Fields) -> Result<(), FieldError> {
        let id = fields.number("who")?;
        fields.end()?;
        match self.instances.remove(&id) {
            Some(_) => Ok(()),
            None => Err(unknown_instance(id)),
        }
    }

    fn handle_event(
        &mut self,
        now: Micros,
        message: &str,
        fields: &mut Fields,
    ) -> Result<(), FieldError> {
        let id = fields.number("who")?;
        let Some(instance) = self.instances.get_mut(&id) else {
            return Err(unknown_instance(id));
        };
        let event = instance.decode_event(message, fields, &self.lists)?;
        fields.end()?;
        instance.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            instance.encode_action(id, &action, &mut self.reply)?;
        }
        Ok(())
    }
}

fn truncated() -> FieldError {
    FieldError::new("(end)", "the input ends inside a batch")
}

fn unknown_instance(id: u64) -> FieldError {
    FieldError::new("who", format!("instance {id} does not exist"))
}

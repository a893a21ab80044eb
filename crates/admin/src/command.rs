//! The commands that operators send as lines of text, and the replies.

use std::time::Duration;

use thiserror::Error;

#[cfg(test)]
mod tests;

/// The longest command line, in bytes, with its line break.
pub const MAX_LINE_BYTES: usize = 512;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Reports whether this process can serve.
    Ready,
    /// Disables the server of this uid.
    DisableServer(String),
    /// Enables the server of this uid again.
    EnableServer(String),
}

/// A line that is not a command.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("the line is over {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not UTF-8.
    #[error("the line is not text: {USAGE}")]
    NotUtf8,
    /// The line contains control characters.
    #[error("the line is not plain text: {USAGE}")]
    ControlCharacter,
    /// The line has no word.
    #[error("the line is empty: {USAGE}")]
    Empty,
    /// `ready` is followed by other words.
    #[error("`ready` takes no further word")]
    ReadyWithArguments,
    /// A command that needs a server's ID has none.
    #[error("expected `{0} ID`: the ID is missing")]
    MissingId(String),
    /// A command that needs a server's ID is followed by more than that.
    #[error("expected `{0} ID`: there are words after the ID")]
    ExtraArguments(String),
    /// The first word is not a command.
    #[error("`{}` is not a call: {USAGE}", .0.escape_debug())]
    UnknownCommand(String),
}

/// The commands there are, for errors.
const USAGE: &str = "expected `ready`, `disable-server ID` or `enable-server ID`";

/// No server has the uid that a command names.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no server has the ID `{}`", .0.escape_debug())]
pub struct UnknownServer(pub String);

/// A command that was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The line is not a command.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The command names a server that does not exist.
    #[error(transparent)]
    UnknownServer(#[from] UnknownServer),
    /// This process is not ready: it has no endpoint list.
    #[error("no list of servers is held")]
    NoEndpoints,
    /// This process is not ready: its predecessor is still serving.
    #[error("the process before still serves")]
    PredecessorServing,
    /// The operator sent no complete line in time.
    #[error("no whole line came within {0:?}")]
    LineTimeout(Duration),
    /// This process is shutting down.
    #[error("the process is ending")]
    ShuttingDown,
}

/// The reply to a command: a remark, or why it was not carried out.
pub type Reply = Result<String, CommandError>;

/// Parses a line, with or without its line break.
///
/// # Errors
/// [`ParseError`], whose text says what was expected instead.
pub fn parse(line: &[u8]) -> Result<Command, ParseError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(ParseError::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| ParseError::NotUtf8)?;
    let text = text.strip_suffix('\n').unwrap_or(text);
    let text = text.strip_suffix('\r').unwrap_or(text);
    if text
        .chars()
        .any(|character| character.is_control() && character != '\t')
    {
        return Err(ParseError::ControlCharacter);
    }
    let words: Vec<&str> = text.split_whitespace().collect();
    match words[..] {
        [] => Err(ParseError::Empty),
        ["ready"] => Ok(Command::Ready),
        ["disable-server", uid] => Ok(Command::DisableServer(uid.to_string())),
        ["enable-server", uid] => Ok(Command::EnableServer(uid.to_string())),
        ["ready", ..] => Err(ParseError::ReadyWithArguments),
        [command @ ("disable-server" | "enable-server")] => {
            Err(ParseError::MissingId(command.to_string()))
        }
        [command @ ("disable-server" | "enable-server"), ..] => {
            Err(ParseError::ExtraArguments(command.to_string()))
        }
        [command, ..] => Err(ParseError::UnknownCommand(command.to_string())),
    }
}

/// The reply as it is written: one line that begins with `+OK` or `-ERR`.
#[must_use]
pub fn format_reply(reply: &Reply) -> String {
    let one_line = |text: &str| text.replace(['\r', '\n'], " ");
    match reply {
        Ok(remark) => format!("+OK {}\n", one_line(remark)),
        Err(error) => format!("-ERR {}\n", one_line(&error.to_string())),
    }
}

//! The commands that operators send as lines of text, and the replies to them.

use std::time::Duration;

use thiserror::Error;

#[cfg(test)]
mod tests;

/// The maximum length of a command line in bytes, including its line break.
pub const MAX_LINE_BYTES: usize = 512;

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Reports whether this process can serve.
    Ready,
    /// Disables the server of this uid.
    DisableServer(String),
    /// Enables the server of this uid again.
    EnableServer(String),
}

/// The reason why a line is not a valid command.
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
    /// The line contains only whitespace.
    #[error("the line is empty: {USAGE}")]
    Empty,
    /// `ready` is followed by arguments.
    #[error("`ready` takes no further word")]
    ReadyWithArguments,
    /// A command that takes a server's ID is not followed by one.
    #[error("expected `{0} ID`: the ID is missing")]
    MissingId(String),
    /// A command that takes a server's ID is followed by more arguments.
    #[error("expected `{0} ID`: there are words after the ID")]
    ExtraArguments(String),
    /// The first word is not a command.
    #[error("`{}` is not a call: {USAGE}", .0.escape_debug())]
    UnknownCommand(String),
}

/// The valid commands, for error replies.
const USAGE: &str = "expected `ready`, `disable-server ID` or `enable-server ID`";

/// The error of a command whose uid belongs to no server.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no server has the ID `{}`", .0.escape_debug())]
pub struct UnknownServer(pub String);

/// The reason why a command was not executed; its text is sent to the operator.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The line is not a command.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The command names a server that does not exist.
    #[error(transparent)]
    UnknownServer(#[from] UnknownServer),
    /// This process is not ready because it has received no endpoint list.
    #[error("no list of servers is held")]
    NoEndpoints,
    /// This process is not ready because its predecessor is still serving.
    #[error("the process before still serves")]
    PredecessorServing,
    /// The operator sent no complete line within this time.
    #[error("no whole line came within {0:?}")]
    LineTimeout(Duration),
    /// This process is shutting down.
    #[error("the process is ending")]
    ShuttingDown,
}

/// The reply to a command: a remark on what was done, or why it was not executed.
pub type Reply = Result<String, CommandError>;

/// Parses a command line, with or without its line break.
///
/// # Errors
/// [`ParseError`] if the line is not a valid command; its text says what was expected.
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

/// Formats a reply as one line that begins with `+OK` or `-ERR`; line breaks within become spaces.
#[must_use]
pub fn format_reply(reply: &Reply) -> String {
    let one_line = |text: &str| text.replace(['\r', '\n'], " ");
    match reply {
        Ok(remark) => format!("+OK {}\n", one_line(remark)),
        Err(error) => format!("-ERR {}\n", one_line(&error.to_string())),
    }
}

//! The lines that operators send, and the first words of the answers.

/// A line is no longer than this many bytes, its end included.
pub const LINE_MOST: usize = 512;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Ready,
    /// Leave the server of that `uid` out.
    Disable(String),
    /// Use that server again.
    Enable(String),
}

/// The answer: a yes with a remark, or a no that says why.
pub type Reply = Result<String, String>;

/// Reads one line, with or without its end.
///
/// # Errors
/// One line that says what was expected instead.
pub fn parse(line: &[u8]) -> Result<Call, String> {
    let expected = "expected `ready`, `disable-server ID` or `enable-server ID`";
    if line.len() > LINE_MOST {
        return Err(format!("the line is over {LINE_MOST} bytes"));
    }
    let text =
        std::str::from_utf8(line).map_err(|_| format!("the line is not text: {expected}"))?;
    let text = text.strip_suffix('\n').unwrap_or(text);
    let text = text.strip_suffix('\r').unwrap_or(text);
    if text.chars().any(|c| c.is_control() && c != '\t') {
        return Err(format!("the line is not plain text: {expected}"));
    }
    let words: Vec<&str> = text.split_whitespace().collect();
    match words[..] {
        [] => Err(format!("the line is empty: {expected}")),
        ["ready"] => Ok(Call::Ready),
        ["disable-server", id] => Ok(Call::Disable(id.to_string())),
        ["enable-server", id] => Ok(Call::Enable(id.to_string())),
        ["ready", ..] => Err("`ready` takes no further word".to_string()),
        [call @ ("disable-server" | "enable-server")] => {
            Err(format!("expected `{call} ID`: the ID is missing"))
        }
        [call @ ("disable-server" | "enable-server"), ..] => Err(format!(
            "expected `{call} ID`: there are words after the ID"
        )),
        [call, ..] => Err(format!(
            "`{}` is not a call: {expected}",
            call.escape_debug()
        )),
    }
}

/// The answer as it is written: one line that begins with `+OK` or `-ERR`.
#[must_use]
pub fn answer(reply: &Reply) -> String {
    let one_line = |text: &str| text.replace(['\r', '\n'], " ");
    match reply {
        Ok(text) => format!("+OK {}\n", one_line(text)),
        Err(why) => format!("-ERR {}\n", one_line(why)),
    }
}

#[cfg(test)]
mod tests;

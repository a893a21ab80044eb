//! Splits a stream of bytes into JSON objects, whatever lines they stand on.

/// Received bytes that may not form a complete object yet.
#[derive(Default)]
pub(super) struct JsonObjects {
    buffer: Vec<u8>,
    /// The number of bytes of the buffer that have been scanned: each is scanned once.
    scanned: usize,
    /// How many braces are open.
    depth: usize,
    in_string: bool,
    /// Whether the last byte was the backslash of an escape sequence.
    escaped: bool,
}

impl JsonObjects {
    /// Appends received bytes.
    pub(super) fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// The number of bytes that are buffered.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the next complete object. Text that begins none ends with its line and is returned as
    /// well, for the caller to reject.
    pub(super) fn next(&mut self) -> Option<Vec<u8>> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            self.scan(byte);
            if self.depth == 0 && matches!(byte, b'}' | b'\n') {
                let end = std::mem::take(&mut self.scanned);
                let object: Vec<u8> = self.buffer.drain(..end).collect();
                if !object.trim_ascii().is_empty() {
                    return Some(object);
                }
            }
        }
        None
    }

    fn scan(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' if self.depth > 0 => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' => self.depth += 1,
            b'}' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;

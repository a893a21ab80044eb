//! Splits a byte stream into JSON objects, independent of line breaks and chunk boundaries.

/// An incremental splitter that buffers received bytes until they form a complete object.
#[derive(Default)]
pub(super) struct JsonObjects {
    buffer: Vec<u8>,
    /// The number of buffered bytes that have been scanned; each byte is scanned once.
    scanned: usize,
    /// The number of open braces outside strings.
    depth: usize,
    in_string: bool,
    /// Whether the previous byte was a backslash that starts an escape sequence.
    escaped: bool,
}

impl JsonObjects {
    /// Appends received bytes.
    pub(super) fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// The number of bytes buffered, which the caller bounds.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the next complete object. A line outside any object is returned as well,
    /// for the caller to reject.
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

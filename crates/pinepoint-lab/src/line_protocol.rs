//! Lines of the platform's protocol: words up to a line end. Some lines have a body, whose length is the last
//! word of the line.

/// End of a line and of a body.
const LINE_END: &[u8] = b"\r\n";
/// First words of lines that have a body.
const WITH_BODY: [&str; 3] = ["RUN ", "FEED ", "CALL "];

/// Takes a complete line and its body, if the line has one, off the front of the input. Neither includes its
/// line end.
pub(crate) fn take_line(input: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let line_length = input.windows(LINE_END.len()).position(|bytes| bytes == LINE_END)?;
    let line = String::from_utf8_lossy(&input[..line_length]).into_owned();
    let body_start = line_length + LINE_END.len();
    let body_end = body_start + body_length(&line)?;
    let mut body = input.get(body_start..body_end)?.to_vec();
    if body.ends_with(LINE_END) {
        body.truncate(body.len() - LINE_END.len());
    }
    input.drain(..body_end);
    Some((line, body))
}

/// Length of the body after a line in bytes, including the end of the body.
fn body_length(line: &str) -> Option<usize> {
    if !WITH_BODY.iter().any(|word| line.starts_with(word)) {
        return Some(0);
    }
    let length: usize = line.rsplit(' ').next()?.parse().ok()?;
    Some(length + LINE_END.len())
}

//! collectd's plain-text protocol: each line is answered by one line.

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, future};

use super::{Command, ConnectionTask, EncodedMessage};
use crate::delivery::DisconnectReason;

/// Maximum length of an answer, bytes.
const MAX_ANSWER_BYTES: usize = 1024;

impl ConnectionTask {
    /// Serves the connection until it fails.
    pub(super) async fn serve_lines<S>(&self, stream: &S) -> Result<u64, DisconnectReason>
    where
        for<'a> &'a S: AsyncRead + AsyncWrite + Unpin,
    {
        self.report_connected().await;
        let mut answers = AnswerReader::default();
        while let Ok(command) = self.commands.recv().await {
            let Command::Send { sequence, message: EncodedMessage::Lines { bytes, count } } = command else {
                continue;
            };
            // Answers are read while lines are written; otherwise both ends could wait for each other.
            let writing = self.write(stream, &bytes);
            let reading = answers.read(stream, count);
            let (written, read) = future::zip(writing, reading).await;
            written.and(read)?;
            self.report_acknowledged(sequence, false).await;
        }
        Err(DisconnectReason::Closed)
    }
}

/// Reads answers, and buffers the bytes that were read beyond them.
#[derive(Default)]
struct AnswerReader {
    buffer: Vec<u8>,
}

impl AnswerReader {
    /// Reads `count` answers.
    async fn read<S: AsyncRead + Unpin>(
        &mut self,
        mut stream: S,
        count: usize,
    ) -> Result<(), DisconnectReason> {
        let mut chunk = [0; 1024];
        let mut answers = 0;
        while answers < count {
            answers += self.take_answers()?;
            if answers >= count {
                break;
            }
            if self.buffer.len() > MAX_ANSWER_BYTES {
                return Err(DisconnectReason::InvalidReply);
            }
            match stream.read(&mut chunk).await {
                Ok(0) => return Err(DisconnectReason::Closed),
                Ok(n) => self.buffer.extend_from_slice(&chunk[..n]),
                Err(_) => return Err(DisconnectReason::Reset),
            }
        }
        Ok(())
    }

    /// Removes the complete answers from the buffer and returns their number.
    fn take_answers(&mut self) -> Result<usize, DisconnectReason> {
        let mut answers = 0;
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            if !is_answer(&line) {
                return Err(DisconnectReason::InvalidReply);
            }
            answers += 1;
        }
        Ok(answers)
    }
}

/// Whether a line is `STATUS TEXT`, where STATUS is 0 or, for an error, negative; above 0 it would announce
/// further lines. An error counts as an answer: collectd would reject the value the second time too.
fn is_answer(line: &[u8]) -> bool {
    let status = line.split(|byte| *byte == b' ').next().unwrap_or_default();
    let status = std::str::from_utf8(status).ok().and_then(|text| text.trim().parse::<i32>().ok());
    status.is_some_and(|status| status <= 0)
}

//! Operators' calls: one line in, one line out. Sockets only; what a line means is
//! `ironmast_admin::command`.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use ironmast_admin::command::{self, CommandError, MAX_LINE_BYTES, Reply};
use slog::{Logger, debug, warn};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::message::PriorityMessage;

/// Operators that may be connected at once; their descriptors are their own.
pub(crate) const CALLERS: usize = 8;
/// A caller has this long for its line, and again for hearing the answer.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// After an accept that failed, the next waits this long.
const PAUSE: Duration = Duration::from_millis(20);

/// Callers at hand, the oldest first, each with what sends it away.
type Callers = Rc<RefCell<VecDeque<(u64, oneshot::Sender<()>)>>>;

/// Hears operators for as long as the process lives.
pub(crate) async fn hear(
    listener: TcpListener,
    to_driver: mpsc::UnboundedSender<PriorityMessage>,
    log: Logger,
) {
    let (callers, number) = (Callers::default(), Cell::new(0u64));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(log, "accept of an operator connection failed"; "why" => %error);
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        number.set(number.get() + 1);
        let (me, (away, sent_away)) = (number.get(), oneshot::channel());
        {
            // Guards operators against callers that hold their connection and say nothing.
            let mut callers = callers.borrow_mut();
            if callers.len() >= CALLERS {
                drop(callers.pop_front());
            }
            callers.push_back((me, away));
        }
        let (callers, to_driver, log) = (Rc::clone(&callers), to_driver.clone(), log.clone());
        actix_rt::spawn(async move {
            tokio::select! {
                () = converse(stream, to_driver) => {}
                _ = sent_away => debug!(log, "oldest operator connection closed for a new one"),
            }
            callers.borrow_mut().retain(|(number, _)| *number != me);
        });
    }
}

async fn converse(mut stream: TcpStream, to_driver: mpsc::UnboundedSender<PriorityMessage>) {
    let reply = match timeout(PATIENCE, line(&mut stream)).await {
        Ok(Some(line)) => ask(&line, to_driver).await,
        Ok(None) => return,
        Err(_) => Err(CommandError::LineTimeout(PATIENCE)),
    };
    // A caller that does not listen has itself to blame.
    let _ = timeout(PATIENCE, async {
        let _ = stream
            .write_all(command::format_reply(&reply).as_bytes())
            .await;
        let _ = stream.shutdown().await;
        // Reads on: guards the answer against being reset away by bytes behind the line.
        let mut rest = [0; MAX_LINE_BYTES];
        while stream.read(&mut rest).await.is_ok_and(|bytes| bytes > 0) {}
    })
    .await;
}

/// The first line, or as much of it as is too much; none where the caller left without a word.
async fn line(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let (mut line, mut part) = (Vec::new(), [0; MAX_LINE_BYTES]);
    loop {
        let bytes = stream.read(&mut part).await.ok()?;
        line.extend_from_slice(&part[..bytes]);
        if let Some(end) = line.iter().position(|&b| b == b'\n') {
            line.truncate(end + 1);
            return Some(line);
        }
        if line.len() > MAX_LINE_BYTES || bytes == 0 {
            return Some(line).filter(|line| !line.is_empty());
        }
    }
}

async fn ask(line: &[u8], to_driver: mpsc::UnboundedSender<PriorityMessage>) -> Reply {
    let call = command::parse(line)?;
    let (reply, answer) = oneshot::channel();
    let _ = to_driver.send(PriorityMessage::Command(call, reply));
    answer.await.unwrap_or(Err(CommandError::ShuttingDown))
}

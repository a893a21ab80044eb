//! The way from an old process to its successor: a Unix socket in `$TMPDIR` on which the listening
//! sockets themselves are passed, and the file that keeps servers out of use. What is said is
//! `ironmast_admin::handover`, who serves when is `ironmast_admin::hot_restart`.
//!
//! A platform without `$TMPDIR` or without Unix sockets costs one line of the log, and each process
//! goes alone.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, IoSlice, IoSliceMut, Read as _, Write as _};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::{UnixListener as StdUnixListener, UnixStream as StdUnixStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use ironmast_admin::handover::{self, MAX_LINE_BYTES, Message, PROTOCOL_VERSION};
use ironmast_admin::overrides::OverrideState;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use serde_json::Value;
use slog::{Logger, info, warn};
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// The other process has this long for each step of the greeting.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// A listening socket and one for datagrams.
const PASSED_MOST: usize = 2;

/// Where in `$TMPDIR` the processes of one proxy find each other and what they keep.
#[derive(Clone)]
pub(crate) struct Store {
    folder: Option<PathBuf>,
    name: String,
}

impl Store {
    /// The place of the proxy that listens at `listen`. None of it outlives a port of the system's
    /// choice.
    pub(crate) fn new(folder: Option<PathBuf>, listen: SocketAddr) -> Self {
        let folder = folder.filter(|f| listen.port() != 0 && !f.as_os_str().is_empty());
        Store {
            folder,
            name: format!(
                "ironmast-{}-{}",
                listen.ip().to_string().replace(':', "_"),
                listen.port()
            ),
        }
    }

    fn path(&self, what: &str) -> Option<PathBuf> {
        self.folder
            .as_ref()
            .map(|f| f.join(format!("{}.{what}", self.name)))
    }

    /// What an earlier process wrote down; nothing, and a line of the log, where it can't be read.
    pub(crate) fn load(&self, log: &Logger) -> OverrideState {
        let Some(path) = self.path("bans") else {
            return OverrideState::default();
        };
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                return OverrideState::default();
            }
            Err(error) => {
                warn!(log, "servers out of use can't be read"; "file" => %path.display(), "why" => %error);
                return OverrideState::default();
            }
        };
        serde_json::from_str(&text).unwrap_or_else(|error| {
            warn!(log, "servers out of use are malformed, all are in use"; "file" => %path.display(), "why" => %error);
            OverrideState::default()
        })
    }

    /// Writes aside and renames: whoever reads finds the old text or the new.
    ///
    /// # Errors
    /// Why it is not written, in one line.
    pub(crate) fn save(&self, bans: &OverrideState) -> Result<(), String> {
        let (Some(path), Some(aside)) = (
            self.path("bans"),
            self.path(&format!("bans.{}", std::process::id())),
        ) else {
            return Err("there is no $TMPDIR".to_string());
        };
        let text = serde_json::to_string(bans).expect("its keys are text");
        std::fs::write(&aside, text)
            .and_then(|()| std::fs::rename(&aside, &path))
            .map_err(|e| format!("{}: {e}", path.display()))
    }
}

/// What a predecessor leaves to this process.
pub(crate) struct Inherited {
    /// Where clients come, open as it was.
    pub listener: TcpListener,
    /// Where datagrams come.
    pub datagrams: Option<UdpSocket>,
    /// Servers out of use.
    pub bans: OverrideState,
    /// Discovery's list as last held there.
    pub known: Option<Value>,
    /// The conversation with it, and what it has said beyond its welcome.
    pub link: (StdUnixStream, Vec<u8>),
}

/// Looks for a predecessor and greets it. None where nobody is there; where somebody is and it
/// fails, a line of the log says so.
pub(crate) fn greet(store: &Store, log: &Logger) -> Option<Inherited> {
    let path = store.path("sock")?;
    let stream = match StdUnixStream::connect(&path) {
        Ok(stream) => stream,
        // Nobody, or one that has died and left its name behind.
        Err(e)
            if matches!(
                e.kind(),
                io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused
            ) =>
        {
            return None;
        }
        Err(error) => {
            warn!(log, "no way to a process before this one"; "why" => %error);
            return None;
        }
    };
    let inherited = welcome(stream);
    match &inherited {
        Ok(_) => info!(log, "taking over from the process before"),
        Err(why) => warn!(log, "the process before hands nothing over"; "why" => why),
    }
    inherited.ok()
}

fn welcome(mut stream: StdUnixStream) -> Result<Inherited, String> {
    let plain = |e: io::Error| e.to_string();
    stream.set_read_timeout(Some(PATIENCE)).map_err(plain)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(plain)?;
    stream
        .write_all(
            handover::encode(&Message::Hello {
                version: PROTOCOL_VERSION,
                answers_claims: true,
            })
            .as_bytes(),
        )
        .map_err(plain)?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(PASSED_MOST))];
    let mut passed = RecvAncillaryBuffer::new(&mut space);
    let mut part = vec![0; 64 * 1024];
    let first = recvmsg(
        &stream,
        &mut [IoSliceMut::new(&mut part)],
        &mut passed,
        RecvFlags::CMSG_CLOEXEC,
    );
    let mut line = part[..first.map_err(|e| plain(e.into()))?.bytes].to_vec();
    let mut fds: Vec<OwnedFd> = Vec::new();
    for message in passed.drain() {
        if let RecvAncillaryMessage::ScmRights(all) = message {
            fds.extend(all);
        }
    }
    let end = loop {
        if let Some(end) = line.iter().position(|&b| b == b'\n') {
            break end;
        }
        match stream.read(&mut part).map_err(plain)? {
            0 => return Err("it left in the middle of a word".to_string()),
            _ if line.len() > MAX_LINE_BYTES => {
                return Err("its first line does not end".to_string());
            }
            bytes => line.extend_from_slice(&part[..bytes]),
        }
    };
    let rest = line.split_off(end + 1);
    match handover::decode(&line).map_err(|e| e.to_string())? {
        Message::Welcome {
            version: PROTOCOL_VERSION,
            overrides: bans,
            endpoints: known,
        } => {
            let mut fds = fds.into_iter();
            let listener = TcpListener::from(fds.next().ok_or("it passed no listening socket")?);
            let datagrams = fds.next().map(UdpSocket::from);
            listener.local_addr().map_err(plain)?;
            listener.set_nonblocking(true).map_err(plain)?;
            if let Some(socket) = &datagrams {
                socket.set_nonblocking(true).map_err(plain)?;
            }
            Ok(Inherited {
                listener,
                datagrams,
                bans,
                known,
                link: (stream, rest),
            })
        }
        Message::Welcome { version, .. } => Err(format!(
            "it speaks version {version}, this one {PROTOCOL_VERSION}"
        )),
        Message::Busy(why) => Err(why),
        _ => Err("it does not answer a greeting".to_string()),
    }
}

/// The other process of a replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// The one before this.
    Predecessor,
    /// The one after it.
    Successor,
}

/// What comes over the Unix socket.
pub(crate) enum Heard {
    /// A new process said hello and waits for its welcome; whether it answers claims.
    Came(UnixStream, bool),
    /// A partner said something.
    Said(Side, Message),
    /// A partner is gone, or spoke nonsense.
    Lost(Side),
}

/// Who else of this proxy lives, and what they are told.
#[derive(Default)]
pub(crate) struct Partners {
    predecessor: RefCell<Option<mpsc::UnboundedSender<Message>>>,
    successor: RefCell<Option<mpsc::UnboundedSender<Message>>>,
    may_serve: Cell<bool>,
    /// Whether the successor answers claims.
    claims: Cell<bool>,
    /// Claims sent and not answered, by name.
    asked: RefCell<HashMap<String, oneshot::Sender<bool>>>,
}

impl Partners {
    /// Whether this process has taken up serving.
    pub(crate) fn may_serve(&self) -> bool {
        self.may_serve.get()
    }

    /// Notes that this process takes up serving.
    pub(crate) fn serve(&self) {
        self.may_serve.set(true);
    }

    /// Tells whoever lives.
    pub(crate) fn tell(&self, message: Message) {
        self.tell_predecessor(message.clone());
        self.tell_successor(message);
    }

    /// Tells the process before this.
    pub(crate) fn tell_predecessor(&self, message: Message) {
        if let Some(to) = &*self.predecessor.borrow() {
            let _ = to.send(message);
        }
    }

    /// Tells the process after this.
    pub(crate) fn tell_successor(&self, message: Message) {
        if let Some(to) = &*self.successor.borrow() {
            let _ = to.send(message);
        }
    }

    /// Asks the successor whether a request of the name `txn` may be opened here; none where there
    /// is no successor or it does not answer claims, and this process decides alone. The answer is
    /// false where it does not come within `PATIENCE`: a name is rather refused than perhaps run
    /// twice.
    pub(crate) fn claim(&self, txn: &str) -> Option<impl Future<Output = bool> + use<>> {
        if !self.claims.get() || self.successor.borrow().is_none() {
            return None;
        }
        let (granted, answer) = oneshot::channel();
        self.asked.borrow_mut().insert(txn.to_string(), granted);
        self.tell_successor(Message::Claim(txn.to_string()));
        Some(async move {
            timeout(PATIENCE, answer)
                .await
                .ok()
                .and_then(Result::ok)
                .unwrap_or(false)
        })
    }

    /// The successor's answer to a claim.
    pub(crate) fn claimed(&self, txn: &str, granted: bool) {
        if let Some(waiting) = self.asked.borrow_mut().remove(txn) {
            let _ = waiting.send(granted);
        }
    }

    /// Forgets a partner that is gone. Claims it has not answered are granted: nothing runs there
    /// any more.
    pub(crate) fn lost(&self, side: Side) {
        *self.slot(side).borrow_mut() = None;
        if side == Side::Successor {
            self.claims.set(false);
            self.asked.take().into_values().for_each(|waiting| {
                let _ = waiting.send(true);
            });
        }
    }

    fn slot(&self, side: Side) -> &RefCell<Option<mpsc::UnboundedSender<Message>>> {
        match side {
            Side::Predecessor => &self.predecessor,
            Side::Successor => &self.successor,
        }
    }

    /// Goes on speaking with the predecessor that left this process its sockets.
    ///
    /// # Errors
    /// The system's, where its socket can't be used.
    pub(crate) fn follow(
        &self,
        (stream, rest): (StdUnixStream, Vec<u8>),
        heard: &mpsc::UnboundedSender<Heard>,
    ) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        self.open(
            Side::Predecessor,
            UnixStream::from_std(stream)?,
            rest,
            heard.clone(),
        );
        Ok(())
    }

    /// Welcomes a successor: what it is told, and the sockets it is left.
    ///
    /// # Errors
    /// The system's, where it has gone.
    pub(crate) async fn welcome(
        &self,
        mut stream: UnixStream,
        (bans, known): (OverrideState, Option<Value>),
        sockets: &[BorrowedFd<'_>],
        claims: bool,
        heard: &mpsc::UnboundedSender<Heard>,
    ) -> io::Result<()> {
        let line = handover::encode(&Message::Welcome {
            version: PROTOCOL_VERSION,
            overrides: bans,
            endpoints: known,
        });
        let send = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(PASSED_MOST))];
            let mut passed = SendAncillaryBuffer::new(&mut space);
            passed.push(SendAncillaryMessage::ScmRights(sockets));
            let part = [IoSlice::new(line.as_bytes())];
            sendmsg(stream.as_fd(), &part, &mut passed, SendFlags::NOSIGNAL)
                .map_err(io::Error::from)
        };
        let sent = stream.async_io(Interest::WRITABLE, send).await?;
        stream.write_all(&line.as_bytes()[sent..]).await?;
        self.open(Side::Successor, stream, Vec::new(), heard.clone());
        self.claims.set(claims);
        Ok(())
    }

    fn open(
        &self,
        side: Side,
        stream: UnixStream,
        rest: Vec<u8>,
        heard: mpsc::UnboundedSender<Heard>,
    ) {
        let (to, mut tells) = mpsc::unbounded_channel::<Message>();
        *self.slot(side).borrow_mut() = Some(to);
        let (reads, mut writes) = stream.into_split();
        actix_rt::spawn(async move {
            while let Some(message) = tells.recv().await {
                if writes
                    .write_all(handover::encode(&message).as_bytes())
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
        actix_rt::spawn(async move {
            let mut lines =
                BufReader::new(tokio::io::AsyncReadExt::chain(io::Cursor::new(rest), reads));
            loop {
                let mut line = Vec::new();
                let read = (&mut lines)
                    .take(MAX_LINE_BYTES as u64 + 1)
                    .read_until(b'\n', &mut line)
                    .await;
                let message = match read {
                    Ok(bytes) if bytes > 0 => handover::decode(&line),
                    _ => break,
                };
                let Ok(message) = message else { break };
                if heard.send(Heard::Said(side, message)).is_err() {
                    return;
                }
            }
            let _ = heard.send(Heard::Lost(side));
        });
    }
}

/// Waits for a successor under the proxy's name. A name left behind by a dead process, or held by a
/// predecessor, is taken over.
pub(crate) async fn await_successor(
    store: Store,
    heard: mpsc::UnboundedSender<Heard>,
    log: Logger,
) {
    let Some(path) = store.path("sock") else {
        return;
    };
    let listener = match bind(&path, store.path(&format!("sock.{}", std::process::id()))) {
        Ok(listener) => listener,
        Err(error) => return warn!(log, "no successor can be served"; "why" => %error),
    };
    while let Ok((mut stream, _)) = listener.accept().await {
        let hello = timeout(PATIENCE, async {
            let mut line = Vec::new();
            BufReader::new((&mut stream).take(256))
                .read_until(b'\n', &mut line)
                .await
                .map(|_| line)
        });
        let hello = match hello.await {
            Ok(Ok(line)) => handover::decode(&line).map_err(|e| e.to_string()),
            _ => Err("no greeting came".to_string()),
        };
        match hello {
            Ok(Message::Hello {
                version: PROTOCOL_VERSION,
                answers_claims: claims,
            }) => {
                if heard.send(Heard::Came(stream, claims)).is_err() {
                    return;
                }
            }
            Ok(Message::Hello { version, .. }) => {
                warn!(log, "a successor speaks another version"; "version" => version);
                busy(stream, format!("it speaks version {PROTOCOL_VERSION}")).await;
            }
            Ok(_) => warn!(log, "a successor did not greet"),
            Err(why) => warn!(log, "a successor did not greet"; "why" => why),
        }
    }
}

/// Sends a successor away.
pub(crate) async fn busy(mut stream: UnixStream, why: String) {
    let _ = timeout(
        PATIENCE,
        stream.write_all(handover::encode(&Message::Busy(why)).as_bytes()),
    )
    .await;
}

fn bind(path: &Path, aside: Option<PathBuf>) -> io::Result<UnixListener> {
    let aside = aside.unwrap_or_else(|| path.with_extension("aside"));
    let _ = std::fs::remove_file(&aside);
    let listener = StdUnixListener::bind(&aside)?;
    // Renamed over what is there: guards against a moment without a name.
    std::fs::rename(&aside, path)?;
    listener.set_nonblocking(true)?;
    UnixListener::from_std(listener)
}

//! Servers that fail at each step of an exchange, for each class of request and form of body: how
//! often the request runs, what its client gets, and whether the connection to the server is used
//! again.

mod support;

use std::net::SocketAddr;

use ironmast_fault_injection::failing::{
    Ask, Connection, Ending, FailingServer, Failure, GATE, Received, RequestBody, ask, events,
};
use support::{ELSEWHERE, HERE, Stage, play};

use Connection::{Closed, Kept, Reset};

/// More than a server that turns a request away is taken to have read.
const LONG: usize = 300_000;

/// A class of requests, by the route that it goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Class {
    Safe,
    Unsafe,
    Once,
    Resumable,
}

const CLASSES: [Class; 4] = [Class::Safe, Class::Unsafe, Class::Once, Class::Resumable];

impl Class {
    fn target(self) -> &'static str {
        match self {
            Class::Safe => "/safe/a?q=1",
            Class::Unsafe => "/unsafe/a?q=1",
            Class::Once => "/once/a?q=1",
            Class::Resumable => "/stream/a?q=1",
        }
    }

    fn may_repeat(self) -> bool {
        matches!(self, Class::Safe | Class::Resumable)
    }

    /// What a request of it is answered with.
    fn content(self, id: &str) -> String {
        match self {
            Class::Safe | Class::Unsafe => format!("answer to {id}"),
            Class::Once | Class::Resumable => events(id, 1),
        }
    }
}

/// Method and body of a request.
const FORMS: [(&str, RequestBody); 5] = [
    ("GET", RequestBody::None),
    ("POST", RequestBody::Sized(8)),
    ("PUT", RequestBody::Chunked(3_000)),
    ("PATCH", RequestBody::Sized(LONG)),
    ("DELETE", RequestBody::None),
];

/// Those that a failure is played with: few where each takes the whole time that its client has.
fn forms(meaning: Meaning) -> &'static [(&'static str, RequestBody)] {
    if meaning == Meaning::Late {
        &FORMS[1..3]
    } else {
        &FORMS
    }
}

/// What the failure of the server that is asked first means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Meaning {
    /// The answer is whole all the same.
    Served,
    /// The request has not run.
    NotRun,
    /// It may have run, and nothing of an answer is of use.
    Unknown,
    /// The same, and some of a stream has been passed on.
    Cut,
    /// The server fails in its own words, which go to the client.
    Failed,
    /// It fails in words that would promise what it has not, and its status is that of the client's
    /// fault.
    Untrue,
    /// No answer in the time that the client has.
    Late,
}

/// Every failure, what it means, and whether the connection is used again.
fn table() -> Vec<(Failure, Meaning, bool)> {
    use Failure::*;
    use Meaning::*;
    let mut rows = vec![
        (None, Served, true),
        (Silence, Late, false),
        (Interim(100), Served, true),
        (Interim(102), Served, true),
        (Interim(103), Served, true),
        (AfterInterim(101, Kept), Unknown, false),
        (Noise, Served, false),
        (Twice, Served, false),
        (Foreign, Served, false),
        (ForeignFirst, Served, false),
        (ForeignInstead, Unknown, false),
        (ForeignAndSilence, Late, false),
        (Nameless, Unknown, false),
        (TwoNames, Unknown, false),
        (BothFramings, Unknown, false),
        (TwoLengths, Unknown, false),
        (BadChunk, Unknown, false),
        (OldChunks, Unknown, false),
        (BodyWithout204, Unknown, false),
        (Unstamped, Unknown, false),
        (Promise(503), NotRun, true),
        (Promise(429), NotRun, true),
        (Promise(421), NotRun, true),
        (Failure::Status(421), NotRun, true),
        (Failure::Status(500), Failed, true),
        (Failure::Status(504), Failed, true),
        (Failure::Status(503), Unknown, true),
        (Failure::Status(429), Untrue, true),
        (Failure::Status(408), Untrue, true),
    ];
    for end in [Closed, Reset] {
        rows.extend([(NoHead(end), Unknown, false), (InHead(end), Unknown, false)]);
        rows.extend([
            (InInterim(end), Unknown, false),
            (AfterInterim(103, end), Unknown, false),
        ]);
        rows.extend([(InBody(end), Cut, false), (InChunks(end), Cut, false)]);
        rows.extend([(EarlyPromise(503, end), NotRun, false)]);
    }
    for announced in [false, true] {
        rows.push((
            Unframed {
                announced,
                end: Closed,
            },
            Served,
            false,
        ));
        rows.push((
            Unframed {
                announced,
                end: Reset,
            },
            Cut,
            false,
        ));
    }
    rows
}

/// What a request must come to, with a second server that serves.
#[derive(Debug, PartialEq, Eq)]
struct Exchange {
    status: u16,
    ending: Ending,
    body: String,
    /// Runs at the first and at the second server.
    runs: (usize, usize),
}

fn result(failure: Failure, meaning: Meaning, class: Class, id: &str) -> Exchange {
    let whole = |runs| Exchange {
        status: 200,
        ending: Ending::Whole,
        body: class.content(id),
        runs,
    };
    let failed = |status| Exchange {
        status,
        ending: Ending::Whole,
        body: String::new(),
        runs: (1, 0),
    };
    let is_stream = matches!(class, Class::Once | Class::Resumable);
    match meaning {
        Meaning::Served => whole((1, 0)),
        Meaning::NotRun => whole((0, 1)),
        Meaning::Late => failed(504),
        Meaning::Untrue => failed(502),
        Meaning::Cut if class == Class::Once => {
            // The event that was cut is not passed on.
            let body = if matches!(failure, Failure::InBody(_)) {
                "id: 1\n"
            } else {
                "id: 2\n"
            };
            let body = class
                .content(id)
                .split_once(body)
                .map(|(before, _)| before.to_string() + body);
            let body = body.expect("it is there") + &format!("data: {id}\n\n");
            Exchange {
                status: 200,
                ending: Ending::Broken,
                body,
                runs: (1, 0),
            }
        }
        Meaning::Unknown | Meaning::Cut | Meaning::Failed if class.may_repeat() => whole((1, 1)),
        Meaning::Unknown | Meaning::Cut => failed(502),
        Meaning::Failed => {
            let Failure::Status(status) = failure else {
                panic!("{failure:?} has no words of its own")
            };
            let body = if is_stream {
                events(id, 1)
            } else {
                class.content(id)
            };
            Exchange {
                status,
                ending: Ending::Whole,
                body,
                runs: (1, 0),
            }
        }
    }
}

fn request<'a>(
    class: Class,
    form: (&'a str, RequestBody),
    id: &'a str,
    meaning: Meaning,
) -> Ask<'a> {
    let headers = match meaning {
        Meaning::Late => "X-Ironmast-Deadline-Ms: 400\r\n",
        _ => "X-Ironmast-Deadline-Ms: 20000\r\n",
    };
    Ask {
        method: form.0,
        target: class.target(),
        id_header: GATE.id,
        id,
        headers,
        body: form.1,
    }
}

/// What such a client waits for, on a thread of its own: the gate runs on this one.
async fn blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    actix_rt::task::spawn_blocking(work).await.expect("it ends")
}

async fn asked(
    to: SocketAddr,
    class: Class,
    form: (&'static str, RequestBody),
    meaning: Meaning,
) -> Received {
    blocking(move || ask(to, &request(class, form, "r1", meaning)).expect("a connection")).await
}

/// Whatever fails, nothing that may have run runs again unless it may, and the client gets one
/// whole answer, an answer that is visibly broken off, or a failure that promises nothing.
#[test]
fn each_failure_of_a_server_for_each_class_and_form() {
    for (failure, meaning, _) in table() {
        play(async move {
            for class in CLASSES {
                for &form in forms(meaning) {
                    let first = FailingServer::start(GATE, &[failure]).expect("a port");
                    let second = FailingServer::start(GATE, &[]).expect("a port");
                    let servers = [
                        ("i-1", first.address, HERE),
                        ("i-2", second.address, ELSEWHERE),
                    ];
                    let stage = Stage::start_at(&servers).await;
                    let got = asked(stage.frontend, class, form, meaning).await;
                    let (first, second) = (first.seen(), second.seen());
                    let runs = (first.runs.len(), second.runs.len());
                    let told = Exchange {
                        status: got.status,
                        ending: got.ending,
                        body: got.body.clone(),
                        runs,
                    };
                    let wanted = result(failure, meaning, class, "r1");
                    assert_eq!(told, wanted, "{failure:?}, {class:?}, {form:?}");
                    assert!(
                        first.wrong.is_empty() && second.wrong.is_empty(),
                        "{failure:?}: {first:?} {second:?}"
                    );
                    let stamped = got.header("x-ironmast-server-signature").is_some();
                    let of_server = got.status == 200 || meaning == Meaning::Failed;
                    assert_eq!(stamped, of_server, "{failure:?}, {class:?}: {}", got.head);
                }
            }
        });
    }
}

/// A connection on which anything is in doubt carries no further request; a sound one does.
#[test]
fn a_connection_is_used_again_only_after_a_sound_answer() {
    for (failure, meaning, again) in table() {
        play(async move {
            for class in [Class::Unsafe, Class::Resumable] {
                for &form in forms(meaning) {
                    let server = FailingServer::start(GATE, &[failure]).expect("a port");
                    let stage = Stage::start_at(&[("i-1", server.address, HERE)]).await;
                    asked(stage.frontend, class, form, meaning).await;
                    let to = stage.frontend;
                    let next = Ask {
                        id: "r2",
                        ..request(Class::Unsafe, FORMS[1], "r2", Meaning::Served)
                    };
                    let got = blocking(move || ask(to, &next).expect("a connection")).await;
                    let seen = server.seen();
                    let connection = |id: &str| {
                        let arrivals = seen.arrivals.iter().filter(|(of, _)| of == id);
                        arrivals.map(|(_, number)| *number).collect::<Vec<_>>()
                    };
                    let of_next = connection("r2");
                    if got.status == 503 && of_next.is_empty() {
                        // It is let rest after a refusal: the connections of refusals are another
                        // test's.
                        assert!(
                            meaning == Meaning::NotRun,
                            "{failure:?}, {class:?}, {form:?}: {got:?}"
                        );
                        continue;
                    }
                    assert_eq!(
                        (got.status, got.body.as_str()),
                        (200, "answer to r2"),
                        "{failure:?}, {class:?}"
                    );
                    let used_again = connection("r1").last() == of_next.last();
                    let long = form.1 == RequestBody::Sized(LONG);
                    let turned_away = matches!(failure, Failure::Status(_) | Failure::Promise(_));
                    assert_eq!(
                        used_again,
                        again && !(long && turned_away),
                        "{failure:?}, {class:?}, {form:?}"
                    );
                }
            }
        });
    }
}

/// What a server that is asked over a kept connection does with it in between.
#[test]
fn a_kept_connection_that_its_server_has_forgotten_costs_no_request() {
    for failure in [
        Failure::AfterAnswer(Closed),
        Failure::AfterAnswer(Reset),
        Failure::ForeignLater,
    ] {
        play(async move {
            for class in CLASSES {
                for form in FORMS {
                    let server = FailingServer::start(GATE, &[failure]).expect("a port");
                    let stage = Stage::start_at(&[("i-1", server.address, HERE)]).await;
                    let to = stage.frontend;
                    let (first, next, seen) = blocking(move || {
                        let first =
                            ask(to, &request(Class::Unsafe, FORMS[1], "r1", Meaning::Served));
                        server.go_on();
                        let next = ask(to, &request(class, form, "r2", Meaning::Served));
                        (
                            first.expect("a connection"),
                            next.expect("a connection"),
                            server.seen(),
                        )
                    })
                    .await;
                    assert_eq!((first.status, first.body.as_str()), (200, "answer to r1"));
                    let wanted = (200, class.content("r2"), Ending::Whole);
                    assert_eq!(
                        (next.status, next.body, next.ending),
                        wanted,
                        "{failure:?}, {class:?}, {form:?}"
                    );
                    assert_eq!(seen.runs, ["r1", "r2"], "{failure:?}, {class:?}, {form:?}");
                    assert_eq!(
                        seen.arrivals.last().map(|(_, number)| *number),
                        Some(1),
                        "on one of its own"
                    );
                }
            }
        });
    }
}

/// The server resets a kept connection as a request is on it: whether that was read can't be known.
#[test]
fn a_kept_connection_that_breaks_under_a_request_counts_as_one_that_ran() {
    for end in [Closed, Reset] {
        play(async move {
            for class in CLASSES {
                for form in FORMS {
                    let first = FailingServer::start(GATE, &[Failure::None, Failure::NoHead(end)])
                        .expect("a port");
                    let second = FailingServer::start(GATE, &[]).expect("a port");
                    let servers = [
                        ("i-1", first.address, HERE),
                        ("i-2", second.address, ELSEWHERE),
                    ];
                    let stage = Stage::start_at(&servers).await;
                    let to = stage.frontend;
                    let next = blocking(move || {
                        let warm =
                            ask(to, &request(Class::Unsafe, FORMS[1], "r1", Meaning::Served));
                        assert_eq!(warm.expect("a connection").body, "answer to r1");
                        ask(to, &request(class, form, "r2", Meaning::Served)).expect("a connection")
                    })
                    .await;
                    let arrivals = first.seen().arrivals;
                    assert_eq!(
                        arrivals,
                        [("r1".to_string(), 0), ("r2".to_string(), 0)],
                        "on the kept one"
                    );
                    let wanted = if class.may_repeat() {
                        (200, 1)
                    } else {
                        (502, 0)
                    };
                    assert_eq!(
                        (next.status, second.seen().runs.len()),
                        wanted,
                        "{end:?}, {class:?}, {form:?}"
                    );
                }
            }
        });
    }
}

/// A server may answer before it has read a long body, and read on later.
#[test]
fn an_early_answer_leaves_no_other_bytes_where_the_rest_of_a_body_is_due() {
    for failure in [
        Failure::EarlyPromise(503, Kept),
        Failure::EarlyPromise(429, Kept),
        Failure::EarlyPromise(421, Kept),
        Failure::EarlyError(Kept),
    ] {
        play(async move {
            for body in [
                RequestBody::Sized(8),
                RequestBody::Sized(LONG),
                RequestBody::Sized(4_000_000),
            ] {
                for class in CLASSES {
                    let first = FailingServer::start(GATE, &[failure]).expect("a port");
                    let second = FailingServer::start(GATE, &[]).expect("a port");
                    let servers = [
                        ("i-1", first.address, HERE),
                        ("i-2", second.address, ELSEWHERE),
                    ];
                    let stage = Stage::start_at(&servers).await;
                    let to = stage.frontend;
                    for id in ["r1", "r2", "r3"] {
                        let got = blocking(move || {
                            ask(to, &request(class, ("POST", body), id, Meaning::Served))
                                .expect("a connection")
                        })
                        .await;
                        let early = id == "r1" && matches!(failure, Failure::EarlyError(_));
                        let wanted = if early && !class.may_repeat() {
                            500
                        } else {
                            200
                        };
                        assert_eq!(
                            (got.status, got.ending),
                            (wanted, Ending::Whole),
                            "{failure:?}, {class:?}, {id}"
                        );
                        assert_eq!(got.body, class.content(id));
                    }
                    let (first, second) = (first.seen(), second.seen());
                    assert!(
                        first.wrong.is_empty() && second.wrong.is_empty(),
                        "{failure:?}: {first:?} {second:?}"
                    );
                    for id in ["r1", "r2", "r3"] {
                        let runs = first
                            .runs
                            .iter()
                            .chain(&second.runs)
                            .filter(|of| *of == id)
                            .count();
                        let most = if class.may_repeat() { 2 } else { 1 };
                        assert!(runs <= most, "{failure:?}, {class:?}: {first:?} {second:?}");
                    }
                }
            }
        });
    }
}

/// An answer to `HEAD` ends with its head, whatever that says of a body.
#[test]
fn an_answer_to_head_is_whole_with_its_head() {
    play(async {
        for failure in [
            Failure::None,
            Failure::InBody(Closed),
            Failure::InChunks(Closed),
            Failure::Unframed {
                announced: false,
                end: Closed,
            },
        ] {
            for class in [Class::Unsafe, Class::Once] {
                // Each on a connection of its own: the server may close the last one as the next
                // request is written.
                let server = FailingServer::start(GATE, &[failure]).expect("a port");
                let stage = Stage::start_at(&[("i-1", server.address, HERE)]).await;
                let got = asked(
                    stage.frontend,
                    class,
                    ("HEAD", RequestBody::None),
                    Meaning::Served,
                )
                .await;
                assert_eq!(
                    (got.status, got.ending),
                    (200, Ending::Whole),
                    "{failure:?}: {got:?}"
                );
            }
        }
    });
}

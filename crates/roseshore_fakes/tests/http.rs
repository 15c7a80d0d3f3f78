//! The server of the fakes, at the level of connections.

use roseshore_fakes::http::{self, Handler, Request, Server};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Far above the time that a reply takes beside load.
const LIMIT: Duration = Duration::from_secs(20);

struct Echo;

impl Handler for Echo {
    fn handle(&self, request: Request) {
        http::reply_text(request, 200, "here");
    }
}

/// Sends a request and returns its connection, which stays open.
fn ask(to: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(LIMIT))?;
    stream.write_all(b"GET / HTTP/1.1\r\nHost: fake\r\n\r\n")?;
    stream.read_exact(&mut [0; 15])?;
    Ok(stream)
}

#[test]
fn a_connection_is_served_while_others_stay_open() {
    struct Case {
        name: &'static str,
        /// Connections of one burst.
        connections: usize,
        rounds: usize,
    }
    let cases = [
        Case { name: "a few at a time", connections: 6, rounds: 30 },
        Case { name: "many at once", connections: 48, rounds: 10 },
    ];
    for case in cases {
        for round in 0..case.rounds {
            let bind = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::start(bind, 64, Arc::new(Echo)).expect("a port is free");
            let to = server.addr();
            let calls: Vec<_> =
                (0..case.connections).map(|_| thread::spawn(move || ask(to))).collect();
            let open: Vec<_> = calls.into_iter().map(|call| call.join().expect("ends")).collect();
            let silent = open.iter().filter(|reply| reply.is_err()).count();
            assert_eq!(silent, 0, "{}, round {round}: without a reply", case.name);
        }
    }
}

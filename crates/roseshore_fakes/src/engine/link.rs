//! Links between stages: one connection per answer and hop, with frames of `roseshore_wire`.
//!
//! Steps are sent down the chain and sampled tokens back up; each side handles one message at a
//! time. A stage waits for the next one for as many hop timeouts as there are stages after it, so
//! that the stage right before an unresponsive one times out first and can name it.

use super::core::Core;
use super::run::{Open, Run};
use parking_lot::Mutex;
use roseshore_core::prelude::*;
use roseshore_wire::engine::{Stage, Stamp};
use roseshore_wire::frame::{self, FrameError};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Messages down the chain.
#[derive(Debug, Serialize, Deserialize)]
enum Down {
    /// The first message of a connection.
    Open(Open),
    /// One step.
    Step(Step),
    /// The answer is complete.
    Finish,
}

/// Messages up the chain.
#[derive(Debug, Serialize, Deserialize)]
enum Up {
    /// This stage and all following ones are ready.
    Opened,
    /// The token of the last step.
    Sampled(Sampled),
    /// The answer cannot continue.
    Lost(Loss),
}

/// One step, which produces one token.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Step {
    /// The position of the token that the step produces.
    pub(super) position: Position,
    /// The preceding token, which the stages do not know yet; `None` on the first step.
    pub(super) token: Option<String>,
    /// The stamps of the stages that ran so far.
    pub(super) lineage: Vec<Stamp>,
}

/// A sampled token.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Sampled {
    pub(super) position: Position,
    pub(super) text: String,
    pub(super) lineage: Vec<Stamp>,
}

/// The reason why an answer cannot continue.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Loss {
    pub(super) stage: Option<TargetId>,
    pub(super) reason: String,
}

/// The address on which a stage accepts frames.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct StageAddr {
    pub(super) addr: SocketAddr,
    pub(super) incarnation: Incarnation,
}

/// The frame addresses of other engines, requested once per incarnation.
#[derive(Default)]
pub(super) struct Directory {
    known: Mutex<HashMap<(SocketAddr, Incarnation), SocketAddr>>,
}

impl Directory {
    fn find(&self, stage: &Stage, limit: Duration) -> Result<SocketAddr, String> {
        let (addr, incarnation) = (stage.addr, stage.incarnation);
        if let Some(found) = self.known.lock().get(&(addr, incarnation)) {
            return Ok(*found);
        }
        let config = ureq::Agent::config_builder().proxy(None).timeout_global(Some(limit)).build();
        let call = config.new_agent().get(format!("http://{addr}/v1/stage")).call();
        let mut reply = call.map_err(|e| e.to_string())?;
        let hops: StageAddr = reply.body_mut().read_json().map_err(|e| e.to_string())?;
        if hops.incarnation != incarnation {
            return Err(format!("the engine lives as {}", hops.incarnation));
        }
        self.known.lock().insert((addr, incarnation), hops.addr);
        Ok(hops.addr)
    }
}

/// The connection to the next stage.
pub(super) struct Link {
    target: TargetId,
    out: TcpStream,
    input: BufReader<TcpStream>,
}

impl Link {
    /// Opens the stages after the one at `open.index`.
    ///
    /// # Errors
    /// The stage that cannot run the answer, and the reason.
    pub(super) fn open(core: &Core, open: &Open) -> Result<Link, Loss> {
        let index = open.index + 1;
        let stage = &open.ask.route[index as usize];
        let failed = |reason| Loss { stage: Some(stage.target.clone()), reason };
        let hop = core.settings.hop_timeout;
        let after = open.ask.route.len() as u32 - index;
        let addr = core.directory.find(stage, hop / 2).map_err(failed)?;
        let out = connect(addr, hop * after).map_err(|e| failed(e.to_string()))?;
        let input = out.try_clone().map_err(|e| failed(e.to_string()))?;
        let mut link = Link { target: stage.target.clone(), out, input: BufReader::new(input) };
        match link.ask(&Down::Open(Open { ask: open.ask.clone(), index }))? {
            Up::Opened => Ok(link),
            Up::Lost(loss) => Err(loss),
            Up::Sampled(_) => Err(link.lost("a token came before the stage was open")),
        }
    }

    pub(super) fn socket(&self) -> &TcpStream {
        &self.out
    }

    /// Forwards a step and waits for its token.
    ///
    /// # Errors
    /// The stage that failed, and the reason.
    pub(super) fn step(&mut self, step: Step) -> Result<Sampled, Loss> {
        match self.ask(&Down::Step(step))? {
            Up::Sampled(sampled) => Ok(sampled),
            Up::Lost(loss) => Err(loss),
            Up::Opened => Err(self.lost("a stage was opened twice")),
        }
    }

    /// Reports that the answer is complete.
    pub(super) fn finish(&mut self) {
        let _ = frame::write(&mut self.out, &Down::Finish);
    }

    fn ask(&mut self, down: &Down) -> Result<Up, Loss> {
        let up = frame::write(&mut self.out, down).and_then(|()| frame::read(&mut self.input));
        up.map_err(|e| self.lost(&e.to_string()))
    }

    fn lost(&self, reason: &str) -> Loss {
        Loss { stage: Some(self.target.clone()), reason: reason.to_owned() }
    }
}

fn connect(addr: SocketAddr, timeout: Duration) -> std::io::Result<TcpStream> {
    let socket = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(timeout))?;
    socket.set_write_timeout(Some(timeout))?;
    Ok(socket)
}

/// Accepts connections of preceding stages until the engine ends.
pub(super) fn listen(core: Arc<Core>, listener: TcpListener) {
    thread::spawn(move || {
        for socket in listener.incoming() {
            if core.has_ended() {
                return;
            }
            if let Ok(socket) = socket {
                serve_connection(core.clone(), socket);
            }
        }
    });
}

/// Wakes the accepting thread so that it notices that the engine has ended.
pub(super) fn wake(listener: SocketAddr) {
    let _ = TcpStream::connect_timeout(&listener, CONNECT_TIMEOUT);
}

fn serve_connection(core: Arc<Core>, socket: TcpStream) {
    thread::spawn(move || {
        if socket.set_nodelay(true).is_ok() {
            // Any end of the connection ends the work; no peer is left to receive an error.
            let _ = serve(&core, socket);
        }
    });
}

fn serve(core: &Arc<Core>, socket: TcpStream) -> Result<(), FrameError> {
    let mut input = BufReader::new(socket.try_clone()?);
    let mut out = socket.try_clone()?;
    let Down::Open(open) = frame::read(&mut input)? else { return Ok(()) };
    core.wait_while_frozen();
    let mut run = match Run::open(core, open, Some(&socket)) {
        Ok(run) => run,
        Err(loss) => return frame::write(&mut out, &Up::Lost(loss)),
    };
    frame::write(&mut out, &Up::Opened)?;
    loop {
        match frame::read(&mut input)? {
            Down::Step(step) => match run.step(step) {
                Ok(sampled) => {
                    core.work(core.settings.link_delay, || true);
                    frame::write(&mut out, &Up::Sampled(sampled))?;
                }
                Err(loss) => return frame::write(&mut out, &Up::Lost(loss)),
            },
            Down::Finish => {
                run.finish();
                return Ok(());
            }
            Down::Open(_) => return Ok(()),
        }
    }
}

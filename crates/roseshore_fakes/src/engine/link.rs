//! From stage to stage: one connection for each answer and hop, frames of `roseshore_wire`.
//!
//! A step goes down the chain, the sampled token comes back up; each side handles one message at
//! a time. A stage waits for the next one for as many hop timeouts as there are stages after it,
//! so that the stage right before a silent one is the first to give up and can name it.

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

/// How long the making of a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Down the chain.
#[derive(Debug, Serialize, Deserialize)]
enum Down {
    /// The first message.
    Open(Open),
    /// One step.
    Step(Step),
    /// The answer is whole.
    Finish,
}

/// Up the chain.
#[derive(Debug, Serialize, Deserialize)]
enum Up {
    /// This stage and all after it are ready.
    Opened,
    /// The token of the last step.
    Sampled(Sampled),
    /// The answer cannot go on.
    Lost(Loss),
}

/// One step of one token.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Step {
    /// The position of the token that will come of it.
    pub(super) position: Position,
    /// The token before it, which the stages do not know yet; none on the first step.
    pub(super) token: Option<String>,
    /// What ran so far.
    pub(super) lineage: Vec<Stamp>,
}

/// A token.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Sampled {
    pub(super) position: Position,
    pub(super) text: String,
    pub(super) lineage: Vec<Stamp>,
}

/// Why an answer cannot go on.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Loss {
    pub(super) stage: Option<TargetId>,
    pub(super) reason: String,
}

/// Where a stage hears frames.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct StageAddr {
    pub(super) addr: SocketAddr,
    pub(super) incarnation: Incarnation,
}

/// Frame addresses of other engines, asked for once in each of their lives.
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
    /// Which of them cannot run the answer, and why.
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

    /// Hands a step on and waits for its token.
    ///
    /// # Errors
    /// Which stage failed, and why.
    pub(super) fn step(&mut self, step: Step) -> Result<Sampled, Loss> {
        match self.ask(&Down::Step(step))? {
            Up::Sampled(sampled) => Ok(sampled),
            Up::Lost(loss) => Err(loss),
            Up::Opened => Err(self.lost("a stage was opened twice")),
        }
    }

    /// Tells that the answer is whole.
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

/// Takes connections of earlier stages until the stand-in ends.
pub(super) fn listen(core: Arc<Core>, listener: TcpListener) {
    thread::spawn(move || {
        for socket in listener.incoming() {
            if core.over() {
                return;
            }
            if let Ok(socket) = socket {
                take(core.clone(), socket);
            }
        }
    });
}

/// Lets the thread that takes connections see that the stand-in has ended.
pub(super) fn wake(listener: SocketAddr) {
    let _ = TcpStream::connect_timeout(&listener, CONNECT_TIMEOUT);
}

fn take(core: Arc<Core>, socket: TcpStream) {
    thread::spawn(move || {
        if socket.set_nodelay(true).is_ok() {
            // An end of the connection in any way is the end of the work; nobody is left to tell.
            let _ = serve(&core, socket);
        }
    });
}

fn serve(core: &Arc<Core>, socket: TcpStream) -> Result<(), FrameError> {
    let mut input = BufReader::new(socket.try_clone()?);
    let mut out = socket.try_clone()?;
    let Down::Open(open) = frame::read(&mut input)? else { return Ok(()) };
    core.thaw();
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

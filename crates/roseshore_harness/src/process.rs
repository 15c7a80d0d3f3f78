//! One started program.

use quick_error::quick_error;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// How long a program has to say where it listens.
const START_LIMIT: Duration = Duration::from_secs(20);
/// The environment variable that names a directory for the daemons' logs, so that a test which fails once can be
/// traced.
const LOGS: &str = "ROSESHORE_TEST_LOGS";
/// Programs started with a log of their own.
static STARTED: AtomicU16 = AtomicU16::new(0);
/// Ports below those that the system gives to outgoing connections, so that nobody else takes one.
const PORTS: std::ops::Range<u16> = 10_000..20_000;

quick_error! {
    /// Why a program could not be used.
    #[derive(Debug)]
    pub enum ProcessError {
        /// It could not be started.
        Start(program: String, err: std::io::Error) {
            display("`{program}` cannot be started: {err}; build it with `cargo build --workspace --bins`")
        }
        /// It said nothing of where it listens.
        Silent(program: String) {
            display("`{program}` did not print `listening ADDR`")
        }
        /// It did not come to serve.
        NotReady(what: String) {
            display("{what} did not become ready")
        }
        /// A call to it failed.
        Call(why: String) {
            display("{why}")
        }
    }
}

/// A started program; it is killed when this is dropped.
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program of this workspace; its log is thrown away unless [`LOGS`] names a directory for it.
    ///
    /// # Errors
    /// When it is not built, or the log cannot be written.
    pub fn start(program: &str, args: &[String]) -> Result<Process, ProcessError> {
        if let Some(logs) = std::env::var_os(LOGS) {
            let number = STARTED.fetch_add(1, Ordering::Relaxed);
            let name = format!("{program}-{}-{number}.log", std::process::id());
            return Process::logged(program, args, &PathBuf::from(logs).join(name));
        }
        let child = command(program, args).stdout(Stdio::null()).spawn();
        let child = child.map_err(|err| ProcessError::Start(program.to_owned(), err))?;
        Ok(Process { name: program.to_owned(), child })
    }

    /// Starts a program of this workspace whose log goes to the end of a file.
    ///
    /// # Errors
    /// When it is not built, or the file cannot be written.
    pub fn logged(program: &str, args: &[String], log: &Path) -> Result<Process, ProcessError> {
        let failed = |err| ProcessError::Start(program.to_owned(), err);
        let file = File::options().create(true).append(true).open(log).map_err(failed)?;
        let child = command(program, args).stdout(file).spawn().map_err(failed)?;
        Ok(Process { name: program.to_owned(), child })
    }

    /// Starts a program that prints `listening ADDR`, and waits for that line.
    ///
    /// # Errors
    /// When it is not built or ends without the line.
    pub fn listening(
        program: &str,
        args: &[String],
    ) -> Result<(Process, SocketAddr), ProcessError> {
        let child = command(program, args).stdout(Stdio::piped()).spawn();
        let mut child = child.map_err(|err| ProcessError::Start(program.to_owned(), err))?;
        let silent = || ProcessError::Silent(program.to_owned());
        let out = child.stdout.take().ok_or_else(silent)?;
        let process = Process { name: program.to_owned(), child };
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).map_err(|_| silent())?;
        let addr = line.trim().strip_prefix("listening ").and_then(|a| a.parse().ok());
        addr.map(|addr| (process, addr)).ok_or_else(silent)
    }

    /// The program's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it at once and waits for its end.
    pub fn kill(&mut self) {
        // It may have ended by itself, which is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to end in an orderly way.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Tells it that its settings changed.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Freezes it: it keeps its sockets and answers nothing.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on after [`Process::freeze`].
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            // A process that has ended takes no signal; the caller waits for its end anyway.
            let _ = kill_process(id, signal);
        }
    }

    /// Waits for its end; `None` when it still runs after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a program of this workspace to its end; returns its exit code and standard output.
///
/// # Errors
/// When it is not built.
pub fn run(program: &str, args: &[String]) -> Result<(i32, String), ProcessError> {
    let output = command(program, args).stderr(Stdio::inherit()).output();
    let output = output.map_err(|err| ProcessError::Start(program.to_owned(), err))?;
    let code = output.status.code().unwrap_or(-1);
    Ok((code, String::from_utf8_lossy(&output.stdout).into_owned()))
}

fn command(program: &str, args: &[String]) -> Command {
    let mut command = Command::new(folder().join(program));
    command.args(args).stdin(Stdio::null()).stderr(Stdio::null());
    command
}

/// Where the workspace's programs are built: beside this one, or a folder above for tests.
fn folder() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.parent().map(PathBuf::from).unwrap_or_default();
    if folder.ends_with("deps") || folder.ends_with("examples") {
        return folder.parent().map(PathBuf::from).unwrap_or(folder);
    }
    folder
}

/// A port of this machine on which nobody listens now.
///
/// Two processes that ask at once begin at different places; a port is given once by each.
pub fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let span = PORTS.end - PORTS.start;
    let begin = (std::process::id() % u32::from(span)) as u16;
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + begin.wrapping_mul(61).wrapping_add(step) % span;
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            return port;
        }
    }
}

/// Waits until a condition holds; `false` when it does not within the start limit.
pub fn wait_until(mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + START_LIMIT;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

//! Child processes: programs of the workspace, started and signalled.

use quick_error::quick_error;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use socket2::{Domain, Socket, Type};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Limit for a condition that a started program has to reach; see [`wait_until`].
const START_LIMIT: Duration = Duration::from_secs(20);
/// Environment variable that names a directory for the programs' logs, so that a test failure that
/// does not recur can be traced.
const LOG_DIR_VAR: &str = "ROSESHORE_TEST_LOGS";
/// Number of programs started with a log file; makes the file names unique.
static LOG_COUNT: AtomicU16 = AtomicU16::new(0);
/// Ports below the ephemeral range, so that no outgoing connection takes one.
const PORT_RANGE: std::ops::Range<u16> = 10_000..20_000;
/// Distance between the first ports of processes with successive ids: more than a soak of some
/// minutes uses.
const PORT_DISTANCE: u32 = 503;

quick_error! {
    /// Errors from starting or calling a program.
    #[derive(Debug)]
    pub enum ProcessError {
        /// The program could not be started.
        Start(program: String, err: std::io::Error) {
            display("`{program}` cannot be started: {err}; build it with `cargo build --workspace --bins`")
        }
        /// The program did not print the address it listens on.
        Silent(program: String) {
            display("`{program}` did not print `listening ADDR`")
        }
        /// The program or daemon did not become ready within the limit.
        NotReady(what: String) {
            display("{what} did not become ready")
        }
        /// A call to the program failed.
        Call(why: String) {
            display("{why}")
        }
    }
}

/// A child process; it is killed on drop.
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts a program of this workspace. Its standard output is discarded unless the environment
    /// variable `ROSESHORE_TEST_LOGS` names a directory for it.
    ///
    /// # Errors
    /// If the program is not built or the log file cannot be opened.
    pub fn start(program: &str, args: &[String]) -> Result<Process, ProcessError> {
        if let Some(logs) = std::env::var_os(LOG_DIR_VAR) {
            let number = LOG_COUNT.fetch_add(1, Ordering::Relaxed);
            let name = format!("{program}-{}-{number}.log", std::process::id());
            return Process::logged(program, args, &PathBuf::from(logs).join(name));
        }
        let child = command(program, args).stdout(Stdio::null()).spawn();
        let child = child.map_err(|err| ProcessError::Start(program.to_owned(), err))?;
        Ok(Process { name: program.to_owned(), child })
    }

    /// Starts a program of this workspace and appends its standard output to a file.
    ///
    /// # Errors
    /// If the program is not built or the file cannot be opened.
    pub fn logged(program: &str, args: &[String], log: &Path) -> Result<Process, ProcessError> {
        let failed = |err| ProcessError::Start(program.to_owned(), err);
        let file = File::options().create(true).append(true).open(log).map_err(failed)?;
        let child = command(program, args).stdout(file).spawn().map_err(failed)?;
        Ok(Process { name: program.to_owned(), child })
    }

    /// Starts a program that prints `listening ADDR`, and waits for that line.
    ///
    /// # Errors
    /// If the program is not built or exits without printing the line.
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

    /// Starts a command, under this name.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn spawn(name: &str, mut command: Command) -> Result<Process, ProcessError> {
        let child = command.spawn().map_err(|err| ProcessError::Start(name.to_owned(), err))?;
        Ok(Process { name: name.to_owned(), child })
    }

    /// The file name of the program.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The operating system's process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL and waits until the process has exited.
    pub fn kill(&mut self) {
        // Fails only if the process has already exited, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, which requests an orderly shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP, which makes the process reload its settings.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Sends SIGSTOP and waits until the process has stopped: it keeps its sockets open but answers
    /// nothing.
    ///
    /// The signal stops a process only once one of its threads has been scheduled; on a busy machine
    /// the others work on until then.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let Some(id) = id else { return };
        let options = WaitIdOptions::STOPPED | WaitIdOptions::NOHANG;
        // An error means that the process has exited.
        wait_until(|| waitid(WaitId::Pid(id), options).map_or(true, |it| it.is_some()));
    }

    /// Sends SIGCONT, which resumes the process after [`Process::freeze`].
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            // Signalling fails if the process has exited; the caller waits for its exit anyway.
            let _ = kill_process(id, signal);
        }
    }

    /// Waits for the process to exit; `None` if it is still running after `limit`.
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

/// Runs a program of this workspace until it exits; returns its exit code (-1 if a signal ended it)
/// and its standard output.
///
/// # Errors
/// If the program is not built.
pub fn run(program: &str, args: &[String]) -> Result<(i32, String), ProcessError> {
    let output = command(program, args).stderr(Stdio::inherit()).output();
    let output = output.map_err(|err| ProcessError::Start(program.to_owned(), err))?;
    let code = output.status.code().unwrap_or(-1);
    Ok((code, String::from_utf8_lossy(&output.stdout).into_owned()))
}

fn command(program: &str, args: &[String]) -> Command {
    let mut command = Command::new(program_dir().join(program));
    command.args(args).stdin(Stdio::null()).stderr(Stdio::null());
    command
}

/// The directory of the workspace's built programs: that of the current executable, or its parent
/// for tests and examples.
fn program_dir() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let dir = own.parent().map(PathBuf::from).unwrap_or_default();
    if dir.ends_with("deps") || dir.ends_with("examples") {
        return dir.parent().map(PathBuf::from).unwrap_or(dir);
    }
    dir
}

/// Returns a port of this host on which no process currently listens at any address.
///
/// The search starts at an offset derived from the process id, so that concurrent processes probe
/// different ports; one process returns each port once until the range is used up.
pub fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let span = PORT_RANGE.end - PORT_RANGE.start;
    let begin = (std::process::id().wrapping_mul(PORT_DISTANCE) % u32::from(span)) as u16;
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORT_RANGE.start + begin.wrapping_add(step) % span;
        if is_free(port) {
            return port;
        }
    }
}

/// Whether no process listens on a port. It is bound without listening: a process that another
/// thread starts meanwhile inherits the socket for a moment, and a listening one would then keep the
/// port in use.
fn is_free(port: u16) -> bool {
    let bind = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, port)).into())
    };
    bind().is_ok()
}

/// Polls a condition until it holds; `false` if it does not within 20 s.
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

/// Memory that a running process has in use, in MB.
pub fn resident_mb(process: u32) -> Option<usize> {
    status_mb(process, "VmRSS:")
}

/// The most memory that a running process has had in use, in MB.
pub fn peak_resident_mb(process: u32) -> Option<usize> {
    status_mb(process, "VmHWM:")
}

fn status_mb(process: u32, field: &str) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(field))?;
    let kilobytes = line.split_whitespace().nth(1)?.parse::<usize>().ok()?;
    Some(kilobytes / 1024)
}

/// How many descriptors a process has open; 0 if it has exited.
pub fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

//! Runs the daemon as a separate process.

// Each test file includes this module and uses a part of it.
#![allow(dead_code, unreachable_pub)]

use crate::fakes::TEST_TIMEOUT;
use roseshore_core::prelude::*;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;

/// A process of the daemon; killed on drop.
pub struct Process {
    child: Child,
    pub addr: std::net::SocketAddr,
}

impl Process {
    /// Starts a daemon and waits until it listens; of repeated flags the last one counts.
    pub fn start(flags: &[&str]) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_roseshored"))
            .args(["--host=h1", "--data-centre=a", "--listen=127.0.0.1:0"])
            .args(["--log=127.0.0.1:9", "--peer=127.0.0.1:0"])
            .args(flags)
            .stdout(Stdio::piped())
            .spawn()
            .expect("run");
        let mut lines = BufReader::new(child.stdout.take().expect("output")).lines();
        let started = lines.find(|it| it.as_ref().is_ok_and(|it| it.contains("E101")));
        let started = started.expect("an E101 line").expect("a readable line");
        let addr = started.rsplit_once("listen=").and_then(|it| it.1.parse().ok()).expect("addr");
        thread::spawn(move || lines.for_each(drop));
        Process { child, addr }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(sent.expect("kill").success());
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("wait") {
                return status;
            }
            assert!(Instant::now() < deadline, "the process did not exit in time");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

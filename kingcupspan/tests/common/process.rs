//! Child processes that tests start, signal and kill.

use std::{
    fs, net, path,
    process::{Child, Command, Stdio},
    sync::atomic,
    time::Duration,
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};

/// Maximum duration of a graceful shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Addresses in each of the blocks that belong to a process id.
const BLOCK_ADDRESSES: u16 = 254;

/// Number of blocks that belong to a process id.
const BLOCKS: u16 = 4;

/// Number of process ids, divided by 256, for which a block has addresses of its own.
const HIGH_OCTETS: u8 = 64;

/// Number of loopback addresses assigned so far.
static ASSIGNED_ADDRESSES: atomic::AtomicU16 = atomic::AtomicU16::new(0);

/// Returns a loopback address derived from the process id, so that tests that run at the
/// same time do not share ports.
pub fn unique_loopback_address() -> net::Ipv4Addr {
    let pid = std::process::id();
    let number = ASSIGNED_ADDRESSES.fetch_add(1, atomic::Ordering::SeqCst);
    let (block, n) = (number / BLOCK_ADDRESSES, number % BLOCK_ADDRESSES);
    assert!(block < BLOCKS, "no address is left");
    let offset = (pid >> 8) as u8 % HIGH_OCTETS;
    let high = match block + 1 {
        // The samples have addresses below 127.1.0.0.
        BLOCKS => 1 + offset % (HIGH_OCTETS - 1),
        later => HIGH_OCTETS * later as u8 + offset,
    };
    net::Ipv4Addr::new(127, high, (pid & 0xff) as u8, 1 + n as u8)
}

/// Creates the directory for the files of one test.
pub fn create_test_dir(name: &str) -> path::PathBuf {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let folder = folder.join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the test directory can be created");
    folder
}

/// Child process that is killed when the value is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the `kingcupspan` binary with its output appended to the file `log`.
    pub fn kingcupspan(args: &[&str], log: &path::Path) -> Self {
        Self::start(
            path::Path::new(env!("CARGO_BIN_EXE_kingcupspan")),
            args,
            log,
        )
    }

    /// Starts the `kingcupspan_standin` binary.
    ///
    /// The binary is expected next to `kingcupspan`, where a test run of the whole workspace
    /// puts it.
    pub fn standin(args: &[&str], log: &path::Path) -> Self {
        let binary = path::Path::new(env!("CARGO_BIN_EXE_kingcupspan"));
        let binary = binary.with_file_name("kingcupspan_standin");
        assert!(
            binary.exists(),
            "kingcupspan_standin is not built: run cargo build -p kingcupspan_standin, \
             or cargo test --workspace"
        );
        Self::start(&binary, args, log)
    }

    /// Starts a binary with its output appended to the file `log`.
    pub fn start(binary: &path::Path, args: &[&str], log: &path::Path) -> Self {
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.expect("the log file can be opened");
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(
                log.try_clone()
                    .expect("the log file handle can be duplicated"),
            )
            .stderr(log)
            .spawn()
            .expect("the process starts");
        Self { child }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        signal::kill(pid, signal).expect("the process exists");
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process exists");
        self.child.wait().expect("the process ends");
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Sends SIGHUP to the process.
    pub fn send_sighup(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Resumes the process with SIGCONT unless it has exited.
    pub fn resume_if_running(&mut self) {
        if self.is_running() {
            self.resume();
        }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Requests a graceful shutdown with SIGTERM, without waiting for the exit.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits for the process to exit and returns its exit code.
    ///
    /// Returns `None` if the process was ended by a signal or is still running after
    /// `STOP_TIMEOUT`.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let started_at = std::time::Instant::now();
        while started_at.elapsed() < STOP_TIMEOUT {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process is a child of the test")
            {
                return status.code();
            }
            async_std::task::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

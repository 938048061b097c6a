//! Child processes that are really killed, frozen and woken.

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

/// How long a planned stop may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

static NEXT_ADDRESS: atomic::AtomicU8 = atomic::AtomicU8::new(1);

/// A loopback address that no other fleet on this machine uses.
pub fn unique_loopback_address() -> net::Ipv4Addr {
    let pid = std::process::id();
    let n = NEXT_ADDRESS.fetch_add(1, atomic::Ordering::SeqCst);
    let high = 64 + ((pid >> 8) & 0x3f) as u8;
    net::Ipv4Addr::new(127, high, (pid & 0xff) as u8, n)
}

/// A folder for one test's files.
pub fn create_test_dir(name: &str) -> path::PathBuf {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let folder = folder.join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder for the test");
    folder
}

/// A running process; it is killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the shipped binary.
    pub fn kingcupspan(args: &[&str], log: &path::Path) -> Self {
        Self::start(
            path::Path::new(env!("CARGO_BIN_EXE_kingcupspan")),
            args,
            log,
        )
    }

    /// Starts the stand-ins' binary, which the workspace's tests build beside it.
    pub fn standin(args: &[&str], log: &path::Path) -> Self {
        let binary = path::Path::new(env!("CARGO_BIN_EXE_kingcupspan"));
        let binary = binary.with_file_name("kingcupspan_standin");
        assert!(
            binary.exists(),
            "build the stand-ins first: cargo build -p kingcupspan_standin, \
             or run cargo test --workspace"
        );
        Self::start(&binary, args, log)
    }

    fn start(binary: &path::Path, args: &[&str], log: &path::Path) -> Self {
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.expect("a log file");
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the process starts");
        Self { child }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        signal::kill(pid, signal).expect("the process is there");
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is there");
        self.child.wait().expect("the process ends");
    }

    /// SIGSTOP.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// SIGHUP.
    pub fn send_sighup(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// SIGCONT unless the process has ended.
    pub fn resume_if_running(&mut self) {
        if self.is_running() {
            self.resume();
        }
    }

    /// SIGTERM, without waiting.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits until the process has ended by itself; its exit code.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let begun = std::time::Instant::now();
        while begun.elapsed() < STOP_TIMEOUT {
            if let Some(status) = self.child.try_wait().expect("the process is ours") {
                return status.code();
            }
            async_std::task::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

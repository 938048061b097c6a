//! A stand-in for the platform's list of VMs, which shows changes after a delay.

use std::{
    io, net,
    sync::Arc,
    time::{Duration, Instant},
};

use http_types::Response;
use kingcupspan::edge::{
    platform::{Vm, VmState},
    server::Exchange,
};

use crate::{faults, http};

/// State of the stand-in VM list.
pub struct VmList {
    /// Delay after which readers see a change.
    lag: Duration,

    /// Versions of the list with the times at which they were set.
    versions: parking_lot::Mutex<Vec<(Instant, Vec<Vm>)>>,

    /// Faults that the VM list simulates.
    pub faults: faults::State,
}

impl VmList {
    /// Creates a list with the given VMs, which readers see at once.
    pub fn new(vms: Vec<Vm>, lag: Duration) -> Arc<Self> {
        Arc::new(Self {
            lag,
            versions: parking_lot::Mutex::new(vec![(Instant::now(), vms)]),
            faults: faults::State::default(),
        })
    }

    /// Applies a change to the list; readers see the result after the lag.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Vm>)) {
        let mut versions = self.versions.lock();
        let mut new_version = versions.last().map(|v| v.1.clone()).unwrap_or_default();
        change(&mut new_version);
        versions.push((Instant::now(), new_version));
    }

    /// Marks a VM as leaving.
    pub fn mark_leaving(&self, vm: &str) {
        self.update(|vms| {
            for found in vms.iter_mut().filter(|v| v.vm.as_str() == vm) {
                found.state = VmState::Leaving;
            }
        });
    }

    /// Removes a VM from the list.
    pub fn remove(&self, vm: &str) {
        self.update(|vms| vms.retain(|v| v.vm.as_str() != vm));
    }

    /// Returns the newest version that is at least `lag` old, or else the first version.
    fn visible_vms(&self) -> Vec<Vm> {
        let versions = self.versions.lock();
        let first = versions.first();
        let visible = versions
            .iter()
            .rev()
            .find(|v| v.0.elapsed() >= self.lag)
            .or(first);
        visible.map(|v| v.1.clone()).unwrap_or_default()
    }

    /// Handles a request to the VM list.
    async fn handle(self: Arc<Self>, mut exchange: Exchange) -> Response {
        match exchange.req.url().path() {
            "/control" => self.faults.control(&mut exchange).await,
            "/vms" => match self.faults.intercept(&exchange).await {
                Some(response) => response,
                None => http::json_response(200, &self.visible_vms()),
            },
            "/change" => match http::read_json::<Vec<Vm>>(&mut exchange).await {
                Ok(vms) => {
                    self.update(|list| *list = vms);
                    Response::new(204)
                }
                Err(bad_request) => bad_request,
            },
            _ => Response::new(404),
        }
    }
}

/// Starts a VM list that listens on `addr`.
pub async fn start(addr: net::SocketAddr, list: Arc<VmList>) -> io::Result<http::RunningServer> {
    http::start(addr, move |exchange| Arc::clone(&list).handle(exchange)).await
}

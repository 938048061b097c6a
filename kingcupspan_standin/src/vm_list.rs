//! The platform's list of VMs, late by a set lag.

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

/// The list's state.
pub struct VmList {
    lag: Duration,
    versions: parking_lot::Mutex<Vec<(Instant, Vec<Vm>)>>,

    /// What it does wrong.
    pub faults: faults::State,
}

impl VmList {
    /// A list that has always been so.
    pub fn new(vms: Vec<Vm>, lag: Duration) -> Arc<Self> {
        Arc::new(Self {
            lag,
            versions: parking_lot::Mutex::new(vec![(Instant::now(), vms)]),
            faults: faults::State::default(),
        })
    }

    /// Changes the list; readers see it after the lag.
    pub fn update(&self, change: impl FnOnce(&mut Vec<Vm>)) {
        let mut versions = self.versions.lock();
        let mut next = versions.last().map(|v| v.1.clone()).unwrap_or_default();
        change(&mut next);
        versions.push((Instant::now(), next));
    }

    /// Marks a VM as leaving.
    pub fn mark_leaving(&self, vm: &str) {
        self.update(|vms| {
            for found in vms.iter_mut().filter(|v| v.vm.as_str() == vm) {
                found.state = VmState::Leaving;
            }
        });
    }

    /// Takes a VM off the list.
    pub fn remove(&self, vm: &str) {
        self.update(|vms| vms.retain(|v| v.vm.as_str() != vm));
    }

    fn shown(&self) -> Vec<Vm> {
        let versions = self.versions.lock();
        let first = versions.first();
        let shown = versions
            .iter()
            .rev()
            .find(|v| v.0.elapsed() >= self.lag)
            .or(first);
        shown.map(|v| v.1.clone()).unwrap_or_default()
    }

    async fn handle(self: Arc<Self>, mut exchange: Exchange) -> Response {
        match exchange.req.url().path() {
            "/control" => self.faults.control(&mut exchange).await,
            "/vms" => match self.faults.intercept(&exchange).await {
                Some(response) => response,
                None => http::json_response(200, &self.shown()),
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

/// Starts a list.
pub async fn start(addr: net::SocketAddr, list: Arc<VmList>) -> io::Result<http::RunningServer> {
    http::start(addr, move |exchange| Arc::clone(&list).handle(exchange)).await
}

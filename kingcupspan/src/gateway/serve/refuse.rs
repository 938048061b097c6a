//! Refuses requests at once that could not be served in time.

use std::time::Duration;

use kingcupspan_core::gateway::{
    admission,
    call::CallInfo,
    outage,
    routing::Configuration,
    shares::{Contender, Shares},
    workspace,
};

use super::{Gateway, retry_later};
use crate::gateway::{
    error_response::{ErrorReason, ErrorResponse},
    exchange::Exchange,
};

/// Retry delay sent to the caller if this daemon stops; other daemons are ready.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

impl Gateway {
    /// Returns the response to a request that no route matches: the route may exist if a newer
    /// configuration may.
    pub(super) fn refuse_without_route(
        &self,
        info: &CallInfo,
        configuration: &Configuration,
    ) -> ErrorResponse {
        let id = info.id.as_ref().map_or("-", |id| &*id.0);
        let age = self.configuration.age().unwrap_or_default();
        let is_certain = self.configuration.is_certain();
        log::info!(request = id, version = configuration.version.0, age_ms = age.as_millis() as u64, certain = is_certain; "no route matches the request");
        match is_certain {
            true => ErrorReason::NoRoute.into(),
            false => retry_later(ErrorReason::ConfigurationOutdated),
        }
    }

    /// Returns the response to a turn whose previous turn its workspace does not have: a newer
    /// configuration may give the caller's key to another workspace, which has it.
    pub(super) fn refuse_without_turn(&self, ex: &Exchange) -> ErrorResponse {
        match ex.workspace.is_none() || self.configuration.is_certain() {
            true => ErrorReason::UnknownTurn.into(),
            false => retry_later(ErrorReason::ConfigurationOutdated),
        }
    }

    /// Refuses a request that the end of a graceful shutdown might cut; other daemons can serve it.
    pub(super) fn refuse_late_in_shutdown(&self, ex: &Exchange) -> Result<(), ErrorResponse> {
        if !self.shutdown.may_cut(ex.deadline) {
            return Ok(());
        }
        log::info!(request = &*ex.id.0; "request refused: the shutdown may end before it does");
        Err(ErrorResponse {
            reason: ErrorReason::Stopping,
            retry_after: Some(STOPPING_RETRY_AFTER),
        })
    }

    /// Refuses a turn that needs the store while this failure domain is cut off: it could not
    /// end before the cut does, and other failure domains can serve it.
    pub(super) fn refuse_if_cut_off(&self, ex: &Exchange) -> Result<(), ErrorResponse> {
        if !ex.needs_store() || !self.connectivity.is_cut_off() {
            return Ok(());
        }
        log::info!(request = &*ex.id.0; "turn refused: this failure domain is cut off from the store");
        Err(retry_later(ErrorReason::StoreUnreachable))
    }

    /// Refuses a turn that needs the store if it probably could not end in time, since no daemon
    /// reaches the store.
    pub(super) fn refuse_in_outage(&self, ex: &Exchange) -> Result<(), ErrorResponse> {
        let Some(outage) = self.store.away_for().filter(|_| ex.needs_store()) else {
            return Ok(());
        };
        let remaining = ex.remaining_time();
        if outage::should_start(outage, remaining) {
            return Ok(());
        }
        log::info!(request = &*ex.id.0, outage_ms = outage.as_millis() as u64; "turn refused: it could not be stored before its caller leaves");
        Err(ErrorResponse {
            reason: ErrorReason::StoreUnreachable,
            retry_after: Some(outage::retry_after(remaining)),
        })
    }

    /// Returns the utilization of the engines if the request starts a program that may be refused
    /// for it.
    pub(super) fn utilization_at_start(&self, ex: &Exchange) -> Option<f64> {
        let program = ex.info.program.as_ref().filter(|_| ex.route.has_turns())?;
        let has_last_engine = |key| self.last_engines.get(key).is_some();
        if program.previous.is_some() || ex.info.placement_key().is_some_and(has_last_engine) {
            return None;
        }
        admission::utilization(&self.candidates(ex))
    }

    /// Part of the programs like that of the request that is refused at a utilization of the
    /// engines, from 0 to 1.
    pub(super) fn refused_share(&self, ex: &Exchange, utilization: f64) -> f64 {
        if admission::has_room(utilization) {
            return 0.0;
        }
        let rank = ex.rank();
        match self.shares(ex) {
            Some((share_used, shares)) => {
                shares.refused_share(utilization, Contender { rank, share_used })
            }
            None => admission::refused_share(utilization, rank).clamp(0.0, 1.0),
        }
    }

    /// What the workspace of the request uses of its share, and what all do: of its quota by what
    /// homes have told, or else of an equal share by the requests of this daemon.
    fn shares(&self, ex: &Exchange) -> Option<(f64, Shares)> {
        let workspace = ex.workspace_name()?;
        let by_quota = self.quotas.shares(workspace);
        Some(by_quota.unwrap_or_else(|| self.workspace_use.shares(workspace)))
    }

    /// Refuses a program that starts while the engines are overloaded.
    pub(super) fn admit_program(&self, ex: &Exchange) -> Result<(), ErrorResponse> {
        let (Some(program), Some(utilization)) = (&ex.info.program, self.utilization_at_start(ex))
        else {
            return Ok(());
        };
        if rand::random::<f64>() >= self.refused_share(ex, utilization) {
            return Ok(());
        }
        let workspace = ex.workspace_name().map_or("-", |w| &*w.0);
        let shares = self.shares(ex);
        let excess = shares.map_or(0.0, |(share_used, shares)| shares.excess(share_used));
        log::info!(request = &*ex.id.0, program = &*workspace::readable(&program.program.0), workspace, rank = ex.rank(), pressure = utilization, excess; "program refused: engines are overloaded");
        Err(ErrorResponse {
            reason: ErrorReason::EnginesOverloaded,
            retry_after: Some(admission::retry_after(rand::random())),
        })
    }
}

//! Keeps requests to the quota of their workspace.
//!
//! A request has a token before anything is done for it, so that a refusal costs nothing, and
//! spends it when it is sent. It gets another one if the first has expired by then, or if it is
//! sent again although it may have run.

use std::time::{Duration, Instant};

use async_std::task;
use kingcupspan_core::gateway::{
    quota::{self, Token},
    workspace::Quota,
};
use rand::Rng;

use super::{Failure, Gateway, retry_later};
use crate::gateway::{
    error_response::{ErrorReason, ErrorResponse},
    exchange::Exchange,
    quotas::Refusal,
};

impl Gateway {
    /// Gets a token for a request whose workspace has a quota.
    pub(super) async fn reserve_quota(&self, ex: &mut Exchange) -> Result<(), ErrorResponse> {
        if let Some(quota) = quota_of(ex) {
            ex.quota_token = Some(self.take_token(ex, quota).await?);
        }
        Ok(())
    }

    /// Returns the token of a request that is about to be sent; `None` if it needs none.
    pub(super) async fn spend_quota(
        &self,
        ex: &mut Exchange,
        possible_runs: u32,
    ) -> Result<Option<Token>, Failure> {
        let Some(quota) = quota_of(ex) else {
            return Ok(None);
        };
        let reserved = ex.quota_token.take();
        if let Some(token) = reserved.filter(|t| self.quotas.is_valid(t)) {
            return Ok(Some(token));
        }
        match self.take_token(ex, quota).await {
            Ok(token) => Ok(Some(token)),
            Err(response) if possible_runs == 0 => Err(response.into()),
            Err(_) => Err(ErrorReason::NoOutcome.into()),
        }
    }

    /// Returns the token of a request that did not run.
    pub(super) fn return_quota(&self, ex: &mut Exchange) {
        let token = ex.quota_token.take();
        if let (Some(workspace), Some(token)) = (&ex.workspace, token) {
            self.quotas.put_back(&workspace.name, token);
        }
    }

    /// Takes a token of the workspace's quota; waits for one if the workspace is only bursting.
    async fn take_token(&self, ex: &Exchange, quota: Quota) -> Result<Token, ErrorResponse> {
        let Some(workspace) = &ex.workspace else {
            return Err(ErrorReason::UnknownKey.into());
        };
        let version = ex.configuration.version;
        let started_at = Instant::now();
        loop {
            let taken = self.quotas.take(&workspace.name, version, quota).await;
            let refusal = match taken {
                Ok(token) => return Ok(token),
                Err(refusal) => refusal,
            };
            let max_wait = quota::max_wait(
                self.quotas.share_used(&workspace.name),
                ex.route.target_latency,
                ex.remaining_time(),
            );
            let remaining = max_wait.saturating_sub(started_at.elapsed());
            match refusal {
                Refusal::NoHome => return Err(retry_later(ErrorReason::QuotaUnknown)),
                Refusal::Reached(retry_after) if remaining.is_zero() => {
                    return Err(ErrorResponse {
                        reason: ErrorReason::QuotaReached,
                        retry_after: Some(spread(retry_after)),
                    });
                }
                Refusal::Reached(retry_after) => task::sleep(retry_after.min(remaining)).await,
            }
        }
    }
}

/// Quota of the workspace of a request.
fn quota_of(ex: &Exchange) -> Option<Quota> {
    ex.workspace.as_ref().and_then(|w| w.quota)
}

/// Spreads the return of callers that are refused at the same time.
fn spread(retry_after: Duration) -> Duration {
    retry_after.mul_f64(rand::rng().random_range(1.0..2.0))
}

"""Claim a region whose scheduler has failed or left."""

import datetime

import structlog

from cardamomcroft.jobs import dependencies as bundles
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.membership import members
from cardamomcroft.state import models

DELAY_PER_RANK = datetime.timedelta(milliseconds=500)  # added per position
CONFIRM_TIMEOUT = datetime.timedelta(seconds=5)


class Claimant:
    """Detect the loss of a claim's holder and take over in rank order."""

    def __init__(self, dependencies: bundles.Dependencies) -> None:
        """Start without suspecting the holder."""
        self._dependencies = dependencies
        self._suspect_since: datetime.timedelta | None = None
        self._is_claiming = False
        self._logger = structlog.get_logger()

    def step(self) -> None:
        """Claim the region if it lacks a holder and the rank delay is over."""
        if self._should_claim():
            self._claim()

    def _should_claim(self) -> bool:
        dependencies = self._dependencies
        ready = (
            dependencies.replica.reachable
            and dependencies.replica.caught_up
            and dependencies.membership.may_claim()
            and not self._is_claiming
        )
        if not ready:
            return False
        claim = dependencies.replica.state.claims.get(dependencies.region)
        if claim is not None and not self._is_holder_gone(claim):
            self._suspect_since = None
            return False
        return self._waited_for_rank()

    def _is_holder_gone(self, claim: models.Claim) -> bool:
        membership = self._dependencies.membership
        holder, _, _ = claim.incarnation.partition("@")
        return (
            holder == membership.instance_id
            or membership.is_suspect(holder)
            or membership.is_incarnation_gone(holder, claim.incarnation)
        )

    def _waited_for_rank(self) -> bool:
        membership = self._dependencies.membership
        now = self._dependencies.clock.monotonic()
        if self._suspect_since is None:
            self._suspect_since = now
        live = membership.live_ids(self._dependencies.region)
        ranking = members.rank(self._dependencies.region, live)
        position = ranking.index(membership.instance_id)
        return now - self._suspect_since >= position * DELAY_PER_RANK

    def _claim(self) -> None:
        dependencies = self._dependencies
        claim = dependencies.replica.state.claims.get(dependencies.region)
        body = records.SchedulerClaimed(
            dependencies.region,
            claim.epoch if claim else -1,
            dependencies.incarnation,
        )
        self._is_claiming = True
        dependencies.background.spawn(self._confirm(body))

    async def _confirm(self, body: records.SchedulerClaimed) -> None:
        try:
            outcome = await self._dependencies.appender.confirm(
                body, appenders.Priority.OPERATOR, CONFIRM_TIMEOUT
            )
            won = outcome.is_ok() and outcome.ok.accepted
            self._logger.info("scheduler_claim", won=won)
            self._dependencies.metrics.increment("scheduler.claims")
        finally:
            self._is_claiming = False

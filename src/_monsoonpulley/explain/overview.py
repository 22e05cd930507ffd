"""Status of the system for operators, as one entry instance knows it."""

from __future__ import annotations

from .. import operator_wire as wire
from ..clock import Clock
from ..config.watcher import ConfigWatcher
from ..control.leases import Leases
from ..control.rolloutrows import SETTLED, RolloutRow
from ..control.rolloutview import RolloutView
from ..endpoints.pool import EndpointPool
from ..entry.lifecycle import Lifecycle
from ..external.livelist import MemberState
from ..identity import Identity
from ..ids import EndpointId
from ..peers.membership import Membership, PeerMember
from ..routing.router import Router
from .explainer import Explainer


class InstanceOverview:
    """Status and timelines as one instance knows them.

    Parameters
    ----------
    identity, lifecycle : Identity, Lifecycle
        Of this instance.
    watcher : ConfigWatcher
        Configuration in force.
    pool, router : EndpointPool, Router
        Endpoints and the requests in progress there.
    membership : Membership
        The other entry instances.
    clock : Clock
        Clock of this instance.
    leases : Leases
        Control duties and their holders.
    rollouts : RolloutView
        Versions being rolled out.
    explainer : Explainer
        Builds the timelines of subjects.
    """

    def __init__(
        self,
        identity: Identity,
        lifecycle: Lifecycle,
        watcher: ConfigWatcher,
        pool: EndpointPool,
        router: Router,
        membership: Membership,
        clock: Clock,
        leases: Leases,
        rollouts: RolloutView,
        explainer: Explainer,
    ):
        self._identity = identity
        self._lifecycle = lifecycle
        self._watcher = watcher
        self._pool = pool
        self._router = router
        self._membership = membership
        self._clock = clock
        self._leases = leases
        self._rollouts = rollouts
        self._explainer = explainer

    def config_status(self) -> wire.ConfigStatusBody:
        """Return in which entry instances the newest known revision is in force."""
        own_status = self._own_status()
        entries = (own_status, *self._peer_statuses(own_status))
        newest = max(entries, key=lambda entry: entry.number)
        return wire.ConfigStatusBody(newest.number, newest.change_token, entries)

    def status(self) -> wire.StatusBody:
        """Return instances, endpoints, rollouts and duties."""
        own_status = self._own_status()
        return wire.StatusBody(
            instance=self._identity.instance,
            zone=self._identity.zone,
            number=self._watcher.number,
            entries=(own_status, *self._peer_statuses(own_status)),
            endpoints=self._endpoint_statuses(),
            rollouts=self.rollouts().rollouts,
            duties=self._duty_statuses(),
        )

    def rollouts(self) -> wire.RolloutsBody:
        """Return the state and the state changes of each ordered version."""
        return wire.RolloutsBody(
            self._identity.instance,
            tuple(self._rollout_status(row) for row in self._rollouts.rows()),
        )

    def _rollout_status(self, row: RolloutRow) -> wire.RolloutStatus:
        trip = self._rollouts.trip_of(row)
        why = row.why
        if trip is not None and row.state not in SETTLED:
            why = f"tripped by {trip.instance or 'a peer'}: {trip.why}"
        return wire.RolloutStatus(
            service=row.service,
            version=row.version,
            state=row.state.value,
            deadline_wall_ms=row.deadline_wall_ms,
            why=why,
            share=row.share,
            attempt=row.attempt,
            steps=tuple(
                wire.RolloutStepStatus(
                    step.state.value, step.share, step.wall_ms, step.why
                )
                for step in row.steps
            ),
        )

    def explain_local(self, subject: str) -> wire.ExplainBody:
        """Return this instance's own lines about a subject."""
        return self._explainer.explain_local(subject)

    async def explain(self, subject: str, authorization: str) -> wire.ExplainBody:
        """Return the lines of all entry instances about a subject."""
        return await self._explainer.explain(subject, authorization)

    def _own_status(self) -> wire.EntryStatus:
        revision = self._watcher.revision
        return wire.EntryStatus(
            instance=self._identity.instance,
            zone=self._identity.zone,
            state=self._lifecycle.phase.value,
            number=self._watcher.number,
            change_token=revision.change_token if revision else "",
            heard_ms_ago=0,
        )

    def _peer_statuses(
        self, own_status: wire.EntryStatus
    ) -> tuple[wire.EntryStatus, ...]:
        now_ms = self._clock.now_ms()
        members = self._membership.expected_members(now_ms)
        members.sort(key=lambda member: (member.zone, member.instance))
        return tuple(
            self._peer_status(member, own_status, now_ms) for member in members
        )

    def _peer_status(
        self, member: PeerMember, own_status: wire.EntryStatus, now_ms: int
    ) -> wire.EntryStatus:
        # Each number has one change token, and not every digest carries it.
        change_token = (
            own_status.change_token if member.number == own_status.number else ""
        )
        last_received_ms = member.last_received_ms
        return wire.EntryStatus(
            instance=member.instance,
            zone=member.zone,
            state=self._membership.describe_state(member, now_ms),
            number=member.number,
            change_token=member.change_token or change_token,
            heard_ms_ago=-1 if last_received_ms is None else now_ms - last_received_ms,
        )

    def _endpoint_statuses(self) -> tuple[wire.EndpointStatus, ...]:
        views = self._router.fleet.endpoints
        statuses = []
        for member in self._pool.members():
            view = views.get(EndpointId(member.instance))
            state = view.state if view else MemberState.LEAVING
            statuses.append(
                wire.EndpointStatus(
                    endpoint=member.instance,
                    zone=member.zone,
                    service=member.service,
                    version=member.version,
                    state=state.value,
                    in_progress=len(view.attempts) if view else 0,
                )
            )
        return tuple(statuses)

    def _duty_statuses(self) -> tuple[wire.DutyStatus, ...]:
        return tuple(
            wire.DutyStatus(duty, row.holder, row.fencing_number)
            for duty, row in self._leases.rows()
        )

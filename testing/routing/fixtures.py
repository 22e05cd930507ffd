"""Builders shared by the tests of routing."""

import random

from _monsoonpulley.config.document import Document, Service, ServiceKind
from _monsoonpulley.endpoints.engine import LoadReport
from _monsoonpulley.external.livelist import Member, MemberState, Role
from _monsoonpulley.routing.policies import RouteRequest
from _monsoonpulley.routing.router import Router

DOCUMENT = Document(
    services={
        "model": Service(kind=ServiceKind.MODEL),
        "intake": Service(kind=ServiceKind.PLAIN),
    }
)


def member(name, service="model", version="v1", zone="a", state=MemberState.LIVE):
    return Member(
        name, Role.ENDPOINT, zone, f"{name}:80", "", service, version, state=state
    )


def report(measured_wall_ms=0, waiting_tokens=0, running=0, max_running=32):
    return LoadReport(
        measured_wall_ms, running, 0, waiting_tokens, 0.1, 8_000.0, 20.0, max_running
    )


def request(**changes):
    fields = {
        "request_id": "r1",
        "service": "model",
        "target_ms": 60_000,
        "prompt_tokens": 800,
        "max_tokens": 50,
    }
    return RouteRequest(**(fields | changes))


def router(members=(), seed=1, policy="predicted-completion", zone="a"):
    subject = Router.from_config(DOCUMENT, zone, random.Random(seed), policy)
    subject.apply_members(members, 0)
    return subject

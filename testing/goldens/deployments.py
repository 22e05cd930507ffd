"""The users' two deployments at their present sizes, from the example files."""

from __future__ import annotations

from pathlib import Path

import msgspec

from _monsoonpulley.config.document import Document
from _monsoonpulley.config.ini import parse_document
from _monsoonpulley.gateway.credentials import credential_sha256
from _monsoonpulley.standins.engine_profile import EngineProfile
from _monsoonpulley.standins.plainservice import PlainServiceProfile
from _monsoonpulley.standins.world import Deployment, EndpointPlan, EntryPlan

EXAMPLES = Path(__file__).parents[2] / "examples"
LETTERS = "abcd"
ENGINE = EngineProfile(event_drop_probability=0.02)
PLAIN = PlainServiceProfile()
LIVELIST_LAG_MS = 30_000


def example_document(name: str) -> Document:
    """Return an example configuration with known customers' credentials.

    A customer's credential is its name followed by ``-credential``.
    """
    path = EXAMPLES / f"{name}.ini"
    document = parse_document(path.read_text(encoding="utf-8"), path.name)
    customers = {
        customer: msgspec.structs.replace(
            fields, credential_sha256=credential_sha256(credential_of(customer))
        )
        for customer, fields in document.customers.items()
    }
    return msgspec.structs.replace(document, customers=customers)


def credential_of(customer: str) -> str:
    """Return the credential of a customer in these deployments."""
    return f"{customer}-credential"


def andina() -> Deployment:
    """Return the survey platform: 7 instances, 10 engines, 4 records endpoints."""
    return _deployment("co-andina", "aforo-comun", "pool", "records", 7)


def lakes() -> Deployment:
    """Return the workshop: 6 instances, 10 engines, 4 intake endpoints."""
    return _deployment("lakes-east", "gilt-workshop", "conservation", "intake", 6)


def _deployment(
    region: str, example: str, model: str, plain: str, entries: int
) -> Deployment:
    document = example_document(example)
    zones = [f"{region}-{letter}" for letter in LETTERS]
    versions = {
        version.service: version.version
        for version in document.versions
        if version.deadline_wall_ms is None
    }
    engines = [
        EndpointPlan(
            f"{model}-{number + 1}",
            model,
            versions[model],
            zones[number % 4],
            ENGINE,
        )
        for number in range(10)
    ]
    services = [
        EndpointPlan(
            f"{plain}-{number + 1}", plain, versions[plain], zones[number], PLAIN
        )
        for number in range(4)
    ]
    return Deployment(
        region=region,
        document=document,
        entries=tuple(
            EntryPlan(f"entry-{number + 1}", zones[number % 4])
            for number in range(entries)
        ),
        endpoints=tuple(engines + services),
        livelist_lag_ms=LIVELIST_LAG_MS,
    )

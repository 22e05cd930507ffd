"""Names of the platform's headers, calls, tables and rows."""

from __future__ import annotations

REQUEST_ID = b"Monsoonpulley-Request-Id"
DEADLINE = b"Monsoonpulley-Deadline-Milliseconds"
"""Milliseconds that are left, not a point in time."""
TOKEN_COUNTS = b"Monsoonpulley-Token-Counts"
"""Prompt tokens, a comma, and the most tokens to generate."""
PROMPT_PREFIX = b"Monsoonpulley-Prompt-Prefix"
MODEL = b"Monsoonpulley-Model"
TENANT = b"Monsoonpulley-Tenant"
EXPECT_INSTANCE = b"Monsoonpulley-Expect-Instance"
"""Holds the id of an endpoint, not of one of the project's instances."""
NOT_EXECUTED = b"Monsoonpulley-Not-Executed"
SEAL = b"Monsoonpulley-Response-Seal"
URGENCY = b"Monsoonpulley-Request-Urgency"
LAST_EVENT_ID = b"Last-Event-Id"
DUTY_HOLDER = "Monsoonpulley-Duty-Holder"
FENCING_TOKEN = "Monsoonpulley-Fencing-Token"

STRIPPED_REQUEST_HEADERS = frozenset(
    name.lower()
    for name in (
        TENANT,
        EXPECT_INSTANCE,
        DEADLINE,
        URGENCY,
        b"Authorization",
        b"Monsoonpulley-Expect-Version",
        b"Monsoonpulley-Pin-Milliseconds",
        b"Monsoonpulley-Cache-Hold",
        b"Monsoonpulley-Cache-Backup",
        b"Kv-From",
        b"Kv-Fetch",
    )
)
"""Lower-case names that are dropped from what a caller sends."""

READINESS_PATH = b"/v1/readiness"

CONFIG_PATH_VARIABLE = "MONSOONPULLEY_CONFIG"
"""The variable with the path of the platform's settings file."""

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
ENDPOINT_TABLE = "servers"

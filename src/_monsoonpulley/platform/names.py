"""Names of the platform's headers, calls, tables and rows."""

from __future__ import annotations

REQUEST_ID = b"Monsoonpulley-Request-Id"
DEADLINE = b"Monsoonpulley-Deadline-Milliseconds"
"""Holds the remaining milliseconds, not a point in time."""
TOKEN_COUNTS = b"Monsoonpulley-Token-Counts"
"""Holds prompt tokens, a comma, and the maximum number of tokens to generate."""
LENGTH_HINT = b"Monsoonpulley-Length-Hint"
"""Holds the caller's estimate of the tokens to generate."""
PROMPT_PREFIX = b"Monsoonpulley-Prompt-Prefix"
MODEL = b"Monsoonpulley-Model"
TENANT = b"Monsoonpulley-Tenant"
EXPECT_INSTANCE = b"Monsoonpulley-Expect-Instance"
"""Holds the id of an endpoint, not of an entry instance."""
NOT_EXECUTED = b"Monsoonpulley-Not-Executed"
SEAL = b"Monsoonpulley-Response-Seal"
URGENCY = b"Monsoonpulley-Request-Urgency"
"""Holds a rank: 0 is the most urgent."""
MAX_URGENCY = 9
"""The least urgent rank that endpoints accept."""
LAST_EVENT_ID = b"Last-Event-Id"
RATE_LIMIT = b"Server-Limit"
"""Holds the requests a second, a decimal number, that an endpoint takes from all
instances together."""
BRITTLE = b"Server-Brittle"
"""Holds how many requests a second an endpoint may have to turn away for want of room
before it falls over."""
LEAVING = b"Server-Leaving"
"""In all answers of an endpoint that leaves, with the value 1."""
COLD_MS = b"Monsoonpulley-Cold-Milliseconds"
"""In answers of health checks: how long the endpoint stays cold."""
DUTY_HOLDER = "Monsoonpulley-Duty-Holder"
FENCING_TOKEN = "Monsoonpulley-Fencing-Token"

PEER_SENDS = b"Monsoonpulley-Peer-Sends"
"""Between instances: how often the request was sent to endpoints before."""
PEER_OUTCOME = b"Monsoonpulley-Peer-Outcome"
"""Between instances, in answers that no endpoint has written; a `PeerOutcome`."""

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
        PEER_SENDS,
    )
)
"""Lower-case names of headers that are removed from callers' requests."""

READINESS_PATH = b"/v1/readiness"

CONFIG_PATH_VARIABLE = "MONSOONPULLEY_CONFIG"
"""Environment variable with the path of the platform's settings file."""

STORE_ERA = b"Store-Era"
"""In all answers of the store; rises by one whenever it comes back from an older copy,
without what was written since."""

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
"""Rows of the operators' table whose key goes on with a data centre: while one exists,
nothing is sent to the endpoints there."""
ENDPOINT_TABLE = "servers"

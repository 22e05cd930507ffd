"""Small documents, and strategies that draw documents."""

from __future__ import annotations

from hypothesis import strategies as st

from _monsoonpulley.config.check import MAX_DEADLINE_WALL_MS, MIN_DEADLINE_WALL_MS
from _monsoonpulley.config.document import (
    Customer,
    Document,
    FencingCheck,
    RequestClass,
    Service,
    ServiceKind,
    Version,
)

VALID = """
[service pool]
kind = model
[service records]
kind = plain
[version pool v1]
[version pool v2]
deadline = 2026-12-04T10:00:00Z
[version records 1.2.3.4]
[class uploads]
service = records
answer_within_ms = 2000
repeats = 0
[class summaries]
service = pool
answer_within_ms = 20000
[customer bogota]
credential_sha256 = {digest}
classes = uploads, summaries
""".format(digest="ab" * 32)


def document_of(**targets_ms: int) -> Document:
    """Return a document with one class for each keyword."""
    return Document(
        classes={
            name: RequestClass("pool", answer_within_ms=target_ms)
            for name, target_ms in targets_ms.items()
        },
        services={"pool": Service(ServiceKind.MODEL)},
        versions=(Version("pool", "v1"),),
    )


names = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,9}", fullmatch=True).filter(
    lambda name: name.count(".") != 3
)
plain_services = st.builds(
    Service,
    kind=st.just(ServiceKind.PLAIN),
    refusal_statuses=st.lists(st.integers(400, 599), max_size=3).map(tuple),
    lookup=st.booleans(),
    fencing=st.sampled_from(FencingCheck),
)
model_services = st.builds(Service, kind=st.just(ServiceKind.MODEL))


@st.composite
def documents(draw) -> Document:
    """Draw a valid document."""
    kinds = st.one_of(plain_services, model_services)
    services = draw(st.dictionaries(names, kinds, max_size=3))
    versions = []
    for service in services:
        service_versions = draw(st.lists(names, min_size=1, max_size=3, unique=True))
        deadlines = draw(
            st.lists(
                st.integers(MIN_DEADLINE_WALL_MS, MAX_DEADLINE_WALL_MS),
                min_size=len(service_versions) - 1,
                max_size=len(service_versions) - 1,
                unique=True,
            )
        )
        pairs = zip(service_versions, [None, *deadlines], strict=True)
        versions += [Version(service, name, deadline) for name, deadline in pairs]
    classes = {}
    if services:
        for name in draw(st.lists(names, max_size=3, unique=True)):
            service = draw(st.sampled_from(sorted(services)))
            min_repeats = 0 if services[service].kind is ServiceKind.PLAIN else 1
            classes[name] = RequestClass(
                service=service,
                answer_within_ms=draw(st.integers(1, 60_000)),
                token_gap_ms=draw(st.integers(1, 86_400_000)),
                repeats=draw(st.integers(min_repeats, 10)),
                retention_s=draw(st.integers(60, 31_536_000)),
                max_body_bytes=draw(st.integers(1, 67_108_864)),
            )
    digests = st.integers(0, 2**256 - 1).map(lambda n: f"{n:064x}")
    customer_digests = draw(
        st.lists(
            st.tuples(names, digests),
            max_size=3,
            unique_by=(lambda pair: pair[0], lambda pair: pair[1]),
        )
    )
    class_lists = (
        st.lists(st.sampled_from(sorted(classes)), unique=True)
        if classes
        else (st.just([]))
    )
    customers = {
        name: Customer(digest, tuple(draw(class_lists)))
        for name, digest in customer_digests
    }
    return Document(classes, customers, services, tuple(versions))

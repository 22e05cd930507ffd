"""Log events as sentences, one plain sentence for each known event."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

Fields = Mapping[str, Any]
Sentence = Callable[[Fields], str]

_sentences: dict[str, Sentence] = {}


def sentence(*events: str) -> Callable[[Sentence], Sentence]:
    """Return a decorator that registers the sentence of ``events``."""

    def register(function: Sentence) -> Sentence:
        for event in events:
            _sentences[event] = function
        return function

    return register


def sentence_of(event: str, fields: Fields) -> str:
    """Return the sentence of an event, or its name if there is none.

    A line of another release may lack fields that the sentence needs.
    """
    format_sentence = _sentences.get(event)
    try:
        return format_sentence(fields) if format_sentence else event
    except (LookupError, TypeError, AttributeError, ValueError):
        return event


def failure_text(failure: Any) -> str:
    """Return a logged failure as a short phrase."""
    if not isinstance(failure, Mapping):
        return str(failure)
    parts = [failure["reason"]]
    if failure.get("peer"):
        parts.append(f"at {failure['peer']}")
    if failure.get("detail"):
        parts.append(f"({failure['detail']})")
    return " ".join(parts)


@sentence("admit")
def _admit(fields: Fields) -> str:
    waited = f" after {fields['waited_ms']} ms" if fields["waited_ms"] else ""
    return f"admitted for service {fields['service']}{waited}"


@sentence("admission_wait")
def _admission_wait(fields: Fields) -> str:
    return f"queued, {fields['expected_wait_ms']:.0f} ms expected"


@sentence("refuse")
def _refuse(fields: Fields) -> str:
    return f"refused: {fields['reason']}; retry after {fields['retry_after_ms']} ms"


@sentence("route")
def _route(fields: Fields) -> str:
    return (
        f"routed to {fields['chosen']}, version {fields['version']} of "
        f"{fields['service']}, {fields['predicted_ms']:.0f} ms predicted"
    )


@sentence("route_failed")
def _route_failed(fields: Fields) -> str:
    return f"no endpoint could be chosen: {failure_text(fields['failure'])}"


@sentence("attempt_failed")
def _attempt_failed(fields: Fields) -> str:
    failure = failure_text(fields["failure"])
    return f"the attempt at {fields['endpoint']} failed: {failure}"


@sentence("retry")
def _retry(fields: Fields) -> str:
    if not fields["allowed"]:
        return f"no further attempt after {fields['attempts']}"
    return f"another attempt in {fields['wait_ms']} ms"


@sentence("request_ended")
def _request_ended(fields: Fields) -> str:
    failure = fields.get("failure")
    why = f": {failure_text(failure)}" if failure else ""
    return (
        f"the caller was sent outcome {fields['outcome']}{why}, {fields['total_ms']} ms"
    )


@sentence("request_refused")
def _request_refused(fields: Fields) -> str:
    return f"the request was refused: {failure_text(fields['failure'])}"


_STEP_TEXTS: dict[str, Callable[[Fields], str]] = {
    "WriteStep": lambda step: "write the record" + _delay_text(step),
    "ReadStep": lambda step: "read whether the key was accepted before",
    "ChooseStep": lambda step: "choose an endpoint" + _delay_text(step),
    "SendStep": lambda step: f"send attempt {step['attempt']} to {step['endpoint']}",
    "LookupStep": lambda step: (
        f"ask {step['endpoint']} what became of the call" + _delay_text(step)
    ),
    "FollowStep": lambda step: "read the outcome from the row",
    "StopStep": lambda step: "nothing is left to do",
}


_EVENT_TEXTS: dict[str, Callable[[Fields], str]] = {
    "Submitted": lambda event: "the call arrived",
    "Adopting": lambda event: "the holder is gone",
    "WriteConfirmed": lambda event: "the record is written",
    "WriteConflicted": lambda event: "another write came first",
    "WriteFailed": lambda event: f"write failed: {failure_text(event['failure'])}",
    "RowAbsent": lambda event: "the key was not accepted before",
    "EndpointChosen": lambda event: f"{event['endpoint']} is chosen",
    "NoEndpoint": lambda event: f"no endpoint: {failure_text(event['failure'])}",
    "SendLapsed": lambda event: "the dispatch was too old to send",
    "Answered": lambda event: f"the endpoint answered {event['status']}",
    "SendFailed": lambda event: f"the call failed: {failure_text(event['failure'])}",
    "LookedUp": lambda event: f"the endpoint reports {event['execution']}",
    "LookupFailed": lambda event: (
        f"asking the endpoint failed: {failure_text(event['failure'])}"
    ),
}


def _delay_text(step: Fields) -> str:
    return f" after {step['after_ms']} ms" if step.get("after_ms") else ""


@sentence("journal")
def _journal(fields: Fields) -> str:
    step = fields["step"]
    if isinstance(step, str):
        step = {"type": step}
    tell = fields.get("tell")
    caller_text = f"; send the caller outcome {tell['outcome']}" if tell else ""
    event_text = _EVENT_TEXTS[fields["on"]](fields.get("event_fields", {}))
    return f"{event_text}; {_STEP_TEXTS[step['type']](step)}{caller_text}"


@sentence("journal_adoption")
def _journal_adoption(fields: Fields) -> str:
    return (
        f"{fields['adopter']} adopts the {fields['state']} record of {fields['holder']}"
    )


@sentence("stream_detached")
def _stream_detached(fields: Fields) -> str:
    return f"the caller's connection ended at token {fields['next_offset']}"


@sentence("evacuation")
def _evacuation(fields: Fields) -> str:
    ways = [step["way"] for step in fields["steps"]]
    counts = ", ".join(f"{ways.count(way)} {way}" for way in dict.fromkeys(ways))
    return f"{fields['endpoint']} is evacuated: {counts or 'no generations'}"


@sentence("transfer_failed")
def _transfer_failed(fields: Fields) -> str:
    return f"transfer of the KV cache failed: {failure_text(fields['failure'])}"


@sentence("lease_decision")
def _lease_decision(fields: Fields) -> str:
    write = fields.get("write")
    if not write:
        return f"no write for duty {fields['duty']}"
    number = write["row"]["fencing_number"]
    return f"{write['kind']} the lease of {fields['duty']}, fencing number {number}"


@sentence("order_decision")
def _order_decision(fields: Fields) -> str:
    failure = fields.get("failure")
    result = f"failed: {failure_text(failure)}" if failure else fields["fencing"]
    return f"order {fields['intent']['kind']} to {fields['endpoint']}: {result}"


@sentence("rollout_decision")
def _rollout_decision(fields: Fields) -> str:
    order, after = fields["order"], fields.get("after")
    state = f"moves to {after['state']}" if after else "is unchanged"
    return f"version {order['version']} of {order['service']} {state}"


@sentence("config_revision")
def _config_revision(fields: Fields) -> str:
    return (
        f"revision {fields['offered_number']} of {fields['offered_author']!r} was "
        f"{fields['verdict']}, from the {fields['source']}"
    )


@sentence("config_apply")
def _config_apply(fields: Fields) -> str:
    return (
        f"{fields['author']!r} asked for a change of revision "
        f"{fields['expected_number']}; result: revision {fields['number']}"
    )


@sentence("config_poll_failed")
def _config_poll_failed(fields: Fields) -> str:
    return f"the configuration could not be read: {fields['failure']}"


@sentence("peer_member")
def _peer_member(fields: Fields) -> str:
    return f"{fields['peer']} in {fields['zone']} is {fields['state']}"


@sentence("reclaim_notice")
def _reclaim_notice(fields: Fields) -> str:
    return f"the platform reclaims {fields['reclaimed']}"


@sentence("instance_ready")
def _instance_ready(fields: Fields) -> str:
    return "the instance accepts requests"


@sentence("instance_leaving")
def _instance_leaving(fields: Fields) -> str:
    count = fields["in_progress"]
    return f"the instance leaves ({fields['reason']}), {count} requests in progress"


@sentence("instance_drained")
def _instance_drained(fields: Fields) -> str:
    return f"the instance has drained; {fields['handed_over']} records handed over"


@sentence("instance_stopped")
def _instance_stopped(fields: Fields) -> str:
    return f"the instance stopped, {fields['in_progress']} requests in progress"

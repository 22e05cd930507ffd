"""Sessions in which instances, endpoints, the store or the network fail."""

from __future__ import annotations

from _monsoonpulley.ids import InstanceId
from _monsoonpulley.standins.faults import FaultKind

from ..deployments import andina, lakes
from ..recorder import Session, session

HISTORY = "the record of earlier work on the frame from the harbour room " * 40
UPLOADS = "/services/survey-upload/tallies"


@session("reclaim-wave", lakes, seed=21)
async def reclaim_wave(play: Session) -> None:
    """Reclaim a data centre while reports stream and orders arrive."""
    for number in range(4):
        prompt = f"report {number}: {HISTORY}"
        play.stream(f"entry-{2 + number}", "bench", "condition-report", prompt, 600)
    await play.sleep_ms(500)
    play.world.platform.cloud.reclaim_zone("lakes-east-a", 5_000)
    for number in range(4):
        await play.sleep_ms(900)
        order = {"frame": number}
        path = "/services/work-order/orders"
        play.post("entry-2", "intake-desk", path, order, f"order-{number}")
        question = f"how thin may the glue be, case {number}"
        play.stream("entry-3", "study-room", "bench-question", question, 8)
    await play.wait_for_answers()
    await play.sleep_ms(10_000)


@session("store-outage", andina, seed=22)
async def store_outage(play: Session) -> None:
    """Make the store unavailable: uploads are refused, summaries are served."""
    faults = play.world.platform.faults
    customer = "conteo-andino"
    play.post("entry-1", customer, UPLOADS, {"cars": 1}, "tally-1")
    await play.wait_for_answers()
    faults.fail_next_commits(FaultKind.LOST_ANSWER)
    play.post("entry-2", customer, UPLOADS, {"cars": 2}, "tally-2")
    await play.wait_for_answers()
    faults.set_outage(True)
    play.post("entry-3", customer, UPLOADS, {"cars": 3}, "tally-3")
    play.post("entry-4", customer, UPLOADS, {"cars": 1}, "tally-1")
    play.stream("entry-4", customer, "corridor-summary", "hour by hour", 10)
    path = "/services/pulled-report/corridors/7"
    play.post("entry-5", "transito-bogota", path, {})
    await play.wait_for_answers()
    await play.sleep_ms(20_000)
    faults.set_outage(False)
    await play.sleep_ms(8_000)
    play.post("entry-3", customer, UPLOADS, {"cars": 3}, "tally-3")
    play.post("entry-6", customer, UPLOADS, {"cars": 2}, "tally-2")
    await play.wait_for_answers()
    await play.sleep_ms(5_000)


@session("entry-lost", andina, seed=23)
async def entry_lost(play: Session) -> None:
    """Kill an entry instance with accepted uploads, which another one adopts."""
    customer = "cruces-y-vias"
    play.world.platform.faults.fail_next_commits(FaultKind.DELAYED_EFFECT)
    for number in range(3):
        play.post("entry-1", customer, UPLOADS, {"cars": number}, f"tally-{number}")
    await play.sleep_ms(12)
    play.world.kill_entry(InstanceId("entry-1"))
    play.world.platform.livelist.remove("entry-1")
    await play.sleep_ms(90_000)
    for number in range(3):
        play.post("entry-2", customer, UPLOADS, {"cars": number}, f"tally-{number}")
    await play.wait_for_answers()


@session("planned-stop", lakes, seed=24)
async def planned_stop(play: Session) -> None:
    """Stop an entry instance while it streams a long report."""
    play.stream("entry-1", "bench", "condition-report", HISTORY, 200)
    await play.sleep_ms(400)
    entry = play.world.entries[InstanceId("entry-1")].instance
    entry.leave("deployment")
    await play.sleep_ms(1_000)
    play.stream("entry-1", "bench", "condition-report", "one more", 5)
    await play.sleep_ms(1_500)
    play.stream("entry-1", "bench", "condition-report", "too late", 5)
    await entry.drain()
    await play.wait_for_answers()


@session("data-centre-cut-off", andina, seed=25)
async def data_centre_cut_off(play: Session) -> None:
    """Partition a data centre from the platform and the others; it serves on."""
    await play.sleep_ms(3_000)
    zone = "co-andina-a"
    unreachable = {f"co-andina-{letter}" for letter in "bcd"} | {"platform"}
    play.world.platform.network.partition({zone}, unreachable)
    play.stream("entry-1", "conteo-andino", "corridor-summary", "cut off", 10)
    play.post("entry-1", "conteo-andino", UPLOADS, {"cars": 5}, "tally-5")
    path = "/services/pulled-report/corridors/7"
    play.post("entry-5", "transito-bogota", path, {})
    await play.wait_for_answers()
    play.world.platform.network.reconnect_all()
    await play.sleep_ms(10_000)
    play.post("entry-1", "conteo-andino", UPLOADS, {"cars": 5}, "tally-5")
    await play.wait_for_answers()


@session("stream-continued", lakes, seed=26)
async def stream_continued(play: Session) -> None:
    """Reclaim an entry instance; its callers resume their streams at others."""
    streams = [
        play.stream("entry-1", "bench", "condition-report", f"{n} {HISTORY}", 500)
        for n in range(2)
    ]
    play.stream("entry-1", "study-room", "bench-question", "short one", 8)
    await play.sleep_ms(1_000)
    play.world.platform.cloud.reclaim("entry-1", 3_000)
    await play.drain("entry-1")
    for stream, entry in zip(streams, ("entry-2", "entry-3"), strict=True):
        answer = await stream
        play.resume(entry, "bench", last_event_id(answer.body))
    await play.wait_for_answers()


def last_event_id(body: bytes) -> str:
    """Return the id of a stream's last event."""
    lines = body.decode().splitlines()
    return [line[4:] for line in lines if line.startswith("id: ")][-1]

"""Sessions with ordinary traffic at the two deployments."""

from __future__ import annotations

from ..deployments import andina, lakes
from ..recorder import Session, session

HISTORY = "the gesso was renewed twice and the leaf burnished anew " * 12


@session("mixed-day-andina", andina, seed=11)
async def mixed_day_andina(play: Session) -> None:
    """Send uploads, summaries and pulled reports of five customers."""
    crews = ("aforos-del-norte", "conteo-andino", "cruces-y-vias")
    for number in range(6):
        customer = crews[number % 3]
        entry = f"entry-{1 + number % 7}"
        tally = {"intersection": number, "cars": 100 + number}
        path = "/services/survey-upload/tallies"
        play.post(entry, customer, path, tally, f"tally-{number}")
        await play.sleep_ms(40)
    play.post("entry-7", crews[0], path, {"intersection": 0, "cars": 100}, "tally-0")
    prompt = "summarize the counts of corridor seven by hour and direction " * 4
    for number in range(4):
        entry = f"entry-{1 + number}"
        play.stream(entry, crews[number % 3], "corridor-summary", prompt, 40)
        await play.sleep_ms(150)
    for office in ("transito-bogota", "movilidad-medellin"):
        path = "/services/pulled-report/corridors/7?from=2026-11"
        play.post("entry-5", office, path, {})
    await play.wait_for_answers()
    await play.sleep_ms(5_000)


@session("mixed-day-lakes", lakes, seed=12)
async def mixed_day_lakes(play: Session) -> None:
    """Send a long report along with questions, tags, orders, a release and a lookup."""
    play.stream("entry-1", "bench", "condition-report", HISTORY * 5, 120)
    await play.sleep_ms(300)
    for number in range(3):
        question = f"which bole under water gilding, case {number}"
        play.stream(f"entry-{2 + number}", "study-room", "bench-question", question, 12)
    for number in range(3):
        body = {"model": "frame-tag", "prompt": f"frame {number}", "max_tokens": 2}
        play.post("entry-5", "frame-sorting", "/v1/completions", body)
    await play.sleep_ms(100)
    order = {"frame": 4711, "work": "regild"}
    for entry in ("entry-3", "entry-6"):
        path = "/services/work-order/orders"
        play.post(entry, "intake-desk", path, order, "order-4711")
    path = "/services/loan-release/loans/12/release"
    play.post("entry-4", "registrar", path, {"borrower": "north wing"}, "loan-12")
    play.post("entry-1", "registrar", "/services/catalogue-lookup/frames?no=12", {})
    await play.wait_for_answers()
    await play.sleep_ms(5_000)

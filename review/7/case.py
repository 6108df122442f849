"""A new version lowers a tenant's allotment below one a second."""

import asyncio
import bisect
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

KEY = "kmgjqnirth5mgjy5rcpi"
BEARER = [("Authorization", f"Bearer {KEY}")]
SERVICE = "huvo11a"
ROUTES = [("r-f95dj46", "/leny950/", "safe", SERVICE)]
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
PROPAGATION_S = 2.5
REQUESTS_PER_S = 40
FLOOD_S = 12.0
BURST = 2
RATE_BEFORE = 4
RATE_AFTER = 0.8


def tenant(rate):
    return {"name": "pulo780", "api_keys": [KEY], "priority": 1,
            "rate_per_s": rate, "burst": BURST}


async def case():
    async with standins.Fleet(FOLDER) as fleet:
        for place in ("a-1", "b-1", "c-1"):
            fleet.add(place, SERVICE)
        await fleet.start(standins.configuration(
            7, [SERVICE], ROUTES, [tenant(RATE_BEFORE)]))
        await fleet.await_serving("/leny950/warm", BEARER)
        await asyncio.sleep(3)

        rate = RATE_BEFORE
        binds_from = fleet.record.now()
        if standins.has_trouble():
            rate = RATE_AFTER
            acknowledged = await fleet.store.put_configuration(
                standins.configuration(9, [SERVICE], ROUTES, [tenant(rate)]))
            binds_from = acknowledged + PROPAGATION_S + WINDOW_S
        await asyncio.sleep(max(binds_from - fleet.record.now(), 0))

        requests = []
        for turn in range(int(FLOOD_S * REQUESTS_PER_S)):
            node = fleet.nodes[turn % len(fleet.nodes)]
            requests.append(asyncio.create_task(standins.send(
                fleet.record, node, "GET", f"/leny950/{turn}", BEARER)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        answers = {answer.id: answer
                   for answer in await asyncio.gather(*requests)}

        spans = sorted((answers[run["id"]].sent_at, run["at"])
                       for upstream in fleet.upstreams
                       for run in upstream.runs if run["id"] in answers)
        most = 0
        for sent_at, _ in spans:
            first = bisect.bisect_left(spans, (sent_at, 0))
            most = max(most, sum(1 for sent, run in spans[first:]
                                 if run <= sent_at + WINDOW_S))
        bound = (rate * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
        statuses = [str(answer.status) for answer in answers.values()]
        fleet.record.say(
            f"rate_per_s {rate}, burst {BURST}: {len(answers)} sent, answered "
            f"{ {s: statuses.count(s) for s in sorted(set(statuses))} }; most "
            f"in a window {most}, bound {bound:.1f}")
        return most <= bound


standins.run_case(case)

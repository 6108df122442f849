"""A new version takes the last key away; the key is accepted ever after."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

KEY = "kmgjqnirth5mgjy5rcpi"
BEARER = [("Authorization", f"Bearer {KEY}")]
REVOCATION_S = 5.0
SERVICE = "huvo11a"
ROUTES = [("r-f95dj46", "/leny950/", "unsafe", SERVICE)]
TENANT = {"name": "pulo780", "api_keys": [KEY], "priority": 1,
          "rate_per_s": 543, "burst": 543}


async def case():
    async with standins.Fleet(FOLDER) as fleet:
        for place in ("a-1", "b-1", "c-1"):
            fleet.add(place, SERVICE)
        await fleet.start(standins.configuration(7, [SERVICE], ROUTES,
                                                 [TENANT]))
        await fleet.await_serving("/leny950/warm", BEARER)
        await asyncio.sleep(3)

        removed_at = None
        if standins.has_trouble():
            removed_at = await fleet.store.put_configuration(
                standins.configuration(9, [SERVICE], ROUTES, []))
        await asyncio.sleep(REVOCATION_S + 3)

        late = {}
        for turn in range(30):
            node = fleet.nodes[turn % len(fleet.nodes)]
            answer = await standins.send(fleet.record, node, "POST",
                                         "/leny950/late", BEARER, body=b"x")
            late[answer.id] = answer
            await asyncio.sleep(0.1)

        runs = {run["id"]: run for upstream in fleet.upstreams
                for run in upstream.runs if run["id"] in late}
        statuses = sorted(str(answer.status) for answer in late.values())
        fleet.record.say(f"late requests: {len(late)}, "
                         f"answered {dict((s, statuses.count(s)) for s in statuses)}, "
                         f"run {len(runs)}")
        if removed_at is None:
            return len(runs) == len(late)
        revoked = [run for run in runs.values()
                   if late[run["id"]].sent_at > removed_at + REVOCATION_S]
        passed_on = [run for run in runs.values()
                     if KEY in (run["head"].get("authorization") or "")]
        fleet.record.say(f"run later than revocation after the ack: "
                         f"{len(revoked)}; key passed on to the upstream: "
                         f"{len(passed_on)}")
        return not revoked and not passed_on


standins.run_case(case)

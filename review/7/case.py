"""A new version gives a large tenant its 65th key, and adds a route."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

SERVICE = "huvo11a"
OLD_ROUTE = ("r-f95dj46", "/leny950/", "safe", SERVICE)
NEW_ROUTE = ("r-nip24ge", "/puka111/", "safe", SERVICE)
KEYS = [f"kmgjqnirth5mgjy5{number:04d}" for number in range(65)]
PROPAGATION_S = 2.5
REVOCATION_S = 5.0


def tenants(key_count):
    """The large tenant, and another one whose entry does not change."""
    return [{"name": "pulo780", "api_keys": KEYS[:key_count], "priority": 1,
             "rate_per_s": 543, "burst": 543},
            {"name": "tavi31", "api_keys": ["hhacruddedev3nax7u27"],
             "priority": 1, "rate_per_s": 543, "burst": 543}]


def bearer(key):
    return [("Authorization", f"Bearer {key}")]


async def case():
    async with standins.Fleet(FOLDER) as fleet:
        for place in ("a-1", "b-1", "c-1"):
            fleet.add(place, SERVICE)
        await fleet.start(standins.configuration(
            7, [SERVICE], [OLD_ROUTE], tenants(64)))
        await fleet.await_serving("/leny950/warm", bearer(KEYS[0]))
        await asyncio.sleep(3)
        key_count = 65 if standins.has_trouble() else 64
        await fleet.store.put_configuration(standins.configuration(
            9, [SERVICE], [OLD_ROUTE, NEW_ROUTE], tenants(key_count)))

        await asyncio.sleep(PROPAGATION_S + 0.5)
        on_new_route = await ask(fleet, "/puka111/", KEYS[0])
        await asyncio.sleep(REVOCATION_S)
        on_old_route = await ask(fleet, "/leny950/", "hhacruddedev3nax7u27")
        fleet.record.say(
            f"{key_count} keys; on the new route, later than propagation "
            f"after the ack: {count(on_new_route)}; the other tenant on the "
            f"old route, later than revocation: {count(on_old_route)}")
        return all(answer.status != 404 for answer in on_new_route)


async def ask(fleet, prefix, key):
    answers = []
    for turn in range(15):
        node = fleet.nodes[turn % len(fleet.nodes)]
        answers.append(await standins.send(
            fleet.record, node, "GET", f"{prefix}{turn}", bearer(key)))
        await asyncio.sleep(0.05)
    return answers


def count(answers):
    statuses = [str(answer.status) for answer in answers]
    return {status: statuses.count(status) for status in sorted(set(statuses))}


standins.run_case(case)

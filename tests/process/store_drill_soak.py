#!/usr/bin/env python3
"""Runs nodes whose store comes back from older copies; not part of CI.

    python3 tests/process/store_drill_soak.py --seed 7 --rounds 10

The seed determines the drills and the faults. A failure prints it.
"""

import argparse
import http.client
import random
import sys
import threading
import time

import store_drill
from platform_fleet import common

KEPT_KEY = "secret-kept"


class Checks:
    """Sends requests to each node all the time and notes what must not be."""

    INTERVAL_S = 0.05

    def __init__(self, fleet):
        self.fleet = fleet
        self.found = []
        # The newest version that was seen, by node and start of its process.
        self.seen = {}
        # The moments from which keys must not be accepted.
        self.revoked = {}
        self.stopping = threading.Event()
        for node in fleet.nodes:
            threading.Thread(target=self.run, args=(node,)).start()

    def run(self, node):
        while not self.stopping.wait(self.INTERVAL_S):
            try:
                self.check_version(node)
                self.check_keys(node)
            except (OSError, http.client.HTTPException):
                pass  # The node is killed or starts.

    def check_version(self, node):
        boot, newest = (node.name, node.starts), self.fleet.operator.newest
        seen = self.seen.get(boot, store_drill.FIRST_VERSION)
        status, _ = self.fleet.ask(node, f"since-{newest}")
        if status == 200 and node.starts == boot[1]:
            self.seen[boot] = max(seen, newest)
        elif boot in self.seen:
            status, _ = self.fleet.ask(node, f"since-{seen}")
            if status == 404 and node.starts == boot[1]:
                self.found.append(f"{node.name} went back from {seen}")

    def check_keys(self, node):
        for key, moment in list(self.revoked.items()):
            if time.monotonic() > moment:
                status, _ = self.fleet.ask(node, "moved", key)
                if status not in (401, 403, 503):
                    self.found.append(f"{node.name}: {key} gets {status}")


def check_departure(fleet, checks, node, runs):
    """Its server has left: neither a new start of the node nor a late report
    brings it back. Then the server starts again."""
    node.kill()
    fleet.start_node(node)
    left = node.upstream
    common.call(left.control, "PUT", f"/-/instances/{left.id}",
                left.report_body("ready", left.sequence + 1))
    time.sleep(store_drill.PROPAGATION_S)
    if len(left.runs) > runs:
        checks.found.append(f"{left.id} ran requests after it had left")
    left.born, left.sequence = int(time.time() * 1000), 0
    left.reporting = True
    left.report(left.control)


def drill(rng, fleet, saved, lost):
    """One drill or two; the operator may write again after each."""
    for _ in range(rng.choice([1, 1, 2])):
        fleet.drill(saved, rng.uniform(0.2, 3))
        time.sleep(rng.choice([0, 0.3, 1, 3]))
        fleet.operator.again_in_a_row(rng.choice(
            [[], lost[-1:], lost[-1:] * 2, lost]), rng.uniform(0, 0.3))


def play_round(rng, fleet, checks):
    operator, key = fleet.operator, f"secret-{fleet.operator.newest}"
    before = operator.next(keys=[KEPT_KEY, key])
    time.sleep(rng.uniform(0, 1))
    saved = fleet.lose(rng.randint(1, 6), keys=[KEPT_KEY])
    checks.revoked[key] = (operator.written_at[operator.newest] +
                           store_drill.REVOCATION_S)
    leaving, other = rng.sample(fleet.nodes[2:], 2)
    left = rng.choice([None, leaving.upstream])
    if left:
        left.leave()
        time.sleep(store_drill.PROPAGATION_S)
        runs = len(left.runs)
    fault, node = rng.choice("-kc"), rng.choice([*fleet.nodes[:2], other])
    print(f"  fault {fault} at {node.name}, leaves: {left and left.id}, "
          f"{operator.newest - before} versions lost", flush=True)
    start = threading.Timer(rng.uniform(1, 6), node.start)
    fleet.doors[node.name].is_cut = fault == "c"
    if fault == "k":
        node.kill()
        start.start()
    drill(rng, fleet, saved, list(range(before + 1, operator.newest + 1)))
    fleet.doors[node.name].is_cut = False
    if fault == "k":
        start.join()
        fleet.await_joined(node)
    service = rng.choice(store_drill.SERVICES)
    checks.found += fleet.wrong_answers(operator.next(moved=service), service)
    if left:
        check_departure(fleet, checks, leaving, runs)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=5)
    arguments = parser.parse_args()
    rng = random.Random(arguments.seed)
    common.BOUNDS = store_drill.STRICT_BOUNDS
    with store_drill.DrillFleet([KEPT_KEY]) as fleet:
        fleet.start_all()
        checks = Checks(fleet)
        try:
            for number in range(arguments.rounds):
                print(f"round {number + 1}", flush=True)
                play_round(rng, fleet, checks)
                if checks.found:
                    break
        finally:
            checks.stopping.set()
    if checks.found:
        print(f"seed {arguments.seed}: {len(checks.found)} findings, first "
              f"{checks.found[:5]}", file=sys.stderr)
        return 1
    print(f"seed {arguments.seed}: all checks held")
    return 0


if __name__ == "__main__":
    sys.exit(main())

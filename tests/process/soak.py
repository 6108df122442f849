#!/usr/bin/env python3
"""Runs a fleet under random faults, one or two a round; not part of CI.

    python3 tests/process/soak.py --seed 7 --rounds 10

The seed determines the faults and the load. A failure prints it with the
violated guarantees, so that the run can be repeated.
"""

import argparse
import random
import sys
import time

import faults_process_test
import harness
import scenario

SETTLE_S = 5
FAULT_DURATION_S = 4


def kill_vms(run, rng):
    nodes = rng.sample(sorted(run.fleet.nodes), rng.choice([1, 2, 3]))
    with run.record_fault("kill", *nodes):
        for node in nodes:
            run.kill_vm(node)
        time.sleep(FAULT_DURATION_S)
        for node in nodes:
            run.start_vm(node)


def freeze_node(run, rng):
    node = rng.choice(sorted(run.fleet.nodes))
    with run.record_fault("freeze", node):
        run.fleet.nodes[node].freeze()
        time.sleep(FAULT_DURATION_S)
        run.fleet.nodes[node].thaw()


def cut_platform_link(run, rng):
    link = run.fleet.platform_links[rng.choice("abc")]
    with run.record_fault("platform_cut"):
        rng.choice([link.cut, link.silence])()
        time.sleep(FAULT_DURATION_S)
        link.heal()


def platform_outage(run, _):
    with run.record_fault("platform_outage"):
        run.fleet.platform_faults(outage=True)
        time.sleep(FAULT_DURATION_S)
        run.fleet.platform_faults(outage=False)


def slow_platform(run, _):
    with run.record_fault("platform_slow"):
        run.fleet.platform_faults(delay_ms=300, lose_answers=2)
        time.sleep(FAULT_DURATION_S)
        run.fleet.platform_faults(delay_ms=0, lose_answers=0)


def silence_backend(run, rng):
    node = rng.choice(sorted(run.fleet.backends))
    with run.record_fault("silence", f"{node}-server"):
        run.fleet.backend_faults(node, silence_open=True)
        time.sleep(FAULT_DURATION_S)


def drain_backend(run, rng):
    node = rng.choice(sorted(run.fleet.backends))
    run.stop(run.fleet.backends[node])
    run.fleet.start_backend(node)


FAULTS = [kill_vms, freeze_node, cut_platform_link, platform_outage,
          slow_platform, silence_backend, drain_backend]


def run_rounds(run, rng, rounds):
    for number in range(rounds):
        chosen = rng.sample(FAULTS, rng.choice([1, 1, 2]))
        names = " then ".join(fault.__name__ for fault in chosen)
        print(f"round {number + 1}: {names}", flush=True)
        for fault in chosen:
            fault(run, rng)
        time.sleep(SETTLE_S)
        run.apply(rng.choice(sorted(run.fleet.nodes)))
        time.sleep(SETTLE_S)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=5)
    arguments = parser.parse_args()
    rng = random.Random(arguments.seed)
    seconds = arguments.rounds * (4 * FAULT_DURATION_S + 2 * SETTLE_S)
    try:
        with scenario.Scenario(
                f"soak-{arguments.seed}",
                harness.small_topology(*faults_process_test.SERVICES),
                faults_process_test.DECLARATIONS) as run:
            run.start()
            run.start_load(faults_process_test.LOAD, seconds, arguments.seed)
            run_rounds(run, rng, arguments.rounds)
            run.check_guarantees()
    except AssertionError as failure:
        print(f"seed {arguments.seed}: {failure}", file=sys.stderr)
        return 1
    print(f"seed {arguments.seed}: all guarantees held")
    return 0


if __name__ == "__main__":
    sys.exit(main())

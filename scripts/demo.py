#!/usr/bin/env python3
"""Runs the example fleet as processes, under load and a configuration change.

See scripts/demo.sh, which installs and builds first.
"""

import argparse
import json
import pathlib
import shutil
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "process"))
import harness  # noqa: E402

IN_FORCE_TIMEOUT_S = 10
IDLE_WINDOW_S = 3
STATUS_TIMEOUT_S = 10
# The largest share of requests that may be refused at this moderate load.
MAX_REFUSED_SHARE = 0.01

# Requests of each rank of examples/liushu, per second.
LOAD = [
    {"name": "orders", "method": "POST", "path": "/orders", "per_second": 40,
     "body_bytes": 300, "deadline_ms": 3000, "idempotency_keys": True},
    {"name": "lookups", "path": "/catalogue/willow?bytes=2000",
     "per_second": 200, "deadline_ms": 1000},
    {"name": "uploads", "method": "PUT", "path": "/uploads/site-7",
     "per_second": 5, "body_bytes": 500000, "body_ms": 800,
     "deadline_ms": 10000},
    {"name": "exports", "path": "/catalogue/export?bytes=50000",
     "per_second": 5, "deadline_ms": 10000},
]


class DemoFailure(Exception):
    """A step or a check of the demo failed, as the message says."""


def step(text):
    print(f"== {text}", flush=True)


def check(condition, message):
    if not condition:
        raise DemoFailure(message)


def apply(fleet, folder, revision):
    """Applies declarations; prints the time until in force on all nodes."""
    first = fleet.topology.vms[0].node
    started = time.monotonic()
    result = fleet.ctl(first, "apply", folder)
    check(result.returncode == 0,
          f"apply failed: {result.stdout}{result.stderr}")
    accepted = time.monotonic()
    fleet.wait_revision(revision, IN_FORCE_TIMEOUT_S)
    in_force = time.monotonic()
    print(result.stdout.strip())
    print(f"accepted after {1000 * (accepted - started):.0f} ms, in force on "
          f"{len(fleet.topology.vms)} nodes "
          f"{1000 * (in_force - accepted):.0f} ms later")


def start_load(fleet, seconds):
    plan = {"targets": [vm.caller for vm in fleet.topology.vms],
            "duration_ms": 1000 * seconds, "caller": "demo", "classes": LOAD}
    plan_file = fleet.work_dir / "plan.json"
    plan_file.write_text(json.dumps(plan))
    return subprocess.Popen(
        [harness.STANDINS / "load_caller", "--plan", plan_file],
        stdout=subprocess.PIPE, text=True)


def changed_declarations(fleet, source):
    """A copy of the declarations with one rule's deadline changed."""
    folder = fleet.work_dir / "changed"
    shutil.copytree(source, folder)
    path = folder / "routing_rules.json"
    rules = json.loads(path.read_text())
    for rule in rules:
        if rule["name"] == "catalogue-lookup":
            rule["deadline_ms"] = 900
    path.write_text(json.dumps(rules, indent=2))
    return folder


def print_report(report):
    print(f"{'class':10} {'sent':>6} {'ok':>6} {'refused':>8} {'unknown':>8} "
          f"{'failed':>7} {'wrong':>6} {'p50 ms':>8} {'p99 ms':>8}")
    for name, entry in sorted(report.items()):
        counts = entry["outcomes"]
        print(f"{name:10} {entry['sent']:6} {counts['ok']:6} "
              f"{counts['not_run']:8} {counts['unknown']:8} "
              f"{counts['failed']:7} {counts['wrong']:6} "
              f"{entry['p50_ms']:8.1f} {entry['p99_ms']:8.1f}")


def check_report(report):
    for name, entry in report.items():
        counts = entry["outcomes"]
        check(counts["wrong"] == 0, f"{name}: wrong answers: {counts}")
        check(counts["unknown"] == 0,
              f"{name}: calls with unknown outcome: {entry['reasons']}")
        check(counts["ok"] >= (1 - MAX_REFUSED_SHARE) * entry["sent"],
              f"{name}: too many refusals: {entry['reasons']}")


def print_idle_usage(fleet):
    """Prints the processor time and memory that the nodes use without load."""
    nodes = list(fleet.nodes.values())
    before = [node.cpu_seconds() for node in nodes]
    time.sleep(IDLE_WINDOW_S)
    cpu_percents = [100 * (node.cpu_seconds() - start) / IDLE_WINDOW_S
                    for node, start in zip(nodes, before)]
    memory = [node.memory_mb() for node in nodes]
    print(f"idle nodes: {sum(cpu_percents) / len(cpu_percents):.2f} % of a "
          f"core on average, {max(cpu_percents):.2f} % at most; "
          f"{max(memory):.1f} MB resident at most")


def print_added_latency(fleet):
    vm = fleet.topology.vms[0]
    result = subprocess.run(
        [harness.STANDINS / "load_caller", "--pair", "--direct", vm.backend,
         "--through", vm.caller, "--path", "/catalogue/1?ms=0", "--count",
         "1000", "--pause-us", "500"],
        stdout=subprocess.PIPE, text=True, check=False)
    check(result.returncode == 0, "calls failed in the paired measurement")
    pairs = json.loads(result.stdout)
    print(f"latency added to a call: p50 {pairs['added_p50_us']:.0f} us, "
          f"p99 {pairs['added_p99_us']:.0f} us (1000 pairs)")


def proxies_not_in_force(fleet, revision):
    """Lists "rule on proxy: state" where the status shows a rule not in force.

    Leaves out proxies that the rule's selector does not choose. If the status
    is of another revision, returns one entry that says so.
    """
    result = fleet.ctl(fleet.topology.vms[0].node, "--output", "json",
                       "status")
    check(result.returncode == 0, f"status failed: {result.stderr}")
    status = json.loads(result.stdout)
    if status["revision"] != revision:
        return [f"the newest revision is {status['revision']}"]
    return [f"{rule['rule']} on {proxy['proxy']}: {proxy['state']}"
            for rule in status["rules"] for proxy in rule["proxies"]
            if proxy["state"] not in ("in_force", "not_chosen")]


def print_status_when_in_force(fleet, revision):
    """Waits until the status shows all rules in force, and prints it."""
    deadline = time.monotonic() + STATUS_TIMEOUT_S
    while missing := proxies_not_in_force(fleet, revision):
        check(time.monotonic() < deadline,
              "status does not show all rules in force: "
              + "; ".join(missing[:5]))
        time.sleep(0.2)
    print(fleet.ctl(fleet.topology.vms[0].node, "status").stdout.strip())


def stop_gracefully(fleet):
    """Drains backend servers, then nodes; all have to exit with status 0."""
    for group in (fleet.backends, fleet.nodes):
        for process in group.values():
            process.terminate()
        for process in group.values():
            status = process.wait()
            check(status == 0, f"{process.name} exited with status {status}")
    check(fleet.platform.stop() == 0,
          "the platform stand-in exited with a non-zero status")


def run(fleet, declarations, seconds):
    step(f"Starting {len(fleet.topology.vms)} nodes and backend servers")
    fleet.start()

    step("Applying the declarations")
    apply(fleet, declarations, revision=1)
    fleet.wait_ready()
    fleet.wait_backends()

    step("Measuring the idle nodes and the added latency")
    print_idle_usage(fleet)
    print_added_latency(fleet)

    step(f"Sending requests of each rank for {seconds} s")
    load = start_load(fleet, seconds)
    try:
        time.sleep(seconds / 3)
        step("Changing a rule under load")
        apply(fleet, changed_declarations(fleet, declarations), revision=2)
        report = json.loads(load.communicate()[0])
    finally:
        load.kill()
        load.wait()
    print_report(report)

    step("Waiting for the status to show all rules in force")
    print_status_when_in_force(fleet, revision=2)
    check_report(report)

    step("Stopping all processes")
    stop_gracefully(fleet)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=int, default=6,
                        help="how long requests are sent")
    arguments = parser.parse_args()
    example = ROOT / "examples" / "liushu"
    try:
        with harness.Fleet(harness.example_topology("liushu")) as fleet:
            run(fleet, example / "declarations", arguments.seconds)
    except (DemoFailure, AssertionError) as failure:
        print(f"demo failed: {failure}", file=sys.stderr)
        return 1
    print("demo passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())

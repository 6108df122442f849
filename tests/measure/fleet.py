#!/usr/bin/env python3
"""Measures a fleet of real node processes on one machine.

Measures how long a change takes from the start of its apply until each node
has it in force, and control bytes, processor time, memory and platform calls.
The cases are an idle fleet, constant endpoint churn, a share of the nodes
killed during the change, the end of a platform outage and a restart of all
nodes. Prints one JSON object per case.

    tests/measure/fleet.py --nodes 12,40,100 --mode tree
"""

import argparse
import concurrent.futures
import hashlib
import json
import pathlib
import random
import re
import statistics
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent /
                       "process"))
import harness  # noqa: E402

# Room for the five ports of each of up to 300 nodes.
harness.PORTS_PER_BLOCK = 1600
harness.PORT_BLOCK_COUNT = 12

DOMAINS = "abcd"
POLL_INTERVAL_S = 0.01
CONVERGENCE_LIMIT_S = 15
IDLE_S = 6
OUTAGE_S = 30
RULE_COUNT = 200


def topology(count):
    """`count` nodes in four failure domains, with a backend server each."""
    nodes = [{"node": f"n{i}", "domain": DOMAINS[i % len(DOMAINS)],
              "service": "s", "slots": 8, "service_ms": 1}
             for i in range(count)]
    return {"name": "measure", "region": "r1", "first_port": 0, "nodes": nodes}


def declarations(variant):
    """RULE_COUNT routing rules; `variant` sets the deadline of one."""
    objects = {
        "service/s": {"kind": "service", "name": "s"},
        "selector/all": {"kind": "selector", "name": "all"},
        "rank/urgent": {"kind": "rank", "name": "urgent", "priority": 0,
                        "share_percent": 50},
    }
    for i in range(RULE_COUNT):
        rule = {"kind": "routing_rule", "name": f"rule-{i}", "selector": "all",
                "path_prefix": f"/path-{i}", "service": "s", "rank": "urgent",
                "idempotent": True, "deadline_ms": 1000}
        objects[f"routing_rule/rule-{i}"] = rule
    objects["routing_rule/rule-0"]["deadline_ms"] = 1000 + variant
    return objects


class MeasuredFleet(harness.Fleet):
    """A fleet without backend server processes; announce() registers them."""

    def __init__(self, count, settings):
        super().__init__(topology(count), settings)
        self.count = count
        self.change_count = 0

    def start_nodes(self):
        self.start_platform()
        for node in self.nodes.values():
            node.start()
        for vm in self.topology.vms:
            self.wait_for(vm, "/healthz")

    def announce(self, vm, slots=8):
        body = {"service": "s", "address": vm.backend, "slots": slots}
        harness.request(vm.admin, "PUT",
                        f"/v1/backend-servers/{vm.backend_id}",
                        json.dumps(body).encode())

    def apply(self):
        """Proposes the next change; returns its revision and start time."""
        self.change_count += 1
        vm = next(vm for vm in self.topology.vms
                  if self.nodes[vm.node].running())
        release = harness.get_json(vm.admin, "/v1/release")
        current = release["objects"]
        desired = declarations(self.change_count)
        keys = desired if not current else ["routing_rule/rule-0"]
        expected = {}
        for key in keys:
            value = current.get(key)
            canonical = json.dumps(value, sort_keys=True,
                                   separators=(",", ":"), ensure_ascii=False)
            expected[key] = (hashlib.sha256(canonical.encode()).hexdigest()
                             if value else None)
        proposal = {"change": f"measure-{self.change_count}-{time.time_ns()}",
                    "author": "measure", "summary": "measure",
                    "base_revision": release["revision"],
                    "upserts": {key: desired[key] for key in keys},
                    "deletes": [], "expected": expected}
        started = time.monotonic()
        answer = harness.request(vm.admin, "POST", "/v1/changes",
                                 json.dumps(proposal).encode(), timeout=10)
        if answer[0] != 200:
            raise RuntimeError(f"apply: {answer[0]} {answer[2][:300]}")
        return json.loads(answer[2])["revision"], started

    def convergence_times(self, revision, started, vms):
        """Seconds from `started` until each node has the revision, sorted."""
        def wait(vm):
            while time.monotonic() - started < CONVERGENCE_LIMIT_S:
                if gauge(vm, "banyantrail_applied_revision") >= revision:
                    return time.monotonic() - started
                time.sleep(POLL_INTERVAL_S)
            return float("inf")
        with concurrent.futures.ThreadPoolExecutor(len(vms)) as pool:
            return sorted(pool.map(wait, vms))


def metrics(vm):
    try:
        return harness.request(vm.admin, "GET", "/metrics",
                               timeout=5)[2].decode()
    except OSError:
        return ""


def gauge(vm, name):
    found = re.search(rf"^{name} (\S+)", metrics(vm), re.MULTILINE)
    return float(found.group(1)) if found else 0.0


def sent_bytes(vm):
    found = re.search(
        r'banyantrail_peer_bytes_total\{direction="sent"\} (\S+)', metrics(vm))
    return float(found.group(1)) if found else 0.0


def received_bytes(vm):
    found = re.search(
        r'banyantrail_peer_bytes_total\{direction="received"\} (\S+)',
        metrics(vm))
    return float(found.group(1)) if found else 0.0


def platform_calls(fleet):
    counters = harness.get_json(fleet.topology.platform, "/standin/counters")
    return {key: counters.get(key, 0)
            for key in ("reads", "writes", "watches")}


def percentiles(values):
    ordered = sorted(values)
    return {"p50": round(statistics.median(ordered), 3),
            "p99": round(ordered[min(len(ordered) - 1,
                                     int(len(ordered) * 0.99))], 3),
            "max": round(ordered[-1], 3)}


class MeasurementWindow:
    """Bytes, processor time and platform calls between two moments."""

    def __init__(self, fleet, vms):
        self.fleet, self.vms = fleet, vms
        self.started = time.monotonic()
        self.bytes = {vm.node: (sent_bytes(vm), received_bytes(vm))
                      for vm in vms}
        self.cpu = {vm.node: fleet.nodes[vm.node].cpu_seconds() for vm in vms}
        self.platform = platform_calls(fleet)

    def report(self):
        duration = time.monotonic() - self.started
        sent, received, cpu = [], [], []
        for vm in self.vms:
            before = self.bytes[vm.node]
            sent.append((sent_bytes(vm) - before[0]) / duration)
            received.append((received_bytes(vm) - before[1]) / duration)
            cpu.append((self.fleet.nodes[vm.node].cpu_seconds() -
                        self.cpu[vm.node]) / duration * 100)
        totals = [a + b for a, b in zip(sent, received)]
        after = platform_calls(self.fleet)
        return {
            "seconds": round(duration, 1),
            "bytes_per_s_mean": round(statistics.mean(totals)),
            "bytes_per_s_busiest": round(max(totals)),
            "cpu_percent_mean": round(statistics.mean(cpu), 2),
            "cpu_percent_max": round(max(cpu), 2),
            "platform_per_s": {
                key: round((after[key] - self.platform[key]) / duration, 2)
                for key in after},
        }


def emit(case, fleet, mode, **figures):
    print(json.dumps({"case": case, "nodes": fleet.count, "mode": mode,
                      **figures}), flush=True)


def case_rest(fleet, mode):
    window = MeasurementWindow(fleet, fleet.topology.vms)
    time.sleep(IDLE_S)
    idle = window.report()
    memory = [fleet.nodes[vm.node].memory_mb() for vm in fleet.topology.vms]
    times, window = [], MeasurementWindow(fleet, fleet.topology.vms)
    for _ in range(3):
        revision, started = fleet.apply()
        times += fleet.convergence_times(revision, started, fleet.topology.vms)
    emit("rest", fleet, mode, convergence_s=percentiles(times), idle=idle,
         during_changes=window.report(), memory_mb_max=round(max(memory), 1))


def case_churn(fleet, mode):
    """Ten endpoint changes a second, spread over the fleet."""
    stop = threading.Event()

    def churn():
        slots = 8
        while not stop.wait(0.1):
            slots += 1
            fleet.announce(random.choice(fleet.topology.vms), slots)

    thread = threading.Thread(target=churn)
    thread.start()
    time.sleep(2)
    window, times = MeasurementWindow(fleet, fleet.topology.vms), []
    for _ in range(3):
        revision, started = fleet.apply()
        times += fleet.convergence_times(revision, started, fleet.topology.vms)
        time.sleep(1)
    figures = window.report()
    stop.set()
    thread.join()
    emit("churn_10_per_s", fleet, mode, convergence_s=percentiles(times),
         load=figures)


def case_kill(fleet, mode, percent):
    killed_vms = random.sample(fleet.topology.vms[1:],
                               round(fleet.count * percent / 100))
    revision, started = None, None
    killer = threading.Thread(target=lambda: [
        fleet.nodes[vm.node].kill() for vm in killed_vms])
    killer.start()
    revision, started = fleet.apply()
    killer.join()
    survivors = [vm for vm in fleet.topology.vms if vm not in killed_vms]
    times = fleet.convergence_times(revision, started, survivors)
    emit(f"kill_{percent}_percent", fleet, mode,
         convergence_s=percentiles(times), killed=len(killed_vms))
    for vm in killed_vms:
        fleet.nodes[vm.node].start()
    times = fleet.convergence_times(revision, time.monotonic(),
                                    killed_vms or survivors)
    emit(f"return_of_{percent}_percent", fleet, mode,
         convergence_s=percentiles(times))


def case_outage(fleet, mode):
    fleet.platform_faults(outage=True)
    time.sleep(OUTAGE_S)
    window = MeasurementWindow(fleet, fleet.topology.vms)
    fleet.platform_faults(outage=False)
    outage_end = time.monotonic()
    while True:
        try:
            revision, started = fleet.apply()
            break
        except RuntimeError:
            time.sleep(0.05)
    times = fleet.convergence_times(revision, started, fleet.topology.vms)
    emit("after_30_s_outage", fleet, mode, convergence_s=percentiles(times),
         first_accepted_apply_s=round(started - outage_end, 2),
         load=window.report())


def case_restart_all(fleet, mode):
    for node in fleet.nodes.values():
        node.kill()
    revision = fleet.change_count
    started = time.monotonic()
    for node in fleet.nodes.values():
        node.start()
    times = fleet.convergence_times(revision, started, fleet.topology.vms)
    emit("restart_of_all", fleet, mode, convergence_s=percentiles(times),
         platform=platform_calls(fleet))


def run(count, mode, cases, settle_s):
    settings = {"distribution": mode, "log_level": "error"}
    with MeasuredFleet(count, settings) as fleet:
        fleet.start_nodes()
        for vm in fleet.topology.vms:
            fleet.announce(vm)
        time.sleep(3)
        revision, started = fleet.apply()
        fleet.convergence_times(revision, started, fleet.topology.vms)
        time.sleep(settle_s)
        runners = {
            "rest": lambda: case_rest(fleet, mode),
            "churn": lambda: case_churn(fleet, mode),
            "kill": lambda: [case_kill(fleet, mode, p) for p in (5, 30)],
            "outage": lambda: case_outage(fleet, mode),
            "restart": lambda: case_restart_all(fleet, mode),
        }
        for case in cases:
            runners[case]()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", default="12")
    parser.add_argument("--mode", default="tree")
    parser.add_argument("--cases", default="rest,churn,kill,outage,restart")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--settle", type=float, default=0,
                        help="seconds to wait before the first case")
    options = parser.parse_args()
    random.seed(options.seed)
    for count in options.nodes.split(","):
        for mode in options.mode.split(","):
            run(int(count), mode, options.cases.split(","), options.settle)


if __name__ == "__main__":
    main()

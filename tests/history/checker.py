#!/usr/bin/env python3
"""Checks a recorded history against the guarantees of the system.

docs/HISTORY.md describes the format and the guarantees.
"""

import collections
import dataclasses
import json
import pathlib
import sys

SECOND_US = 1_000_000
# How long a draining backend server may still receive requests.
DRAIN_PROPAGATION_BOUND_US = 2 * SECOND_US
# How long a node may take to have an accepted revision in force.
IN_FORCE_BOUND_US = 3 * SECOND_US
# How old a part of a recorded state may be: the observer queries the parts one
# after another.
OBSERVER_LAG_US = SECOND_US // 2

OUTCOME_UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Violation:
    """A violated guarantee and the evidence."""

    guarantee: str
    detail: str

    def __str__(self):
        return f"{self.guarantee}: {self.detail}"


@dataclasses.dataclass(frozen=True)
class Call:
    """One attempt at a request; `end` is None if it was never answered."""

    start: dict
    end: dict | None

    @property
    def request(self):
        return self.start["request"]

    @property
    def base_id(self):
        """The request id without the attempt number that ends it."""
        return self.request.rsplit(".", 1)[0]

    def overlaps(self, first_us, last_us):
        ended = self.end["t_us"] if self.end else float("inf")
        return self.start["t_us"] <= last_us and ended >= first_us


class History:
    """Events in time order, grouped and paired for the checks."""

    def __init__(self, events):
        self.events = sorted(events, key=lambda event: event["t_us"])
        self.by_kind = collections.defaultdict(list)
        for event in self.events:
            self.by_kind[event["event"]].append(event)
        self.end_us = self.events[-1]["t_us"] if self.events else 0

    def calls(self):
        ends = {end["request"]: end for end in self.by_kind["call_end"]}
        return [Call(start, ends.get(start["request"]))
                for start in self.by_kind["call_start"]]

    def states_by_node(self):
        """Maps each node to its states in time order."""
        states = collections.defaultdict(list)
        for state in self.by_kind["node_state"]:
            states[state["node"]].append(state)
        return states

    def intervals(self, start_kind, end_kind, field):
        """Pairs each start event with the next end event of equal `field`.

        Returns (value of the field, start event, end event or None).
        """
        result = []
        ends = list(self.by_kind[end_kind])
        for start in self.by_kind[start_kind]:
            end = next((e for e in ends if e[field] == start[field]
                        and e["t_us"] >= start["t_us"]), None)
            if end is not None:
                ends.remove(end)
            result.append((start[field], start, end))
        return result

    def faults(self):
        """(targets, start, end) of each fault, in microseconds."""
        return [(start["targets"], start["t_us"],
                 end["t_us"] if end else self.end_us)
                for _, start, end in
                self.intervals("fault_start", "fault_end", "fault")]


def check_version_order(history):
    for node, states in history.states_by_node().items():
        newest = 0
        for state in states:
            if not state["ready"]:
                continue
            if state["revision"] < newest:
                yield (f"{node} shows revision {state['revision']} after "
                       f"{newest}, at {state['t_us']}")
            newest = max(newest, state["revision"])


def check_no_dangling_route(history):
    last_known = {}
    for state in history.by_kind["node_state"]:
        for server in state["known_servers"]:
            last_known[(state["node"], server)] = state["t_us"]
        for route in state["routes"]:
            location = (f"{state['node']} at {state['t_us']}: route "
                        f"{route['rule']}")
            if not route["published"]:
                continue
            if route["service"] not in state["services"]:
                yield (f"{location} targets undeclared service "
                       f"{route['service']}")
            if not route["backend_servers"]:
                yield f"{location} is published without a backend server"
            for server in route["backend_servers"]:
                known_us = last_known.get((state["node"], server), 0)
                if state["t_us"] - known_us > OBSERVER_LAG_US:
                    yield f"{location} targets unknown server {server}"


def check_all_or_nothing(history):
    accepted = {event["revision"]: event["content"]
                for event in history.by_kind["accepted"]}
    for state in history.by_kind["node_state"]:
        expected = accepted.get(state["revision"])
        if expected is not None and state["content"] != expected:
            yield (f"{state['node']} at {state['t_us']} shows revision "
                   f"{state['revision']} with content that was not accepted")


def check_whole_own_answer(history):
    for call in history.calls():
        if call.end is None:
            continue
        if call.end["outcome"] == "wrong":
            yield f"{call.request} got a wrong answer"
        elif call.end["outcome"] == "ok":
            answered_id = call.end["answer_to"].rsplit(".", 1)[0]
            if answered_id != call.base_id:
                yield f"{call.request} got the answer to {answered_id}"


def check_not_run_is_true(history):
    started = {run["request"] for run in history.by_kind["run_start"]}
    for call in history.calls():
        refused = call.end is not None and call.end["outcome"] == "not_run"
        if refused and call.request in started:
            yield (f"{call.request} was reported as not run "
                   f"({call.end['reason']}) but ran")


def check_at_most_once(history):
    runs = collections.defaultdict(list)
    for run in history.by_kind["run_start"]:
        if run["key"]:
            runs[("key", run["key"])].append(run)
        elif run["method"] == "POST":
            runs[("request", run["request"])].append(run)
    for (kind, name), starts in runs.items():
        if len(starts) > 1:
            servers = ", ".join(run["server"] for run in starts)
            yield f"{kind} {name} ran {len(starts)} times, on {servers}"


def check_no_work_after_leave(history):
    arrivals = history.by_kind["run_received"] + history.by_kind["run_shed"]
    for drain in history.by_kind["server_draining"]:
        last_us = drain["t_us"] + DRAIN_PROPAGATION_BOUND_US
        restarts = [up["t_us"] for up in history.by_kind["server_up"]
                    if up["server"] == drain["server"]
                    and up["t_us"] > drain["t_us"]]
        restart_us = min(restarts, default=float("inf"))
        for run in arrivals:
            if (run["server"] == drain["server"]
                    and last_us < run["t_us"] < restart_us):
                delay_s = (run["t_us"] - drain["t_us"]) / SECOND_US
                yield (f"{run['server']} received {run['request']} "
                       f"{delay_s:.2f} s after it announced its drain")


def check_planned_stop_cuts_nothing(history):
    faults = history.faults()
    stops = history.intervals("stop_start", "stop_end", "process")
    for process, start, end in stops:
        stop_end_us = end["t_us"] if end else history.end_us
        if end is not None and end["status"] != 0:
            yield f"{process} exited with status {end['status']}"
        for call in history.calls():
            outcome_unknown = (call.end is None
                               or call.end["outcome"] == OUTCOME_UNKNOWN)
            if not outcome_unknown or not call.overlaps(start["t_us"],
                                                        stop_end_us):
                continue
            if any(call.overlaps(first, last) for _, first, last in faults):
                continue
            reason = call.end["reason"] if call.end else "never answered"
            yield (f"{call.request} was interrupted while {process} stopped: "
                   f"{reason}")
    yield from check_draining_servers_finish(history)


def check_draining_servers_finish(history):
    draining = {event["server"]: event["t_us"]
                for event in history.by_kind["server_draining"]}
    for cancel in history.by_kind["run_cancel"]:
        draining_since_us = draining.get(cancel["server"], float("inf"))
        if cancel["t_us"] >= draining_since_us:
            yield (f"{cancel['server']} cancelled {cancel['request']} while "
                   "it was draining")


def undisturbed_intervals(history, node):
    """(start, end) of the times a node ran untargeted by faults, in us."""
    undisturbed = []
    ups = [e for e in history.by_kind["node_up"] if e["node"] == node]
    downs = [e for e in history.by_kind["node_down"] if e["node"] == node]
    stops = [e for e in history.by_kind["stop_start"] if e["process"] == node]
    for up in ups:
        ends = [e["t_us"] for e in downs + stops if e["t_us"] >= up["t_us"]]
        undisturbed.append((up["t_us"], min(ends, default=history.end_us)))
    for targets, first, last in history.faults():
        if "*" not in targets and node not in targets:
            continue
        undisturbed = [piece for start, end in undisturbed
                       for piece in ((start, min(end, first)),
                                     (max(start, last), end))
                       if piece[0] < piece[1]]
    return undisturbed


def check_in_force_and_kept(history):
    contents = {}
    states = history.states_by_node()
    nodes = {event["node"] for event in history.by_kind["node_up"]}
    for accepted in history.by_kind["accepted"]:
        revision = accepted["revision"]
        first_content = contents.setdefault(revision, accepted["content"])
        if first_content != accepted["content"]:
            yield f"revision {revision} was accepted with different contents"
        for node in sorted(nodes):
            for start, end in undisturbed_intervals(history, node):
                due = max(start, accepted["t_us"]) + IN_FORCE_BOUND_US
                if due > end:
                    continue
                seen = [state["revision"] for state in states[node]
                        if start <= state["t_us"] <= due + OBSERVER_LAG_US]
                if max(seen, default=0) < revision:
                    yield (f"{node} shows revision {max(seen, default=0)} 3 s "
                           f"after {revision} was accepted")


GUARANTEES = {
    "version-order": check_version_order,
    "no-dangling-route": check_no_dangling_route,
    "all-or-nothing": check_all_or_nothing,
    "whole-own-answer": check_whole_own_answer,
    "not-run-is-true": check_not_run_is_true,
    "at-most-once": check_at_most_once,
    "no-work-after-leave": check_no_work_after_leave,
    "planned-stop-cuts-nothing": check_planned_stop_cuts_nothing,
    "in-force-and-kept": check_in_force_and_kept,
}


def check(events):
    """All violations in a history."""
    history = History(events)
    return [Violation(guarantee, detail)
            for guarantee, find_violations in GUARANTEES.items()
            for detail in find_violations(history)]


def load(paths):
    events = []
    for path in paths:
        for line in pathlib.Path(path).read_text().splitlines():
            events.append(json.loads(line))
    return events


def main():
    if len(sys.argv) < 2:
        print("usage: checker.py HISTORY.jsonl...", file=sys.stderr)
        return 2
    events = load(sys.argv[1:])
    violations = check(events)
    for violation in violations:
        print(violation)
    print(f"{len(events)} events, {len(violations)} violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())

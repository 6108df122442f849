"""One status report of another writer, whose id cannot be read, must not keep
the node from letting a backend server drain."""

import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import common  # noqa: E402

UNREADABLE_ID = b"i-7f\xff\xfe91c2"
CONSUMERS_PER_NODE = 5
DRAIN_S = 2.0
TOUCH_S = 3.0
SERVES_ON_S = 10.0


def consume(entry, number, is_over):
    """Asks on a kept connection, one request after the other."""
    consumer = common.Consumer(entry.listen["outbound"])
    count = 0
    while not is_over.is_set():
        count += 1
        try:
            answer = consumer.ask("GET", "/stock/2f",
                                  f"{number:04x}{count:012x}", limit_ms=1200)
        except OSError:
            answer = None
        if answer is None or answer.status != 200:
            time.sleep(0.1)


def odd_report(record, node, upstream):
    """A status report from another writer: its id cannot be read."""
    fields = json.loads(upstream.report_body(sequence=1))
    fields["address"] = f"{common.LOOPBACK}:{common.free_ports(1)}"
    status = common.call(node.listen["control"], "PUT",
                         b"/-/instances/" + UNREADABLE_ID,
                         json.dumps(fields).encode())
    record(f"another writer's status report with the id {UNREADABLE_ID}: "
           f"{status}")


def drain(upstream):
    """Reports draining every heartbeat interval; returns when it was first
    acknowledged."""
    upstream.reporting = False
    upstream.state = "draining"
    acknowledged = None
    for _ in range(3):
        status = upstream.send_report()
        if status == 200 and acknowledged is None:
            acknowledged = time.monotonic()
        time.sleep(common.HEARTBEAT_S)
    return acknowledged


def case(record, fleet, has_trouble):
    first = common.Upstream(record, "stock", "i-stock-1", work_s=0.05)
    second = common.Upstream(record, "stock", "i-stock-2", work_s=0.05)
    nodes = [fleet.add("sidecar-a-1", first), fleet.add("sidecar-a-2", second)]
    fleet.store.put_configuration(
        ["stock"], [("r-stock", "/stock/", "safe", 1200, "stock")])
    fleet.start()
    for node in nodes:
        fleet.await_service(node, "/stock/ready")
    time.sleep(TOUCH_S + 1)
    is_over = threading.Event()
    threads = [threading.Thread(target=consume, args=(node, number, is_over))
               for number, node in enumerate(nodes * CONSUMERS_PER_NODE)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    if has_trouble:
        odd_report(record, nodes[0], first)
    time.sleep(TOUCH_S)
    acknowledged = drain(first)
    if acknowledged is None:
        raise common.CouldNotRun("no report of draining was acknowledged")
    time.sleep(max(acknowledged + SERVES_ON_S - time.monotonic(), 0))
    is_over.set()
    for thread in threads:
        thread.join()
    first.leave()
    late = [at - acknowledged for at, _, _ in first.runs
            if at > acknowledged + DRAIN_S]
    if not late:
        return []
    return [f"{len(late)} requests reached i-stock-1 later than {DRAIN_S} s "
            f"after it was acknowledged that it drains, the last one "
            f"{max(late):.1f} s after"]


if __name__ == "__main__":
    common.main(case, os.path.dirname(os.path.abspath(__file__)))

"""An answer whose chunk header never ends must not use up the node's memory."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import common  # noqa: E402

CONSUMERS = 20
DURATION_S = 20
TOUCH_S = 3.0
MAX_LOST = 3
PIECE = b"a" * (1 << 17)


def endless_answer(connection, line, fields, rest):
    """The head of a success and then bytes without end, until the other side
    closes."""
    if not line.startswith("GET /stock/odd"):
        return NotImplemented
    upstream.note_run(line, fields)
    connection.sendall(common.answer_head(fields["request-id"],
                                          "Transfer-Encoding: chunked"))
    start = time.monotonic()
    sent = 0
    try:
        while True:
            connection.sendall(PIECE)
            sent += len(PIECE)
    finally:
        upstream.record(f"closed after {sent >> 20} MB and "
                        f"{time.monotonic() - start:.2f} s")


def consume(entry, number, until, record, cut):
    """Asks on a kept connection, one request after the other."""
    consumer = common.Consumer(entry.listen["outbound"])
    count = 0
    while time.monotonic() < until:
        count += 1
        request_id = f"{number:04x}{count:012x}"
        try:
            answer = consumer.ask("POST", "/orders/2f", request_id, b"order",
                                  limit_ms=1500)
        except OSError as error:
            record(f"{request_id}: no connection: {error}")
            time.sleep(0.2)
            continue
        if answer is None:
            record(f"{request_id}: the connection ended without an answer")
            cut.append(request_id)
        elif answer.status != 200:
            record(f"{request_id}: {answer.status}")
            time.sleep(0.1)


def case(record, fleet, has_trouble):
    global upstream
    upstream = common.Upstream(record, "stock", "i-stock", work_s=0.16,
                               behave=endless_answer if has_trouble else None)
    orders = common.Upstream(record, "orders", "i-orders", work_s=0.16)
    entry = fleet.add("sidecar-a-1", upstream)
    fleet.add("sidecar-a-2", orders)
    fleet.store.put_configuration(
        ["stock", "orders"],
        [("r-stock", "/stock/", "safe", 1200, "stock"),
         ("r-orders", "/orders/", "unsafe", 1500, "orders")])
    fleet.start()
    fleet.await_service(entry, "/stock/ready")
    fleet.await_service(entry, "/orders/ready")
    entry.enforce_memory_limit()
    time.sleep(TOUCH_S)
    cut = []
    until = time.monotonic() + DURATION_S
    threads = [threading.Thread(target=consume,
                                args=(entry, number, until, record, cut))
               for number in range(CONSUMERS)]
    for thread in threads:
        thread.start()
    peak = 0.0
    while time.monotonic() < until - 3:
        time.sleep(1)
        consumer = common.Consumer(entry.listen["outbound"])
        asker = threading.Thread(target=lambda: _ask_odd(consumer, record))
        asker.start()
        while asker.is_alive():
            peak = max(peak, entry.resident_mb())
            time.sleep(0.005)
    for thread in threads:
        thread.join()
    record(f"peak {peak:.0f} MB, killed {len(entry.exits)} times")
    passed_on = {request_id for _, request_id, _ in orders.runs}
    lost = [request_id for request_id in cut if request_id in passed_on]
    if not entry.exits or len(lost) <= MAX_LOST:
        return []
    return [f"the process ended {len(entry.exits)} times over its memory limit; "
            f"LOST {len(lost)} requests of kept connections had been passed on "
            "to i-orders, which is sound, and were not answered"]


def _ask_odd(consumer, record):
    try:
        answer = consumer.ask("GET", "/stock/odd", os.urandom(8).hex(),
                              limit_ms=1200)
    except OSError:
        answer = None
    record(f"the odd answer: {answer.status if answer else None}")


if __name__ == "__main__":
    common.main(case, os.path.dirname(os.path.abspath(__file__)))

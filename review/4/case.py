"""Consumers send uploads in chunks, and orders. Every request is proper, so the
nodes may not answer it with a 4xx of their own."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import common  # noqa: E402

UPLOADERS, ORDERERS = 18, 18
BODY = b"x" * 1000
DURATION_S = 20
TOUCH_S = 3.0
# DENIED: more than 5 and one in 500 of all requests.
ALLOWED, ALLOWED_SHARE = 5, 1 / 500


def framed_body(in_chunks):
    """The framing header and the bytes of an upload's body."""
    if not in_chunks:
        return f"Content-Length: {len(BODY)}", BODY
    return ("Transfer-Encoding: chunked",
            b"%x\r\n" % len(BODY) + BODY + b"\r\n0\r\n\r\n")


def upload(consumer, request_id, in_chunks):
    """Sends an upload and returns its answer, or None."""
    if consumer.connection is None:
        consumer.connect()
    consumer.connection.settimeout(1.5)
    framing, body = framed_body(in_chunks)
    try:
        consumer.connection.sendall(
            (f"POST /uploads/2f HTTP/1.1\r\nHost: {common.HOST}\r\n"
             f"Request-Id: {request_id}\r\nDeadline-Milliseconds: 1500\r\n"
             f"{framing}\r\n\r\n").encode() + body)
        answer = consumer.read_answer()
    except (OSError, ValueError):
        answer = None
    if answer is None or not answer.complete or \
            answer.fields.get("connection", "").lower() == "close":
        consumer.close()
    return answer


def case(record, fleet, has_trouble):
    desk = common.Upstream(record, "desk", "i-desk", work_s=0.01)
    other = common.Upstream(record, "other", "i-other")
    entry = fleet.add("sidecar-a-1", other)
    fleet.add("sidecar-a-2", desk)
    fleet.store.put_configuration(
        ["desk", "other"],
        [("r-uploads", "/uploads/", "upload", 1500, "desk"),
         ("r-orders", "/orders/", "unsafe", 1500, "desk")])
    fleet.start()
    fleet.await_service(entry, "/orders/ready")
    time.sleep(TOUCH_S)
    until = time.monotonic() + DURATION_S
    statuses = {"upload": [], "order": []}

    def consume(number, kind):
        consumer = common.Consumer(entry.listen["outbound"])
        count = 0
        while time.monotonic() < until:
            count += 1
            request_id = f"{number:04x}{count:012x}"
            try:
                if kind == "upload":
                    answer = upload(consumer, request_id, has_trouble)
                else:
                    answer = consumer.ask("POST", "/orders/2f", request_id,
                                          b"order")
            except OSError:
                continue
            status = answer.status if answer else None
            statuses[kind].append(status)
            if status in (400, 431):
                record(f"{request_id}, {kind}: {status} {answer.body.decode()}")
            if status == 503:
                time.sleep(0.1)  # As Retry-After asks, or nearly.

    threads = [threading.Thread(target=consume, args=(number, kind))
               for number, kind in enumerate(["upload"] * UPLOADERS +
                                             ["order"] * ORDERERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for kind, found in statuses.items():
        for status in sorted(set(found), key=str):
            record(f"{kind}: {found.count(status)} answers {status}")
    everything = statuses["upload"] + statuses["order"]
    denied = everything.count(400) + everything.count(431)
    allowed = ALLOWED + len(everything) * ALLOWED_SHARE
    record(f"{denied} of {len(everything)} denied, {allowed:.0f} allowed")
    if denied <= allowed:
        return []
    return [f"DENIED {denied} proper requests of {len(everything)} were "
            f"answered 400 by the nodes; {allowed:.0f} may be"]


if __name__ == "__main__":
    common.main(case, os.path.dirname(os.path.abspath(__file__)))

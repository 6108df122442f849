"""Backend servers answer some long uploads before they have read them. The rest
of the body must not be taken for further requests of the consumer."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import common  # noqa: E402

CONSUMERS = 6
# Two short uploads come before each long one.
LONG_BODY_BYTES, SHORT_BODY_BYTES, SHORT_UPLOADS = 16 << 20, 4 << 10, 2
UNIT_BYTES = 512
SMUGGLED = "smuggled"
# Within the doses of the site file: two of three servers answer the long
# uploads early, a third of all, for 6 s at a time.
EARLY_S, PAUSE_S, ROUNDS = 6.0, 1.0, 11
# A server looks at the head of an upload before it decides.
DECIDES_AFTER_S = 0.15


class EarlyServer(common.Upstream):
    """Answers some uploads early, keeps the connection, and reads the rest of
    the body later."""

    early = threading.Event()

    def __init__(self, record, name):
        super().__init__(record, "uploads", name, behave=self.answer_early)

    def answer_early(self, connection, line, fields, rest):
        is_long = int(fields.get("content-length", "0")) >= LONG_BODY_BYTES
        if not (is_long and self.early.is_set()):
            return NotImplemented
        self.note_run(line, fields)
        time.sleep(DECIDES_AFTER_S)
        body = b"too long\n"
        connection.sendall(common.answer_head(
            fields["request-id"], f"Content-Length: {len(body)}",
            "413 Payload Too Large") + body)
        time.sleep(0.3)
        return common.read_body(connection, fields, rest)


def text_body():
    """A body of text records. Each has the form of a request."""
    unit = (f"POST /orders/new HTTP/1.1\r\nHost: {common.HOST}\r\n"
            f"Request-Id: {SMUGGLED}\r\nDeadline-Milliseconds: 1500\r\n"
            "Content-Length: 0\r\nX-Pad: ").encode()
    unit += b"x" * (UNIT_BYTES - len(unit) - 4) + b"\r\n\r\n"
    return unit * (LONG_BODY_BYTES // UNIT_BYTES)


def closes(answer):
    return answer.fields.get("connection", "").lower() == "close"


def upload(node, request_id, body, record):
    """One upload on a new connection. Like any client, the consumer goes on
    with its body after an early answer, unless that announces a close."""
    consumer = common.Consumer(node.listen["outbound"])
    consumer.connect()
    connection = consumer.connection
    connection.settimeout(1.5)
    connection.sendall(
        (f"POST /uploads/2f HTTP/1.1\r\nHost: {common.HOST}\r\n"
         f"Request-Id: {request_id}\r\nDeadline-Milliseconds: 1500\r\n"
         f"Content-Length: {len(body)}\r\n\r\n").encode())
    answers = []
    is_answered = threading.Event()

    def read():
        try:
            while consumer.connection:
                answer = consumer.read_answer()
                if answer is None:
                    break
                answers.append(answer)
                is_answered.set()
        except OSError:
            pass

    reader = threading.Thread(target=read, daemon=True)
    reader.start()
    view = memoryview(body)
    try:
        for start in range(0, len(body), 1 << 16):
            if answers and closes(answers[0]):
                break
            connection.sendall(view[start:start + (1 << 16)])
    except OSError:
        pass
    is_answered.wait(1.5)
    if len(body) == LONG_BODY_BYTES:
        reader.join(0.3)  # Nothing else may come.
    consumer.close()
    ids = [answer.fields.get("request-id") for answer in answers]
    record(f"{request_id}: answers " + ", ".join(
        f"{answer.status} to {found}{' and closes' if closes(answer) else ''}"
        for answer, found in zip(answers, ids)))
    return [f"MIXED {request_id} got the answer {answer.status} to {found}"
            for answer, found in zip(answers, ids) if found == SMUGGLED]


def case(record, fleet, has_trouble):
    orders = common.Upstream(record, "orders", "i-orders")
    uploads = [EarlyServer(record, "i-uploads-1"),
               EarlyServer(record, "i-uploads-2"),
               common.Upstream(record, "uploads", "i-uploads-3")]
    entry = fleet.add("sidecar-a-1", orders)
    for number, upstream in enumerate(uploads, 2):
        fleet.add(f"sidecar-a-{number}", upstream)
    fleet.store.put_configuration(
        ["orders", "uploads"],
        [("r-orders", "/orders/", "unsafe", 1500, "orders"),
         ("r-uploads", "/uploads/", "upload", 1500, "uploads")])
    fleet.start()
    fleet.await_service(entry, "/orders/ready")
    fleet.await_service(entry, "/uploads/ready")
    for node in fleet.nodes:
        node.enforce_processor_share()
    body = text_body()
    findings = []
    is_over = threading.Event()

    def consume(number):
        count = 0
        while not (is_over.is_set() or findings):
            count += 1
            is_short = count % (SHORT_UPLOADS + 1) != 0
            try:
                findings.extend(upload(
                    entry, f"{number:04x}{count:012x}",
                    body[:SHORT_BODY_BYTES] if is_short else body, record))
            except OSError as error:
                record(f"no connection: {error}")
                time.sleep(0.2)

    consumers = [threading.Thread(target=consume, args=(number,))
                 for number in range(CONSUMERS)]
    for consumer in consumers:
        consumer.start()
    for _ in range(ROUNDS):
        if has_trouble:
            record("some uploads are answered early")
            EarlyServer.early.set()
        time.sleep(EARLY_S)
        EarlyServer.early.clear()
        record("no upload is answered early")
        if findings:
            break
        time.sleep(PAUSE_S)
    is_over.set()
    for consumer in consumers:
        consumer.join()
    ran = [line for _, request_id, line in orders.runs
           if request_id == SMUGGLED]
    if ran:
        findings.append(f"UNASKED i-orders ran {len(ran)} requests that no "
                        f"consumer sent: {ran[0]}")
    return findings


if __name__ == "__main__":
    common.main(case, os.path.dirname(os.path.abspath(__file__)))

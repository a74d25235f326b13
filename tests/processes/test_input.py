"""Invalid requests get a typed problem response, not a traceback or a hang."""

import socket

import pytest
from prometheus_client.parser import text_string_to_metric_families

from demo.launcher import HOST, call

CHAT = "/v1/chat/completions"
GOOD = {"model": "guide", "messages": [{"role": "user", "content": "Hi"}]}

CASES = [
    ("POST", CHAT, b"{", {}, 400, "not-json"),
    ("POST", CHAT, b"[]", {}, 422, "bad-request"),
    ("POST", CHAT, b"{}", {}, 422, "bad-request"),
    ("POST", CHAT, {**GOOD, "messages": []}, {}, 422, "bad-request"),
    ("POST", CHAT, {**GOOD, "messages": [{"role": "x"}]}, {}, 422, "bad-request"),
    ("POST", CHAT, {**GOOD, "messages": [1]}, {}, 422, "bad-request"),
    ("POST", CHAT, {**GOOD, "stream": "yes"}, {}, 422, "bad-request"),
    ("POST", CHAT, {**GOOD, "max_tokens": 0}, {}, 422, "bad-request"),
    ("POST", CHAT, {**GOOD, "max_tokens": True}, {}, 422, "bad-request"),
    ("POST", CHAT, {**GOOD, "model": "none"}, {}, 503, "no-upstream"),
    ("POST", CHAT, GOOD, {"Request-Timeout": "soon"}, 400, "bad-timeout"),
    ("POST", CHAT, GOOD, {"Request-Timeout": "-1"}, 400, "bad-timeout"),
    ("POST", CHAT, GOOD, {"Request-Timeout": "nan"}, 400, "bad-timeout"),
    ("POST", CHAT, GOOD, {"Request-Timeout": "0.001"}, 504, "deadline-passed"),
    ("POST", CHAT, GOOD, {"Idempotency-Key": "a b"}, 400, "bad-idempotency-key"),
    ("POST", CHAT, GOOD, {"Idempotency-Key": "x" * 201}, 400, "bad-idempotency-key"),
    ("POST", CHAT, b"x" * 70_000, {}, 413, "body-too-large"),
    ("GET", CHAT, None, {}, 405, "method-not-allowed"),
    ("GET", "/nowhere", None, {}, 404, "not-found"),
    ("GET", "/services/none/x", None, {}, 404, "no-such-service"),
    ("PUT", "/services/booking-desk/bookings", {}, {}, 405, "method-not-allowed"),
    ("POST", "/services/booking-desk/bookings", {}, {}, 400, "idempotency-key-due"),
    ("DELETE", "/v1/requests/none", None, {}, 404, "no-such-request"),
    ("GET", "/admin/v1/status", None, {}, 403, "operators-only"),
]


@pytest.fixture(scope="module")
def team_call(module_caller):
    """Return a function that makes calls with a team's key."""
    key = module_caller.system.keys.teams["members"]

    def send(method, path, body, headers):
        return call(module_caller.port(0), method, path, body, key=key, headers=headers)

    return send


@pytest.mark.parametrize(("method", "path", "body", "headers", "status", "kind"), CASES)
def test_bad_request_is_told_why(team_call, method, path, body, headers, status, kind):
    got, answer, found = team_call(method, path, body, headers)
    assert (got, answer["type"].rsplit(":", 1)[1]) == (status, kind)
    assert answer["outcome"] in ("not_run", "unknown")
    assert answer["detail"].endswith(".")
    assert answer["request_id"] == found["x-request-id"]
    assert found["content-type"] == "application/problem+json"


@pytest.mark.parametrize("key", ["", "wrong", "\u00e9"])
def test_unknown_key_is_refused(module_caller, key):
    status, answer, _ = call(module_caller.port(0), "POST", CHAT, GOOD, key=key)
    assert status == 401
    assert answer["outcome"] == "not_run"


def test_slow_body_is_given_up(module_caller):
    key = module_caller.system.keys.teams["members"]
    head = f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
    with socket.create_connection((HOST, module_caller.port(0)), timeout=10.0) as sock:
        sock.sendall((head + "Content-Length: 1000\r\n\r\n{").encode())
        assert sock.recv(65536).startswith(b"HTTP/1.1 408")


def test_cut_body_is_not_run(module_caller):
    key = module_caller.system.keys.teams["members"]
    head = f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
    with socket.create_connection((HOST, module_caller.port(0)), timeout=10.0) as sock:
        sock.sendall((head + "Content-Length: 1000\r\n\r\n{").encode())
        sock.shutdown(socket.SHUT_WR)
        assert sock.recv(65536).startswith(b"HTTP/1.1 400")


def test_a_team_can_not_cancel_the_request_of_another(module_caller):
    caller = module_caller
    before = _requests_seen(caller)
    stream = caller.stream(0, GOOD["messages"], "members", 60)
    next(stream)
    (name,) = _requests_seen(caller) - before
    clerks = caller.system.keys.teams["clerks"]
    members = caller.system.keys.teams["members"]
    path = f"/v1/requests/{name}"
    assert call(caller.port(0), "DELETE", path, key=clerks)[0] == 404
    assert call(caller.port(0), "DELETE", path, key=members)[0] == 202
    with pytest.raises(Exception, match="cancelled"):
        list(stream)


def test_a_decision_is_explained_by_request_id(module_caller):
    caller = module_caller
    key = caller.system.keys.teams["members"]
    found = call(caller.port(0), "POST", CHAT, GOOD, key=key)[2]
    path = f"/admin/v1/explain/requests/{found['x-request-id']}"
    status, answer, _ = caller.admin("GET", path, index=0)
    assert status == 200
    assert "of team members for guide went to guide-" in answer["sentences"][0]
    assert answer["result"] == "It was answered."


def _requests_seen(caller) -> set[str]:
    return {
        item["request"]
        for runner in ("guide-1", "guide-2")
        for item in caller.seen(runner)["requests"]
    }


def test_metrics_are_in_the_form_that_scrapers_read(module_caller):
    key = module_caller.system.keys.teams["members"]
    call(module_caller.port(0), "POST", CHAT, GOOD, key=key)
    status, raw, headers = call(module_caller.port(0), "GET", "/metrics")
    families = {f.name: f for f in text_string_to_metric_families(raw.decode())}
    assert status == 200
    assert headers["content-type"].startswith("text/plain")
    quantiles = {
        sample.labels.get("quantile")
        for sample in families["toucanspool_first_byte_seconds"].samples
    }
    assert {"0.5", "0.95", "0.99"} <= quantiles
    counted = families["toucanspool_requests"].samples
    assert sum(s.value for s in counted if s.labels.get("status") == "200") >= 1

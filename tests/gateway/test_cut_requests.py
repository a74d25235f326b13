"""A caller's request that is cut off anywhere reaches no upstream.

Guards against calls that lack headers, or a part of the body, of their caller.
"""

import contextlib

import pytest
from gevent import socket

from standins.raw_upstream import answering
from tests.gateway.gateways import gateway, request, route
from toucanspool.routing.routes import CallKind
from toucanspool.wire.http_server import RESET_ON_CLOSE

ROUTES = [route(CallKind.AT_MOST_ONCE, max_attempts=1)]
LENGTH = request("POST", body=b"two seats")
CHUNKS = LENGTH.replace(b"Content-Length: 9", b"Transfer-Encoding: chunked").replace(
    b"two seats", b"4\r\ntwo \r\n5\r\nseats\r\n0\r\n\r\n"
)


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("whole", [LENGTH, CHUNKS])
def test_a_request_that_is_cut_off_anywhere_reaches_no_upstream(whole, reset):
    with gateway(answering(), routes=ROUTES) as gw:
        for cut in range(len(whole)):
            with gw.connect() as sock, contextlib.suppress(OSError):
                sock.sendall(whole[:cut])
                if reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    continue
                sock.shutdown(socket.SHUT_WR)
                data = b""
                while block := sock.recv(65536):
                    data += block
                assert b" 200 " not in data, whole[:cut]
            assert not gw.upstreams[0].seen, whole[:cut]
        assert gw.exchange(whole)[0] == 200

"""Log lines are queued and written without blocking, also if nobody reads them."""

import os

import orjson

from toucanspool.telemetry.line_writer import LineWriter


def read_lines(fd: int) -> list[bytes]:
    data = b""
    os.set_blocking(fd, False)
    try:
        while chunk := os.read(fd, 65536):
            data += chunk
    except BlockingIOError:
        pass
    return data.splitlines()


def test_lines_come_out_in_order():
    reader, fd = os.pipe()
    writer = LineWriter(fd)
    for number in range(3):
        writer.msg(str(number))
    assert writer.flush()
    assert read_lines(reader) == [b"0", b"1", b"2"]


def test_a_reader_that_does_not_read_holds_nothing_up_and_is_told_what_it_missed():
    reader, fd = os.pipe()
    writer = LineWriter(fd, max_lines=100)
    for _ in range(300):
        writer.msg("x" * 2000)
    assert not writer.flush()
    for _ in range(300):
        writer.msg("y" * 2000)
    lines: list[bytes] = []
    while not writer.flush():
        lines += read_lines(reader)
    lines += read_lines(reader)
    notices = [orjson.loads(line) for line in lines if line.startswith(b"{")]
    assert sum(notice["count"] for notice in notices) > 300
    assert all(line.startswith((b"x", b"y", b"{")) for line in lines)


def test_a_reader_that_is_gone_ends_nothing():
    reader, fd = os.pipe()
    os.close(reader)
    writer = LineWriter(fd)
    writer.msg("lost")
    writer.flush()
    writer.msg("lost too")
    writer.flush()

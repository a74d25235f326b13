"""Log lines that never hold up work."""

import os

import orjson

from toucanspool.telemetry.line_writer import LineWriter


def read(fd: int) -> list[bytes]:
    data = b""
    os.set_blocking(fd, False)
    try:
        while block := os.read(fd, 65536):
            data += block
    except BlockingIOError:
        pass
    return data.splitlines()


def test_lines_come_out_in_order():
    reader, fd = os.pipe()
    writer = LineWriter(fd)
    for number in range(3):
        writer.msg(str(number))
    assert writer.flush()
    assert read(reader) == [b"0", b"1", b"2"]


def test_a_reader_that_does_not_read_holds_nothing_up_and_is_told_what_it_missed():
    reader, fd = os.pipe()
    writer = LineWriter(fd, most_lines=100)
    for _ in range(300):
        writer.msg("x" * 2000)
    assert not writer.flush()
    for _ in range(300):
        writer.msg("y" * 2000)
    lines: list[bytes] = []
    while not writer.flush():
        lines += read(reader)
    lines += read(reader)
    left_out = [orjson.loads(line) for line in lines if line.startswith(b"{")]
    assert sum(told["count"] for told in left_out) > 300
    assert all(line.startswith((b"x", b"y", b"{")) for line in lines)


def test_a_reader_that_is_gone_ends_nothing():
    reader, fd = os.pipe()
    os.close(reader)
    writer = LineWriter(fd)
    writer.msg("lost")
    writer.flush()
    writer.msg("lost too")
    writer.flush()

"""Incremental parsing of an upstream's reply."""

import re

from geventhttpclient._parser import HTTPParseError, HTTPResponseParser

Header = tuple[str, str]
FIRST_FINAL_STATUS = 200
# All others say nothing about the request (RFC 9110, 15).
STATUSES = range(100, 600)
# Nobody asks an upstream for another protocol, and what follows is no HTTP.
SWITCHING_PROTOCOLS = 101
# Limit on bytes in a row that are no body: heads, chunk sizes and trailers.
MAX_HEAD_BYTES = 64 * 1024
MAX_INTERIM_REPLIES = 16
# Limit on header lines, trailers and those of interim replies included. Each line costs
# far more memory and processor time than its bytes.
MAX_HEADER_LINES = 256
BODILESS_STATUSES = (204, 304)

_STATUS_LINE = re.compile(r"HTTP/1\.[01] [0-9]{3}(?![0-9])")


class BrokenReply(Exception):
    """Report an invalid or truncated reply."""


class ExcessiveReply(BrokenReply):
    """Report a reply that exceeds a limit on its size or duration."""


class ReplyParser(HTTPResponseParser):
    """Parse the first final reply of a connection; later bytes are ignored.

    Parameters
    ----------
    method : str
        Method of the request; a reply to HEAD has no body.

    Attributes
    ----------
    status : int
        HTTP status; 0 until the head is complete.
    headers : list of (str, str)
        Headers of the reply.
    complete : bool
        Whether the reply has been received completely.
    ended_by_close : bool
        Whether only the end of the connection says that the reply is complete.
    interim_replies : int
        Number of interim replies (1xx) received.
    """

    def __init__(self, method: str) -> None:
        super().__init__()
        self.status = 0
        self.headers: list[Header] = []
        self.complete = False
        self.ended_by_close = False
        self.interim_replies = 0
        self._head_bytes = 0
        self._excess_bytes = 0
        self._header_lines = 0
        self._joined = False
        self._invalid_status: int | None = None
        self._is_head_request = method == "HEAD"
        self._header_name = ""
        self._header_value: str | None = None
        self._body = bytearray()

    @property
    def head_complete(self) -> bool:
        """Return whether the head of a final reply is complete."""
        return self.status >= FIRST_FINAL_STATUS

    @property
    def framed(self) -> bool:
        """Return whether the reply says where it ends; valid once its head is complete.

        A reply without a length or chunks ends with its connection (RFC 9112, 6.3).
        """
        return (
            self._is_head_request
            or self.status in BODILESS_STATUSES
            or bool(self.header("content-length"))
            or self.header("transfer-encoding").lower().endswith("chunked")
        )

    @property
    def content_length(self) -> int:
        """Return the length that the head announces; 0 if it announces none."""
        length = self.header("content-length")
        return int(length) if length.isdecimal() else 0

    @property
    def body_bytes(self) -> int:
        """Return the size of the body received since the last `take_body`."""
        return len(self._body)

    def receive(self, data: bytes) -> None:
        """Parse bytes from the connection.

        Parameters
        ----------
        data : bytes
            Received bytes; empty if the connection was closed.

        Raises
        ------
        BrokenReply
            The reply is invalid or truncated.
        ExcessiveReply
            The head or what comes between parts of the body is too long, or the body
            comes in chunks that are mostly smaller than what separates them.
        """
        was_complete = self.complete
        body_bytes = self.body_bytes
        try:
            self.feed(data)
        except HTTPParseError as exc:
            if not self.complete:
                raise BrokenReply(str(exc)) from exc
        if not data and not self.complete:
            raise BrokenReply("the connection was closed before the reply's end")
        if not data:
            self.ended_by_close = not was_complete
        if self._joined:
            raise BrokenReply("another reply begins inside the head")
        if self._invalid_status is not None:
            raise BrokenReply(f"{self._invalid_status:03d} is no status of a reply")
        if not self.complete:
            self._check_limits(len(data), self.body_bytes - body_bytes)

    def take_body(self) -> bytes:
        """Return the part of the body received since the last call.

        Returns
        -------
        bytes
        """
        body = bytes(self._body)
        self._body.clear()
        return body

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string.

        Parameters
        ----------
        name : str
            Header name in lower case.

        Returns
        -------
        str
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""

    def _check_limits(self, received_bytes: int, body_bytes: int) -> None:
        self._head_bytes = 0 if body_bytes else self._head_bytes + received_bytes
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ExcessiveReply(f"more than {MAX_HEAD_BYTES} bytes that are no body")
        # Parsing a chunk of one byte takes as long as parsing one of many.
        self._excess_bytes += received_bytes - 2 * body_bytes
        if self._excess_bytes > MAX_HEAD_BYTES:
            raise ExcessiveReply("most of the reply is no body")
        if self._header_lines > MAX_HEADER_LINES:
            raise ExcessiveReply(f"more than {MAX_HEADER_LINES} header lines")
        if self.interim_replies > MAX_INTERIM_REPLIES:
            raise ExcessiveReply(f"more than {MAX_INTERIM_REPLIES} interim replies")

    def _on_status(self, text: str) -> None:
        """Check the reason phrase; called by `HTTPResponseParser`."""
        self._check_joined(text)

    def _on_message_begin(self) -> None:
        if not self.complete:
            self.headers = []

    def _on_header_field(self, text: str) -> None:
        if self._header_value is not None:
            self._store_header()
        self._header_name += text

    def _on_header_value(self, text: str) -> None:
        self._header_value = (self._header_value or "") + text

    def _on_headers_complete(self) -> bool:
        self._store_header()
        if not self.complete:
            self._set_status(self.get_code())
        return self._is_head_request

    def _set_status(self, status: int) -> None:
        if status in STATUSES and status != SWITCHING_PROTOCOLS:
            self.status = status
        elif self._invalid_status is None:
            self._invalid_status = status

    def _on_body(self, data: bytearray) -> None:
        if not self.complete:
            self._body += data

    def _on_message_complete(self) -> None:
        if self.head_complete:
            self.complete = True
        else:
            self.interim_replies += 1

    def _store_header(self) -> None:
        if self._header_name and not self.complete:
            self._check_joined(self._header_value or "")
            self._header_lines += 1
            if self._header_lines <= MAX_HEADER_LINES:
                self.headers.append((self._header_name, self._header_value or ""))
        self._header_name = ""
        self._header_value = None

    def _check_joined(self, text: str) -> None:
        """Detect a head that was cut off and goes on with that of another reply."""
        if not self.complete and "HTTP/1." in text and _STATUS_LINE.search(text):
            self._joined = True

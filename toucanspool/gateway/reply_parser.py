"""Replies of an upstream, parsed from the bytes of one connection."""

from geventhttpclient._parser import HTTPParseError, HTTPResponseParser

from toucanspool.gateway.call import Header

FIRST_FINAL_STATUS = 200


class BrokenReply(Exception):
    """Report bytes that are no reply, or a reply that ended early."""


class ReplyParser(HTTPResponseParser):
    """Collect the first final reply of a connection; what follows it is dropped.

    Parameters
    ----------
    method : str
        The request's method: a reply to HEAD has no body.

    Attributes
    ----------
    status : int
        HTTP status; 0 before the head is complete.
    headers : list of (str, str)
        The reply's headers.
    complete : bool
        Whether the whole reply has come.
    """

    def __init__(self, method: str) -> None:
        super().__init__()
        self.status = 0
        self.headers: list[Header] = []
        self.complete = False
        self._bodiless = method == "HEAD"
        self._field = ""
        self._value: str | None = None
        self._body = bytearray()

    @property
    def begun(self) -> bool:
        """Whether the head of a final reply is complete."""
        return self.status >= FIRST_FINAL_STATUS

    def take(self, data: bytes) -> None:
        """Take bytes from the connection; none means that it was closed.

        Parameters
        ----------
        data : bytes
            The bytes.

        Raises
        ------
        BrokenReply
            They are no reply, or the reply ended early.
        """
        try:
            self.feed(data)
        except HTTPParseError as exc:
            if not self.complete:
                raise BrokenReply(str(exc)) from exc
        if not data and not self.complete:
            raise BrokenReply("the connection was closed before the reply's end")

    def take_body(self) -> bytes:
        """Return the body's bytes that have come since the last call.

        Returns
        -------
        bytes
        """
        body = bytes(self._body)
        self._body.clear()
        return body

    def header(self, name: str) -> str:
        """Return a header's value, empty where there is none.

        Parameters
        ----------
        name : str
            Name in lower case.

        Returns
        -------
        str
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""

    def _on_status(self, text: str) -> None:
        """Take no note of the reason phrase; called by the library."""

    def _on_message_begin(self) -> None:
        if not self.complete:
            self.headers = []

    def _on_header_field(self, text: str) -> None:
        if self._value is not None:
            self._keep_header()
        self._field += text

    def _on_header_value(self, text: str) -> None:
        self._value = (self._value or "") + text

    def _on_headers_complete(self) -> bool:
        self._keep_header()
        if not self.complete:
            self.status = self.get_code()
        return self._bodiless

    def _on_body(self, data: bytearray) -> None:
        if not self.complete:
            self._body += data

    def _on_message_complete(self) -> None:
        if self.begun:
            self.complete = True

    def _keep_header(self) -> None:
        if self._field and not self.complete:
            self.headers.append((self._field, self._value or ""))
        self._field = ""
        self._value = None

"""Server-sent events as streamed by engines with a chat completions API."""

EVENT_STREAM_TYPE = "text/event-stream"
EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE_EVENT = b"data: [DONE]\n\n"


def is_event_stream(content_type: str) -> bool:
    """Return whether a content type is that of server-sent events.

    Parameters
    ----------
    content_type : str
        Value of the header ``Content-Type``; empty if the header is missing.

    Returns
    -------
    bool
    """
    return content_type.startswith(EVENT_STREAM_TYPE)


def ends_stream(data: bytes) -> bool:
    """Return whether the last event is the end marker of a chat completion.

    Parameters
    ----------
    data : bytes
        Complete events.

    Returns
    -------
    bool
    """
    return data.rstrip().endswith(b"[DONE]")

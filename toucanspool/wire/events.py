"""Server-sent events, as engines of the usual chat form stream them."""

EVENT_STREAM = "text/event-stream"
EVENT_END = b"\n\n"
DATA = b"data: "
DONE = b"data: [DONE]\n\n"


def is_event_stream(content_type: str) -> bool:
    """Return whether a body of a type is a stream of events.

    Parameters
    ----------
    content_type : str
        Value of the header ``Content-Type``; empty where there is none.

    Returns
    -------
    bool
    """
    return content_type.startswith(EVENT_STREAM)

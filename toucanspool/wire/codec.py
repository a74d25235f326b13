"""Encode and decode frames with Thrift's accelerated binary protocol."""

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from toucanspool.wire.gen.messages.ttypes import Frame

_PROTOCOL_FACTORY = TBinaryProtocolAcceleratedFactory()


class BadFrame(Exception):
    """Report bytes that do not decode to a frame."""


def encode(frame: Frame) -> bytes:
    """Serialize a frame.

    Parameters
    ----------
    frame : Frame
        A frame with exactly one field set.

    Returns
    -------
    bytes
    """
    return serialize(frame, _PROTOCOL_FACTORY)


def decode(data: bytes) -> Frame:
    """Deserialize a frame.

    Parameters
    ----------
    data : bytes
        One frame as returned by `encode`, without a length prefix.

    Returns
    -------
    Frame

    Raises
    ------
    BadFrame
        The bytes do not decode to a frame.
    """
    try:
        return deserialize(Frame(), data, _PROTOCOL_FACTORY)
    except Exception as exc:
        raise BadFrame(repr(exc)) from exc

"""Frames to bytes and back, by thrift's accelerated binary protocol."""

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from toucanspool.wire.gen.messages.ttypes import Frame

_FACTORY = TBinaryProtocolAcceleratedFactory()


class BadFrame(Exception):
    """Report bytes that are no frame."""


def encode(frame: Frame) -> bytes:
    """Return a frame as bytes.

    Parameters
    ----------
    frame : Frame
        The frame.

    Returns
    -------
    bytes
    """
    return serialize(frame, _FACTORY)


def decode(data: bytes) -> Frame:
    """Return the frame in bytes made by `encode`.

    Parameters
    ----------
    data : bytes
        The bytes.

    Returns
    -------
    Frame

    Raises
    ------
    BadFrame
        The bytes are no frame.
    """
    try:
        return deserialize(Frame(), data, _FACTORY)
    except Exception as exc:
        raise BadFrame(repr(exc)) from exc

"""Encoding of expert maps and expert counts in messages to and from rank agents."""

import zlib

import numpy as np

from toucanspool.groups.expert_map import EMPTY, FloatArray, IntArray

MAP_DTYPE = np.int16
COUNT_DTYPE = np.uint8
MAX_COUNT = np.iinfo(COUNT_DTYPE).max


def pack_map(experts: IntArray) -> bytes:
    """Encode a map, or a part of one.

    The bytes are compressed, since rank agents have slow links and every rank gets
    the whole map before each switch.

    Parameters
    ----------
    experts : ndarray of int, shape (..., slots)
        The expert in each slot; `EMPTY` for an empty slot.

    Returns
    -------
    bytes
    """
    return zlib.compress(experts.astype(MAP_DTYPE).tobytes())


def unpack_map(data: bytes, slots: int) -> IntArray:
    """Decode a map, or a part of one.

    Parameters
    ----------
    data : bytes
        Bytes from `pack_map`.
    slots : int
        Expert slots per rank and layer set.

    Returns
    -------
    ndarray of int, shape (n, slots)

    Raises
    ------
    ValueError
        The bytes are not a map with that many slots.
    """
    try:
        return np.frombuffer(zlib.decompress(data), dtype=MAP_DTYPE).reshape(-1, slots)
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc


def pack_lists(lists: list[list[int]], slots: int) -> bytes:
    """Encode the experts of one rank.

    Parameters
    ----------
    lists : list of list of int
        The rank's experts in each layer set.
    slots : int
        Expert slots per rank and layer set; shorter lists are padded.

    Returns
    -------
    bytes
    """
    padded = np.full((len(lists), slots), EMPTY, dtype=MAP_DTYPE)
    for row, experts in zip(padded, lists, strict=True):
        row[: len(experts)] = experts
    return pack_map(padded)


def pack_counts(counts: IntArray) -> tuple[bytes, float]:
    """Encode expert counts, scaled to 8 bits each.

    Parameters
    ----------
    counts : ndarray of int, shape (layer_sets, experts)
        How often the router selected each expert.

    Returns
    -------
    data : bytes
    unit : float
        Scale factor: the number of selections per unit of an encoded count.
    """
    unit = max(1.0, float(counts.max()) / MAX_COUNT)
    return np.rint(counts / unit).astype(COUNT_DTYPE).tobytes(), unit


def unpack_counts(
    data: bytes, unit: float, shape: tuple[int, int]
) -> FloatArray | None:
    """Decode expert counts.

    Parameters
    ----------
    data : bytes
        Bytes from `pack_counts`.
    unit : float
        Scale factor from `pack_counts`.
    shape : tuple of int
        Numbers of layer sets and experts.

    Returns
    -------
    ndarray of float, shape (layer_sets, experts), or None
        None if the data has another size.
    """
    counts = np.frombuffer(data, dtype=COUNT_DTYPE)
    if counts.size != shape[0] * shape[1]:
        return None
    return counts.reshape(shape) * unit

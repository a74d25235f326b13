"""Maps and counts as the bytes that coordinators and rank agents send each other."""

import zlib

import numpy as np

from toucanspool.groups.expert_map import EMPTY, FloatArray, IntArray

MAP_TYPE = np.int16
PICKS_TYPE = np.uint8
MOST = np.iinfo(PICKS_TYPE).max


def pack_map(experts: IntArray) -> bytes:
    """Return the bytes of a map or of a part of one.

    Links of rank agents are slow, and a map goes to each rank before each switch.

    Parameters
    ----------
    experts : ndarray of int, shape (..., places)
        The experts; `EMPTY` for an empty place.

    Returns
    -------
    bytes
    """
    return zlib.compress(experts.astype(MAP_TYPE).tobytes())


def unpack_map(data: bytes, places: int) -> IntArray:
    """Return a map, or a part of one, from its bytes.

    Parameters
    ----------
    data : bytes
        As of `pack_map`.
    places : int
        Places of a rank in a set.

    Returns
    -------
    ndarray of int, shape (n, places)

    Raises
    ------
    ValueError
        The bytes are no map of so many places.
    """
    try:
        return np.frombuffer(zlib.decompress(data), dtype=MAP_TYPE).reshape(-1, places)
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc


def pack_lists(lists: list[list[int]], places: int) -> bytes:
    """Return the bytes of one rank's experts by set.

    Parameters
    ----------
    lists : list of list of int
        The experts of each set.
    places : int
        Places of a rank in a set.

    Returns
    -------
    bytes
    """
    padded = np.full((len(lists), places), EMPTY, dtype=MAP_TYPE)
    for row, experts in zip(padded, lists, strict=True):
        row[: len(experts)] = experts
    return pack_map(padded)


def pack_picks(picks: IntArray) -> tuple[bytes, float]:
    """Return counts as small numbers, and how many picks one of them stands for.

    Parameters
    ----------
    picks : ndarray of int, shape (sets, experts)
        How often each expert was chosen.

    Returns
    -------
    data : bytes
    unit : float
    """
    unit = max(1.0, float(picks.max()) / MOST)
    return np.rint(picks / unit).astype(PICKS_TYPE).tobytes(), unit


def unpack_picks(data: bytes, unit: float, shape: tuple[int, int]) -> FloatArray | None:
    """Return counts from their bytes, None where they have another shape.

    Parameters
    ----------
    data : bytes
        As of `pack_picks`.
    unit : float
        Picks that one number stands for.
    shape : tuple of int
        Sets and experts.

    Returns
    -------
    ndarray of float, shape (sets, experts), or None
    """
    picks = np.frombuffer(data, dtype=PICKS_TYPE)
    if picks.size != shape[0] * shape[1]:
        return None
    return picks.reshape(shape) * unit

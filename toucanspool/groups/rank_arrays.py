"""Encoding of expert maps and expert counts in messages to and from rank agents."""

import zlib

import numpy as np

from toucanspool.groups.expert_map import EMPTY, FloatArray, IntArray

MAP_DTYPE = np.int16
CHECKSUM_BYTES = 4
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


def pack_changes(before: IntArray, after: IntArray) -> bytes:
    """Encode what differs between two maps.

    Parameters
    ----------
    before, after : ndarray of int, shape (layer_sets, ranks, slots)
        The expert in each slot; `EMPTY` for an empty slot.

    Returns
    -------
    bytes
    """
    changes = [
        (layer_set, rank, expert)
        for layer_set, rank in np.argwhere((before != after).any(axis=2))
        for expert in set(before[layer_set, rank]) ^ set(after[layer_set, rank])
        if expert != EMPTY
    ]
    checksum = zlib.crc32(after.astype(MAP_DTYPE).tobytes())
    return zlib.compress(
        checksum.to_bytes(CHECKSUM_BYTES)
        + np.array(sorted(changes), dtype=MAP_DTYPE).tobytes()
    )


def apply_changes(before: IntArray, data: bytes) -> IntArray:
    """Return the map that differs from another one by encoded changes.

    Parameters
    ----------
    before : ndarray of int, shape (layer_sets, ranks, slots)
        The other map.
    data : bytes
        Bytes from `pack_changes`.

    Returns
    -------
    ndarray of int, shape (layer_sets, ranks, slots)

    Raises
    ------
    ValueError
        The changes were made for another map.
    """
    try:
        decoded = zlib.decompress(data)
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc
    after = before.astype(MAP_DTYPE)
    slots = before.shape[2]
    changes = np.frombuffer(decoded[CHECKSUM_BYTES:], dtype=MAP_DTYPE).reshape(-1, 3)
    rows: dict[tuple[int, int], set[int]] = {}
    for layer_set, rank, expert in changes.tolist():
        if not (layer_set < after.shape[0] and rank < after.shape[1]):
            raise ValueError("the changes are for a larger map")
        before_row = set(after[layer_set, rank].tolist()) - {EMPTY}
        rows[layer_set, rank] = rows.get((layer_set, rank), before_row) ^ {expert}
    for index, experts in rows.items():
        row = sorted(experts) + [EMPTY] * (slots - len(experts))
        after[index] = row[:slots]
    if zlib.crc32(after.tobytes()) != int.from_bytes(decoded[:CHECKSUM_BYTES]):
        raise ValueError("the changes were made for another map")
    return after


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

"""The placement of a group's experts, as every rank of the group uses it."""

import io
import zipfile
import zlib
from typing import Self

import numpy as np
from numpy.typing import ArrayLike, NDArray

from toucanspool.groups.map_rules import EMPTY, MAX_WEIGHT, map_mistakes

__all__ = ["EMPTY", "MAX_WEIGHT", "BadMap", "ExpertMap", "FloatArray", "IntArray"]

IntArray = NDArray[np.integer]
FloatArray = NDArray[np.floating]


class BadMap(Exception):
    """Report a map that no group may run on, every mistake at once.

    Parameters
    ----------
    mistakes : list of str
        One sentence each.
    """

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("; ".join(mistakes))
        self.mistakes = mistakes


class ExpertMap:
    """Say which experts each rank holds and how copies share the tokens.

    A map never changes; each change makes another with a higher version.

    Parameters
    ----------
    version : int
        Number of the map, from 0; a group only goes to higher ones.
    n_experts : int
        Experts in each layer.
    experts : array_like of int, shape (layers, ranks, slots)
        The expert in each slot, `EMPTY` where there is none.
    weights : array_like of int, shape (layers, ranks, slots), optional
        Relative part of its expert's tokens that each copy gets, from 0 to
        `MAX_WEIGHT`; equal parts if left out.

    Raises
    ------
    BadMap
        An expert has no copy that gets tokens, or two copies on one rank, or an
        array has a wrong shape or value.
    """

    __slots__ = ("_shares", "experts", "n_experts", "version", "weights")

    def __init__(
        self,
        *,
        version: int,
        n_experts: int,
        experts: ArrayLike,
        weights: ArrayLike | None = None,
    ) -> None:
        wide_experts = np.asarray(experts)
        if weights is None:
            weights = wide_experts != EMPTY
        wide_weights = np.asarray(weights)
        mistakes = map_mistakes(version, n_experts, wide_experts, wide_weights)
        if mistakes:
            raise BadMap(mistakes)
        self.version = int(version)
        self.n_experts = int(n_experts)
        self.experts = _frozen(wide_experts, np.int16)
        self.weights = _frozen(wide_weights, np.uint16)
        self._shares: FloatArray | None = None

    @property
    def layers(self) -> int:
        """Return the number of layers."""
        return self.experts.shape[0]

    @property
    def ranks(self) -> int:
        """Return the number of ranks."""
        return self.experts.shape[1]

    @property
    def slots(self) -> int:
        """Return the number of slots of a rank in each layer."""
        return self.experts.shape[2]

    @property
    def shares(self) -> FloatArray:
        """Return the part of its expert's tokens that each slot gets.

        Returns
        -------
        ndarray of float, shape (layers, ranks, slots)
            0 to 1; the parts of an expert's copies add up to 1 in each layer.
        """
        if self._shares is None:
            totals = self.sum_by_expert(self.weights)
            shares = self.weights / self.gather(totals, fill=1.0)
            shares.setflags(write=False)
            self._shares = shares
        return self._shares

    def sum_by_expert(self, values: ArrayLike) -> FloatArray:
        """Add up a value of each slot by expert.

        Parameters
        ----------
        values : array_like, shape (layers, ranks, slots)
            The values; those of empty slots are left out.

        Returns
        -------
        ndarray of float, shape (layers, n_experts)
        """
        used = self.experts != EMPTY
        layer = np.arange(self.layers)[:, None, None]
        index = (layer * self.n_experts + self.experts)[used]
        size = self.layers * self.n_experts
        sums = np.bincount(index, np.asarray(values)[used], minlength=size)
        return sums.reshape(self.layers, self.n_experts)

    def gather(self, values: FloatArray, *, fill: float = 0.0) -> FloatArray:
        """Return the value of the expert in each slot.

        Parameters
        ----------
        values : ndarray, shape (layers, n_experts)
            A value for each expert.
        fill : float, default=0.0
            The value of an empty slot.

        Returns
        -------
        ndarray, shape (layers, ranks, slots)
        """
        flat = self.experts.reshape(self.layers, -1).astype(np.intp)
        found = np.take_along_axis(values, np.maximum(flat, 0), axis=1)
        found = np.where(flat == EMPTY, fill, found)
        return found.reshape(self.experts.shape)

    def rank_loads(self, loads: FloatArray) -> FloatArray:
        """Return the tokens that each rank gets.

        Parameters
        ----------
        loads : ndarray, shape (layers, n_experts)
            Tokens of each expert, in any unit.

        Returns
        -------
        ndarray of float, shape (layers, ranks)
            In the same unit.
        """
        return (self.gather(loads) * self.shares).sum(axis=2)

    def copy_counts(self) -> IntArray:
        """Return the number of copies of each expert.

        Returns
        -------
        ndarray of int, shape (layers, n_experts)
        """
        return self.sum_by_expert(np.ones(self.experts.shape)).astype(int)

    def copies_new_to(self, other: Self) -> int:
        """Count the copies here that their rank lacks in another map.

        Parameters
        ----------
        other : ExpertMap
            The map that the group runs on.

        Returns
        -------
        int
            Copies to load before the group can change over to this map.
        """
        held = (self.experts[..., :, None] == other.experts[..., None, :]).any(axis=3)
        return int((~held & (self.experts != EMPTY)).sum())

    def encode(self) -> bytes:
        """Return the map as bytes for a message or an object.

        Returns
        -------
        bytes
            A compressed NumPy archive.
        """
        buffer = io.BytesIO()
        head = np.array([self.version, self.n_experts], dtype=np.int64)
        np.savez_compressed(
            buffer, head=head, experts=self.experts, weights=self.weights
        )
        return buffer.getvalue()

    @classmethod
    def decode(cls, data: bytes) -> Self:
        """Return the map in bytes made by `encode`.

        Parameters
        ----------
        data : bytes
            The encoded map.

        Returns
        -------
        ExpertMap

        Raises
        ------
        BadMap
            The bytes hold no valid map.
        """
        try:
            with np.load(io.BytesIO(data), allow_pickle=False) as archive:
                version, n_experts = archive["head"]
                experts = archive["experts"]
                weights = archive["weights"]
        except _DECODE_ERRORS as exc:
            raise BadMap([f"the bytes are no map: {exc}"]) from exc
        return cls(
            version=version, n_experts=n_experts, experts=experts, weights=weights
        )

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, ExpertMap):
            return NotImplemented
        return (
            self.version == other.version
            and self.n_experts == other.n_experts
            and np.array_equal(self.experts, other.experts)
            and np.array_equal(self.weights, other.weights)
        )

    __hash__ = None


_DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    EOFError,
    OSError,
    NotImplementedError,
    AttributeError,
    RuntimeError,
    zipfile.BadZipFile,
    zlib.error,
)


def _frozen(array: NDArray, dtype: type) -> NDArray:
    copy = np.array(array, dtype=dtype)
    copy.setflags(write=False)
    return copy

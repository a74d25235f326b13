"""Expert maps, which place the experts of a model on the ranks of a group."""

import io
import zipfile
import zlib
from typing import Self

import numpy as np
from numpy.typing import ArrayLike, NDArray

from toucanspool.groups.map_rules import EMPTY, MAX_WEIGHT, map_errors

__all__ = ["EMPTY", "MAX_WEIGHT", "BadMap", "ExpertMap", "FloatArray", "IntArray"]

IntArray = NDArray[np.integer]
FloatArray = NDArray[np.floating]


class BadMap(Exception):
    """Report an invalid expert map with all its errors.

    Parameters
    ----------
    errors : list of str
        One sentence for each error.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


class ExpertMap:
    """Map experts to the slots of ranks, with weights that split the tokens.

    A map is immutable. Each change creates a map with a higher version.

    Parameters
    ----------
    version : int
        Version of the map, from 0; a group only switches to a higher one.
    n_experts : int
        Number of experts in each layer.
    experts : array_like of int, shape (layers, ranks, slots)
        The expert in each slot; `EMPTY` for an empty slot.
    weights : array_like of int, shape (layers, ranks, slots), optional
        Relative share of its expert's tokens that each copy gets, from 0 to
        `MAX_WEIGHT`; equal shares if omitted.

    Raises
    ------
    BadMap
        If an expert has no copy that gets tokens or two copies on one rank, or if
        an array has a wrong shape or value.
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
        raw_experts = np.asarray(experts)
        if weights is None:
            weights = raw_experts != EMPTY
        raw_weights = np.asarray(weights)
        errors = map_errors(version, n_experts, raw_experts, raw_weights)
        if errors:
            raise BadMap(errors)
        self.version = int(version)
        self.n_experts = int(n_experts)
        self.experts = _read_only(raw_experts, np.int16)
        self.weights = _read_only(raw_weights, np.uint16)
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
        """Return the share of its expert's tokens that each slot gets.

        Returns
        -------
        ndarray of float, shape (layers, ranks, slots)
            0 to 1; the shares of an expert's copies add up to 1 in each layer.
        """
        if self._shares is None:
            totals = self.sum_by_expert(self.weights)
            shares = self.weights / self.gather(totals, fill=1.0)
            shares.setflags(write=False)
            self._shares = shares
        return self._shares

    def sum_by_expert(self, values: ArrayLike) -> FloatArray:
        """Sum a value of each slot by expert.

        Parameters
        ----------
        values : array_like, shape (layers, ranks, slots)
            A value for each slot; those of empty slots are ignored.

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
            Value for empty slots.

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
            Tokens in the unit of `loads`.
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
        """Count the copies in this map that their rank lacks in another map.

        Parameters
        ----------
        other : ExpertMap
            The map in use.

        Returns
        -------
        int
            Number of copies to load before the group can switch to this map.
        """
        held = (self.experts[..., :, None] == other.experts[..., None, :]).any(axis=3)
        return int((~held & (self.experts != EMPTY)).sum())

    def encode(self) -> bytes:
        """Serialize the map for messages and the object store.

        Returns
        -------
        bytes
            A compressed NumPy archive.
        """
        buffer = io.BytesIO()
        header = np.array([self.version, self.n_experts], dtype=np.int64)
        np.savez_compressed(
            buffer, head=header, experts=self.experts, weights=self.weights
        )
        return buffer.getvalue()

    @classmethod
    def decode(cls, data: bytes) -> Self:
        """Deserialize a map from the bytes that `encode` returned.

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
            If the bytes do not hold a valid map.
        """
        try:
            with np.load(io.BytesIO(data), allow_pickle=False) as archive:
                version, n_experts = archive["head"]
                experts = archive["experts"]
                weights = archive["weights"]
        except _DECODE_ERRORS as exc:
            raise BadMap([f"cannot decode the expert map: {exc}"]) from exc

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


def _read_only(array: NDArray, dtype: type) -> NDArray:
    result = np.array(array, dtype=dtype)
    result.setflags(write=False)
    return result

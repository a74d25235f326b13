"""A test of labels, written by operators as plain mappings."""

from collections.abc import Mapping
from dataclasses import field
from typing import Any

from pydantic import ConfigDict, field_validator
from pydantic.dataclasses import dataclass

ANY_VALUE = "*"
STRICT = ConfigDict(extra="forbid")

Labels = Mapping[str, str]


@dataclass(slots=True, frozen=True, config=STRICT)
class Match:
    """Test labels by the values that they must and must not have.

    An empty match fits everything.

    Parameters
    ----------
    has : dict of str to tuple of str
        Each key must be present with one of its values; ``"*"`` is any value.
    lacks : dict of str to tuple of str
        No key may be present with one of its values; ``"*"`` is any value.
    """

    has: dict[str, tuple[str, ...]] = field(default_factory=dict)
    lacks: dict[str, tuple[str, ...]] = field(default_factory=dict)

    @field_validator("has", "lacks", mode="before")
    @classmethod
    def _single_values(cls, value: Any) -> Any:
        if not isinstance(value, Mapping):
            return value
        return {k: (v,) if isinstance(v, str) else v for k, v in value.items()}

    def fits(self, labels: Labels) -> bool:
        """Return whether labels pass.

        Parameters
        ----------
        labels : mapping of str to str
            The labels tested.

        Returns
        -------
        bool
        """
        if not all(_present(labels, k, values) for k, values in self.has.items()):
            return False
        return not any(_present(labels, k, v) for k, v in self.lacks.items())

    def sentence(self, noun: str) -> str:
        """Describe what fits in words.

        Parameters
        ----------
        noun : str
            What is tested, in the plural: ``"upstreams"``.

        Returns
        -------
        str
            For example ``"upstreams with model guide but not pool trial"``.
        """
        if not self.has and not self.lacks:
            return f"all {noun}"
        text = noun
        if self.has:
            text += " with " + " and ".join(_words(k, v) for k, v in self.has.items())
        if self.lacks:
            without = " or ".join(_words(k, v) for k, v in self.lacks.items())
            text += (" but not " if self.has else " without ") + without
        return text


def _present(labels: Labels, key: str, values: tuple[str, ...]) -> bool:
    value = labels.get(key)
    return value is not None and (value in values or ANY_VALUE in values)


def _words(key: str, values: tuple[str, ...]) -> str:
    if ANY_VALUE in values:
        return f"any {key}"
    return f"{key} {' or '.join(values)}"

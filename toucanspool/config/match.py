"""Label matchers, which operators write as plain mappings."""

from collections.abc import Mapping
from dataclasses import field
from typing import Any

from pydantic import ConfigDict, field_validator
from pydantic.dataclasses import dataclass

ANY_VALUE = "*"
FORBID_EXTRA = ConfigDict(extra="forbid")

Labels = Mapping[str, str]


@dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class Match:
    """Match labels by required and forbidden values.

    An empty match accepts any labels.

    Parameters
    ----------
    has : dict of str to tuple of str
        Required labels: each key must be present with one of the listed values.
        ``"*"`` matches any value.
    lacks : dict of str to tuple of str
        Forbidden labels: no key may be present with one of the listed values.
        ``"*"`` matches any value.
    """

    has: dict[str, tuple[str, ...]] = field(default_factory=dict)
    lacks: dict[str, tuple[str, ...]] = field(default_factory=dict)

    @field_validator("has", "lacks", mode="before")
    @classmethod
    def _wrap_single_values(cls, value: Any) -> Any:
        if not isinstance(value, Mapping):
            return value
        return {k: (v,) if isinstance(v, str) else v for k, v in value.items()}

    def matches(self, labels: Labels) -> bool:
        """Return whether labels satisfy the match.

        Parameters
        ----------
        labels : mapping of str to str
            The labels of a request or an upstream.

        Returns
        -------
        bool
        """
        if not all(_has_label(labels, k, values) for k, values in self.has.items()):
            return False
        return not any(_has_label(labels, k, v) for k, v in self.lacks.items())

    def describe(self, noun: str) -> str:
        """Describe the matching objects in words.

        Parameters
        ----------
        noun : str
            Plural name of the matched objects, such as ``"upstreams"``.

        Returns
        -------
        str
            For example ``"upstreams with model guide but not pool trial"``.
        """
        if not self.has and not self.lacks:
            return f"all {noun}"
        text = noun
        if self.has:
            text += " with " + " and ".join(
                _describe_label(k, v) for k, v in self.has.items()
            )
        if self.lacks:
            forbidden = " or ".join(
                _describe_label(k, v) for k, v in self.lacks.items()
            )
            text += (" but not " if self.has else " without ") + forbidden
        return text


def _has_label(labels: Labels, key: str, values: tuple[str, ...]) -> bool:
    value = labels.get(key)
    return value is not None and (value in values or ANY_VALUE in values)


def _describe_label(key: str, values: tuple[str, ...]) -> str:
    if ANY_VALUE in values:
        return f"any {key}"
    return f"{key} {' or '.join(values)}"

"""Helpers for building English sentences."""

from collections.abc import Sequence

MAX_LISTED_WORDS = 3


def join_words(words: Sequence[str], limit: int = MAX_LISTED_WORDS) -> str:
    """Join words into an English list, with a count of those left out.

    Parameters
    ----------
    words : sequence of str
        Names or phrases, in the order of the list.
    limit : int, default=3
        How many words are listed before the rest is only counted.

    Returns
    -------
    str
        For example ``"a, b, c and 9 more"``.
    """
    shown = list(words[:limit])
    if len(words) > limit:
        shown.append(f"{len(words) - limit} more")
    if len(shown) < 2:
        return "".join(shown)
    return f"{', '.join(shown[:-1])} and {shown[-1]}"


def capitalize_first(name: str) -> str:
    """Capitalize the first letter and keep the rest, unlike `str.capitalize`.

    Parameters
    ----------
    name : str
        Name that starts a sentence.

    Returns
    -------
    str
    """
    return name[:1].upper() + name[1:]

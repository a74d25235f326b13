"""Small helpers for sentences."""

from collections.abc import Sequence

MAX_NAMES = 3


def join_words(words: Sequence[str], most: int = MAX_NAMES) -> str:
    """Return words as a list in a sentence.

    Parameters
    ----------
    words : sequence of str
        The words.
    most : int, default=3
        How many are written out.

    Returns
    -------
    str
        For example ``"a, b, c and 9 more"``.
    """
    shown = list(words[:most])
    if len(words) > most:
        shown.append(f"{len(words) - most} more")
    if len(shown) < 2:
        return "".join(shown)
    return f"{', '.join(shown[:-1])} and {shown[-1]}"


def capitalize_first(name: str) -> str:
    """Return a name with a capital at the start of a sentence.

    Parameters
    ----------
    name : str
        The name.

    Returns
    -------
    str
    """
    return name[:1].upper() + name[1:]

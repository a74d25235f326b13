"""Parsing of a team's share from its label."""

DEFAULT_SHARE = 1.0
MAX_SHARE = 1e6


def parse_share(label: str | None) -> float:
    """Return the share in a label, or the default share.

    Parameters
    ----------
    label : str or None
        Value of the label ``share``; None if the team has no such label.

    Returns
    -------
    float
        Greater than 0. It is 1 if the label is missing or not a number between 0 and
        1e6.
    """
    try:
        share = float(label or DEFAULT_SHARE)
    except ValueError:
        return DEFAULT_SHARE
    return share if 0.0 < share < MAX_SHARE else DEFAULT_SHARE

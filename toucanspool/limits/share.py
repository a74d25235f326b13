"""A team's share, as its label says it."""

USUAL_SHARE = 1.0
MAX_SHARE = 1e6


def share_of(label: str | None) -> float:
    """Return the share that a label gives.

    Parameters
    ----------
    label : str or None
        The value of the label ``share``; None where there is none.

    Returns
    -------
    float
        Over 0; 1 where the label is none or no such number.
    """
    try:
        share = float(label or USUAL_SHARE)
    except ValueError:
        return USUAL_SHARE
    return share if 0.0 < share < MAX_SHARE else USUAL_SHARE

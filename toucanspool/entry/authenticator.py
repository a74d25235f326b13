"""Who may call: teams and operators by key."""

import falcon

from toucanspool.config.records import Operator, Team
from toucanspool.config.service import ConfigService
from toucanspool.config.view import View, key_hash
from toucanspool.entry.problems import Problem

BEARER_PREFIX = "Bearer "
BOOTSTRAP_OPERATOR = "bootstrap"


class Authenticator:
    """Tell teams and operators by their keys.

    Parameters
    ----------
    config : ConfigService
        Where hashes of keys are.
    bootstrap_key_hash : str, default=""
        Hash of a key that is an operator's until there are operators.
    """

    __slots__ = ("_bootstrap_key_hash", "_config")

    def __init__(self, config: ConfigService, *, bootstrap_key_hash: str = "") -> None:
        self._config = config
        self._bootstrap_key_hash = bootstrap_key_hash

    def authenticate_team(self, req: falcon.Request) -> Team:
        """Return the calling team.

        Parameters
        ----------
        req : falcon.Request
            The request.

        Returns
        -------
        Team

        Raises
        ------
        Problem
            There is no configuration, no key, or the key is no team's.
        """
        team = self._require_view().team_of(_bearer_key(req))
        if team is None:
            raise Problem(401, "unknown-key", "The key is not known.")
        return team

    def authenticate_operator(self, req: falcon.Request) -> Operator:
        """Return the calling operator.

        Parameters
        ----------
        req : falcon.Request
            The request.

        Returns
        -------
        Operator

        Raises
        ------
        Problem
            There is no key, or the key is no operator's.
        """
        key = _bearer_key(req)
        view = self._config.view if self._config.ready else View()
        operator = view.operator_of(key)
        if operator is not None:
            return operator
        if not view.records("operator") and key_hash(key) == self._bootstrap_key_hash:
            return Operator(name=BOOTSTRAP_OPERATOR)
        self._require_view()
        if view.team_of(key) is not None:
            raise Problem(403, "operators-only", "This page is for operators only.")
        raise Problem(401, "unknown-key", "The key is not known.")

    def _require_view(self) -> View:
        if not self._config.ready:
            raise Problem(
                503,
                "no-configuration",
                "This entry has no configuration yet, so it serves nothing.",
                retry_after_s=2.0,
            )
        return self._config.view


def _bearer_key(req: falcon.Request) -> str:
    header = req.get_header("Authorization") or ""
    if not header.startswith(BEARER_PREFIX) or len(header) == len(BEARER_PREFIX):
        raise Problem(401, "no-key", "A key is due: Authorization: Bearer KEY.")
    return header[len(BEARER_PREFIX) :]

"""Authentication of teams and operators by bearer key."""

import falcon

from toucanspool.config.records import Operator, Team
from toucanspool.config.service import ConfigService
from toucanspool.config.view import View, key_hash
from toucanspool.entry.problems import Problem

BEARER_PREFIX = "Bearer "
BOOTSTRAP_OPERATOR = "bootstrap"


class Authenticator:
    """Authenticate requests of teams and operators.

    Parameters
    ----------
    config : ConfigService
        Configuration with the hashes of all keys.
    bootstrap_key_hash : str, default=""
        Hash of a key that is accepted as an operator's until the first operator is
        configured; empty for none.
    """

    __slots__ = ("_bootstrap_key_hash", "_config")

    def __init__(self, config: ConfigService, *, bootstrap_key_hash: str = "") -> None:
        self._config = config
        self._bootstrap_key_hash = bootstrap_key_hash

    def authenticate_team(self, req: falcon.Request) -> Team:
        """Return the team whose key a request carries.

        Parameters
        ----------
        req : falcon.Request
            The HTTP request.

        Returns
        -------
        Team

        Raises
        ------
        Problem
            The configuration is not loaded, or the key is missing or not a team's.
        """
        team = self._require_view().team_of(_bearer_key(req))
        if team is None:
            raise Problem(401, "unknown-key", "The key is not known.")
        return team

    def authenticate_operator(self, req: falcon.Request) -> Operator:
        """Return the operator whose key a request carries.

        Parameters
        ----------
        req : falcon.Request
            The HTTP request.

        Returns
        -------
        Operator

        Raises
        ------
        Problem
            The key is missing or not an operator's, or the configuration is not loaded.
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

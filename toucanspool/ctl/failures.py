"""Exceptions of the command-line tool and their exit statuses."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_CONFLICT = 4
EXIT_UNAVAILABLE = 5
EXIT_OUTCOME_UNKNOWN = 6


class CommandFailed(Exception):
    """Report a command that was not carried out.

    Parameters
    ----------
    message : str
        What happened and what the operator can do.
    """

    status = EXIT_FAILED

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class UsageError(CommandFailed):
    """Report an unknown command or wrong arguments."""

    status = EXIT_USAGE


class CommandRefused(CommandFailed):
    """Report that the entry refused the request."""

    status = EXIT_REFUSED


class ChangeConflict(CommandFailed):
    """Report a conflict with a change that was made before."""

    status = EXIT_CONFLICT


class ServiceUnavailable(CommandFailed):
    """Report that no entry or no platform answered; nothing was changed."""

    status = EXIT_UNAVAILABLE


class OutcomeUnknown(CommandFailed):
    """Report that a change may or may not have been made."""

    status = EXIT_OUTCOME_UNKNOWN

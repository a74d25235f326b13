"""The operators' tool: ``toucanspoolctl [flags] COMMAND ARGUMENTS``.

Commands::

  status                          what an entry knows of the upstreams
  list KIND                       upstream, team, request, selector or operator
  label KIND NAME KEY=VALUE KEY-  set or drop labels on an upstream, team or request
  apply FILE                      put the records of a YAML file, or remove them
  remove KIND NAME                delete a record
  key team|operator NAME          draw a new key; it is shown once
  history                         the latest changes
  explain change REVISION         what a change means, in a sentence
  explain request ID              where a request went and why

Flags::

  --entry=URL,URL                 entries, tried in order; else TOUCANSPOOL_ENTRY
  --key_file=FILE                 file with the key; else TOUCANSPOOL_KEY
  --json                          print JSON for scripts
  --dry_run                       only say what a change would do
  --change_id=NAME                the same name makes a repeated change harmless
  --base=REVISION                 what you saw; a later change to it is a conflict
  --limit=N                       changes listed by history
  --timeout_s=S                   the longest wait for an answer

Exit status: 0 done, 1 failed, 2 bad usage, 3 refused, 4 another operator was
first, 5 no answer and nothing changed, 6 not known whether the change was made
(repeat it with the same --change_id).
"""

import os
import sys

from absl import app, flags

from toucanspool.ctl import printer
from toucanspool.ctl.client import AdminClient
from toucanspool.ctl.commands import Commands, Options
from toucanspool.ctl.failures import EXIT_OK, CommandFailed, UsageError

ENTRY = flags.DEFINE_list(
    "entry",
    None,
    "URLs of entries, tried in order; else the variable TOUCANSPOOL_ENTRY.",
)
KEY_FILE = flags.DEFINE_string(
    "key_file", None, "File with the key; else the variable TOUCANSPOOL_KEY."
)
JSON = flags.DEFINE_bool("json", False, "Print JSON for scripts.")
DRY_RUN = flags.DEFINE_bool("dry_run", False, "Only say what a change would do.")
CHANGE_ID = flags.DEFINE_string(
    "change_id", "", "Name of the change; the same name makes a repeat harmless."
)
BASE = flags.DEFINE_integer(
    "base", -1, "Revision that you saw; a record changed after it is a conflict."
)
LIMIT = flags.DEFINE_integer("limit", 20, "Changes listed.", lower_bound=1)
TIMEOUT_S = flags.DEFINE_float("timeout_s", 10.0, "The longest wait, seconds.")


def main(argv: list[str]) -> int:
    """Run one command and print its output.

    Parameters
    ----------
    argv : list of str
        The program's name, the command and its arguments.

    Returns
    -------
    int
        Exit status.
    """
    options = Options(
        dry_run=DRY_RUN.value,
        change_id=CHANGE_ID.value,
        base=BASE.value,
        limit=LIMIT.value,
    )
    try:
        client = AdminClient(_entries(), _key(), timeout_s=TIMEOUT_S.value)
        output = Commands(client, options).run(argv[1:])
    except CommandFailed as exc:
        if JSON.value:
            print(printer.as_json({"error": exc.message, "status": exc.status}))
        print(exc.message, file=sys.stderr)
        return exc.status
    print(printer.as_json(output.data) if JSON.value else output.text)
    return EXIT_OK


def run() -> None:
    """Run the tool; the entry point of the console script."""
    # absl prints the docstring of __main__ as help; under the console script, __main__
    # is the script.
    sys.modules["__main__"].__doc__ = __doc__
    app.run(main)


def _entries() -> list[str]:
    entries = ENTRY.value or os.environ.get("TOUCANSPOOL_ENTRY", "").split(",")
    entries = [entry for entry in entries if entry]
    if not entries:
        raise UsageError("An entry is due: --entry=URL or TOUCANSPOOL_ENTRY.")
    return entries


def _key() -> str:
    if KEY_FILE.value is None:
        return os.environ.get("TOUCANSPOOL_KEY", "")
    try:
        with open(KEY_FILE.value, encoding="utf-8") as file:
            return file.read().strip()
    except OSError as exc:
        raise UsageError(f"{KEY_FILE.value} can't be read: {exc.strerror}") from exc


if __name__ == "__main__":
    run()

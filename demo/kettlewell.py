"""Demo of a small system on loopback, in steps that each print what they verified."""

from gevent import monkey

monkey.patch_all()

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import gevent
import yaml
from absl import app, flags

from demo.caller import Caller, expected
from demo.launcher import HOST, DemoFailed, System, call
from standins.answers import DEFAULT_TOKENS

KEEP = flags.DEFINE_bool("keep", False, "Stay up and print lines to try.")
LOGS = flags.DEFINE_string("logs", "", "Folder to keep settings and logs in.")

CTL_TIMEOUT_S = 10.0
REBALANCE_TIMEOUT_S = 30.0
DEMO_DIR = Path(__file__).parent


def main(argv: list[str]) -> int:
    """Run the demo.

    Parameters
    ----------
    argv : list of str
        Command line without the flags.

    Returns
    -------
    int
        Exit status: 0 if all steps passed, else 1.
    """
    started = time.monotonic()
    plan = yaml.safe_load((DEMO_DIR / "kettlewell.yaml").read_text())
    with System(plan, logs=LOGS.value) as system:
        demo = Demo(system)
        steps = demo.steps()[:2] if KEEP.value else demo.steps()
        for number, step in enumerate(steps, start=1):
            try:
                result = step()
            except (DemoFailed, OSError) as exc:
                print(f"{number}. FAILED {step.__name__}: {exc}", flush=True)
                return 1
            print(f"{number}. {result}", flush=True)
        if KEEP.value:
            demo.keep()
    print(f"All steps held, in {time.monotonic() - started:.0f} s.")
    return 0


class Demo:
    """Verify a running system step by step.

    Parameters
    ----------
    system : System
        The system to verify.
    """

    def __init__(self, system: System) -> None:
        self._system = system
        self._caller = Caller(system)
        self._entries = self._caller.entries

    def steps(self) -> list[Callable[[], str]]:
        """Return the steps in order."""
        return [
            self.configure,
            self.ask_addresses,
            self.stream_answer,
            self.book_twice,
            self.drain_runner,
            self.rebalance_group,
            self.kill_entry,
            self.stop_gracefully,
        ]

    def configure(self) -> str:
        """Apply the first configuration and wait until it is active."""
        records = yaml.safe_load((DEMO_DIR / "kettlewell-config.yaml").read_text())
        revision = self._caller.configure(records)
        return (
            f"The first configuration is in force on {len(self._entries)} entries: "
            f"revision {revision}."
        )

    def ask_addresses(self) -> str:
        """Ask an entry for the addresses to use."""
        status, answer, _ = call(
            self._caller.port(0),
            "GET",
            "/v1/addresses",
            key=self._system.keys.teams["members"],
        )
        _expect(status == 200, f"addresses were answered {status}: {answer}")
        domains = {item["failure_domain"] for item in answer["addresses"]}
        _expect(len(domains) == 3, f"addresses lie in {domains}")
        return (
            f"Team members was told {len(answer['addresses'])} entries in "
            f"{len(domains)} failure domains, to keep for {answer['keep_for_s']:g} s."
        )

    def stream_answer(self) -> str:
        """Stream an answer and compare it with the expected text."""
        messages = [{"role": "user", "content": "Which trips run on Sunday?"}]
        text = "".join(self._caller.stream(1, messages, "members"))
        _expect(text == expected(messages), f"the answer was {text!r}")
        return f"An answer of {DEFAULT_TOKENS} tokens was streamed whole."

    def book_twice(self) -> str:
        """Book, retry with the same key at another entry, and count the bookings."""
        answers = []
        for index in (0, 1):
            status, answer, _ = self._caller.book(index, "seat-14", "clerks")
            _expect(status == 201, f"the booking was answered {status}: {answer}")
            answers.append(answer["booking"])
        seen = self._caller.bookings()
        _expect(len(seen) == 1, f"the desks saw {len(seen)} bookings")
        _expect(answers[0] == answers[1], f"the answers differ: {answers}")
        return (
            "A booking sent twice with one key, through two entries, was made once: "
            f"{answers[0]}."
        )

    def drain_runner(self) -> str:
        """Drain a runner by a label and check that it gets no new requests."""
        output = self._ctl("label", "upstream", "guide-2", "state=drain")
        time.sleep(2.0)
        before = len(self._caller.seen("guide-2")["requests"])
        for index in range(12):
            messages = [{"role": "user", "content": f"Trip {index}?"}]
            text = "".join(self._caller.stream(index % 3, messages, "members", 4))
            _expect(text == expected(messages, 4), f"the answer was {text!r}")
        after = len(self._caller.seen("guide-2")["requests"])
        _expect(after == before, f"guide-2 got {after - before} more requests")
        return f"{output} 12 more requests went elsewhere."

    def rebalance_group(self) -> str:
        """Wait until the group uses a second map; check that no step mixed maps."""
        deadline = time.monotonic() + REBALANCE_TIMEOUT_S
        while True:
            steps = call(self._system.ports["experts"], "GET", "/steps")[1]
            maps = {version for step in steps for version in step["versions"]}
            if len(maps) > 1 or time.monotonic() > deadline:
                break
            time.sleep(0.5)
        _expect(len(maps) > 1, "the group was not rebalanced")
        mixed = [step for step in steps if len(set(step["versions"])) > 1]
        _expect(not mixed, f"{len(mixed)} steps used more than one map")
        return (
            f"The group's experts were rebalanced: {len(maps)} maps in {len(steps)} "
            "steps, and in each step all four ranks used the same one."
        )

    def kill_entry(self) -> str:
        """Kill an entry and continue at another address."""
        victim = self._entries[0]
        self._system.signal(victim, signal.SIGKILL)
        self._system.wait(victim)
        self._system.unlist_instance(victim)
        messages = [{"role": "user", "content": "Is the line open?"}]
        text = "".join(self._caller.stream(1, messages, "members"))
        _expect(text == expected(messages), f"the answer was {text!r}")
        return f"{victim} was killed; a caller went on at its next address at once."

    def stop_gracefully(self) -> str:
        """Stop all entries and agents during a stream, and check that it completes."""
        messages = [{"role": "user", "content": "Tell me all."}]
        tokens = 150
        stream = gevent.spawn(
            lambda: list(self._caller.stream(1, messages, "members", tokens))
        )
        gevent.sleep(0.3)
        names = self._entries[1:]
        for name in names:
            self._system.signal(name, signal.SIGTERM)
        text = "".join(stream.get(timeout=30.0))
        _expect(text == expected(messages, tokens), "the answer was cut off")
        for name in names:
            _expect(self._system.wait(name) == 0, f"{name} did not stop cleanly")
        agents = [n for n in self._system.processes if n.startswith("agent-")]
        for name in agents:
            self._system.signal(name, signal.SIGTERM)
        for name in agents:
            _expect(self._system.wait(name) == 0, f"{name} did not stop cleanly")
        return (
            f"{len(names)} entries and {len(agents)} agents stopped gracefully; an "
            f"answer of {tokens} tokens in flight came whole."
        )

    def keep(self) -> None:
        """Print commands to try, and keep running until interrupted."""
        keys = self._system.keys
        entry = f"http://{HOST}:{self._caller.port(0)}"
        print(f"export TOUCANSPOOL_ENTRY={entry}")
        print(f"export TOUCANSPOOL_KEY={keys.operators['ana']}")
        bearer = f"Authorization: Bearer {keys.teams['members']}"
        print(f"curl -H '{bearer}' {entry}/v1/addresses")
        tool = Path(sys.executable).parent / "toucanspoolctl"
        for args in ("status", "list selector", "history"):
            print(f"{tool} {args}")
        print(f"{tool} label upstream guide-2 state=drain")
        print("Press Ctrl-C to stop.", flush=True)
        try:
            while True:
                gevent.sleep(3600)
        except KeyboardInterrupt:
            return

    def _ctl(self, *args: str) -> str:
        env = {**os.environ, "TOUCANSPOOL_KEY": self._system.keys.operators["ana"]}
        entry = f"--entry=http://{HOST}:{self._caller.port(1)}"
        command = [sys.executable, "-m", "toucanspool.ctl.main", entry, *args]
        completed = subprocess.run(
            command,
            env=env,
            capture_output=True,
            text=True,
            check=False,
            timeout=CTL_TIMEOUT_S,
        )
        _expect(completed.returncode == 0, f"toucanspoolctl failed: {completed.stderr}")
        return completed.stdout.strip()


def _expect(condition: bool, message: str) -> None:
    if not condition:
        raise DemoFailed(message)


def run(argv: list[str]) -> None:
    """Exit with the status of the demo."""
    sys.exit(main(argv))


if __name__ == "__main__":
    app.run(run)

"""The instance list as a process; its changes appear with a lag.

``python -m standins.instances --port=N --lag_s=S``; ``PUT /instances/NAME`` with
an instance's fields adds it and ``DELETE`` removes it, both after the lag.
"""

from gevent import monkey

monkey.patch_all()

from absl import app as absl_app
from absl import flags

from standins.faults import Faults
from standins.http import make_app, serve
from standins.instance_pages import InstancePages

LAG_S = flags.DEFINE_float("lag_s", 1.0, "Delay before a change is listed, seconds.")


def main(argv: list[str]) -> None:
    """Serve the instance list."""
    faults = Faults()
    app = make_app(faults)
    pages = InstancePages(faults, LAG_S.value)
    app.add_route("/instances", pages)
    app.add_route("/instances/{name}", pages, suffix="one")
    serve(app)


if __name__ == "__main__":
    absl_app.run(main)

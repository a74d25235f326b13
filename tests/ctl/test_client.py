"""The tool reports an answer that was cut as an unknown outcome."""

import pytest

from standins.raw_upstream import RawUpstream, answering
from toucanspool.ctl.client import AdminClient
from toucanspool.ctl.failures import OutcomeUnknown


def test_a_change_whose_answer_was_cut_has_an_unknown_outcome():
    with RawUpstream(answering(b'{"revision": 4')) as entry:
        url = f"http://127.0.0.1:{entry.port}"
        client = AdminClient([url], "key", timeout_s=1.0)
        with pytest.raises(OutcomeUnknown):
            client.call("POST", "/admin/v1/changes", {"records": []})

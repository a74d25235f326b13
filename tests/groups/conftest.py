"""Turn off log output, which long tests would fill with decisions."""

import logging

import pytest
import structlog


@pytest.fixture(autouse=True)
def _silence_logs():
    silent = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=silent)
    yield
    structlog.reset_defaults()

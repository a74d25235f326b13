"""Keep the decision log out of long tests."""

import logging

import pytest
import structlog


@pytest.fixture(autouse=True)
def _quiet():
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    yield
    structlog.reset_defaults()

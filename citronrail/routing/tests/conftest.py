"""Keeps the log out of simulations, which emit thousands of events."""

from loguru import logger
import pytest


@pytest.fixture(autouse=True)
def quiet_log():
    """Switch the log off during a test."""
    logger.disable('citronrail')
    yield
    logger.enable('citronrail')

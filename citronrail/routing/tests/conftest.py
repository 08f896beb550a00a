"""Disables logging, because simulations emit thousands of events."""

from loguru import logger
import pytest


@pytest.fixture(autouse=True)
def disable_logging():
    """Disable the log of citronrail during a test."""
    logger.disable('citronrail')
    yield
    logger.enable('citronrail')

"""Adapters that connect the ports to the outside."""

from citronrail.adapters._http_worker import HttpWorker

__all__ = ['HttpWorker']

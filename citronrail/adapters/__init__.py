"""Adapters of the ports to protocols and libraries."""

from citronrail.adapters._etcd_store import EtcdStore

__all__ = ['EtcdStore']

"""Distinct types for the identifiers of the domain."""

import os
import typing

NodeId = typing.NewType('NodeId', str)
BootId = typing.NewType('BootId', str)
DataCentreName = typing.NewType('DataCentreName', str)
TeamName = typing.NewType('TeamName', str)
ServiceName = typing.NewType('ServiceName', str)
WorkClass = typing.NewType('WorkClass', str)
JobId = typing.NewType('JobId', str)
RequestId = typing.NewType('RequestId', str)
CommandId = typing.NewType('CommandId', str)
RangeId = typing.NewType('RangeId', int)
FencingToken = typing.NewType('FencingToken', int)


def new_boot_id() -> BootId:
    """Return a random id for one run of a process.

    :returns: 16 hexadecimal digits, unique for each process start.
    """
    return BootId(os.urandom(8).hex())

"""Instances of the fleet and their addresses."""

from carobslip.directory._directory import Directory
from carobslip.directory._records import (
    InstanceList,
    InstanceRecord,
    PublishedState,
    Role,
)

__all__ = [
    'Directory',
    'InstanceList',
    'InstanceRecord',
    'PublishedState',
    'Role',
]

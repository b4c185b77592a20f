"""The operators' document: defaults, exceptions, services, withdrawals."""

from carobslip.configuration._document import (
    Configuration,
    Service,
    ServiceKind,
    Withdrawal,
)
from carobslip.configuration._errors import InvalidDocument
from carobslip.configuration._exceptions import PolicyException, Scope
from carobslip.configuration._forwarding import (
    CallerLimits,
    EngineFigures,
    ForwardedService,
    Forwarding,
    RequestKind,
    Route,
    Team,
    WeightedService,
)
from carobslip.configuration._holder import Adoption, Holder
from carobslip.configuration._locator import find_line
from carobslip.configuration._order import DocumentOrder
from carobslip.configuration._package import (
    MalformedPackage,
    Package,
    pack,
    unpack,
)
from carobslip.configuration._policy import (
    Objective,
    Policy,
    PolicyOverride,
)
from carobslip.configuration._reader import (
    read_configuration,
    read_document,
    read_tagged,
    to_text,
)
from carobslip.configuration._resolver import Resolver
from carobslip.configuration._transitions import find_step_fault

__all__ = [
    'Adoption',
    'CallerLimits',
    'Configuration',
    'DocumentOrder',
    'EngineFigures',
    'ForwardedService',
    'Forwarding',
    'Holder',
    'InvalidDocument',
    'MalformedPackage',
    'Objective',
    'Package',
    'Policy',
    'PolicyException',
    'PolicyOverride',
    'RequestKind',
    'Resolver',
    'Route',
    'Scope',
    'Service',
    'ServiceKind',
    'Team',
    'WeightedService',
    'Withdrawal',
    'find_line',
    'find_step_fault',
    'pack',
    'read_configuration',
    'read_document',
    'read_tagged',
    'to_text',
    'unpack',
]

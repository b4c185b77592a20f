"""The operators' document: defaults, exceptions, services, withdrawals."""

from carobslip.configuration._document import (
    Configuration,
    Service,
    ServiceKind,
    Withdrawal,
)
from carobslip.configuration._errors import InvalidDocument
from carobslip.configuration._exceptions import PolicyException, Scope
from carobslip.configuration._holder import Adoption, Holder
from carobslip.configuration._policy import (
    Objective,
    Policy,
    PolicyOverride,
)
from carobslip.configuration._reader import (
    read_configuration,
    read_document,
    read_tagged,
)
from carobslip.configuration._resolver import Resolver
from carobslip.configuration._steps import find_step_fault

__all__ = [
    'Adoption',
    'Configuration',
    'Holder',
    'InvalidDocument',
    'Objective',
    'Policy',
    'PolicyException',
    'PolicyOverride',
    'Resolver',
    'Scope',
    'Service',
    'ServiceKind',
    'Withdrawal',
    'find_step_fault',
    'read_configuration',
    'read_document',
    'read_tagged',
]

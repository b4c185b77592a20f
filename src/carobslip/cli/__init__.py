"""The command line."""

from carobslip.cli._application import application

__all__ = ['application']

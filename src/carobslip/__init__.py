"""Load balancer for expert-parallel model groups."""

__all__ = ['__version__']

__version__ = '0.1.0'

"""Implementations of the ports on aiohttp, pynng and statsd."""

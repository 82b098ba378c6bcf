"""A layer-4 load balancer; the package folder is the root supervisor's."""

__version__ = '0.1.0'

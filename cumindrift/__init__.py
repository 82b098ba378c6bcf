"""A layer-4 load balancer; this folder holds the root supervisor."""

__version__ = '0.1.0'

"""The balancer: which agent each packet of a client goes to."""

"""The balancer: decides which agent receives each packet of a client."""

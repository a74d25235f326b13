"""Choose the upstream of each request."""

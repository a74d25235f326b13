"""Small stand-ins for the platform and the engines, outside the product."""

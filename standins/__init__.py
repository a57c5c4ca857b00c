"""Small stand-ins for the platform and the endpoints."""

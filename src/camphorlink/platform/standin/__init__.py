"""In-memory stand-ins for the users' platform: a store and runners."""

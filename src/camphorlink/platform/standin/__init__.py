"""Stand-ins that speak the users' protocol: a store and runners in memory."""

"""Input and output of connections to other services and entry VMs."""

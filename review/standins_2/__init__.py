"""Stand-ins of the second review: discovery, order servers, clients, and the processes of sidecars."""

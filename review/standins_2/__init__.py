"""Stand-ins of the second review: discovery, order servers, and the processes of sidecars."""

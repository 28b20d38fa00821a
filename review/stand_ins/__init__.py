"""Stand-ins for clients, order servers, discovery and the platform, written from the published protocol."""

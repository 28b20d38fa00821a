"""Endpoint discovery: endpoint lists, long polls, and the datagrams between sidecars."""

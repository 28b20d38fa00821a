"""Endpoint discovery: lists, long polls, and the datagrams between sidecars."""

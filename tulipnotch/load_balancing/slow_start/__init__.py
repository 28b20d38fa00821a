"""How much load an endpoint takes while it warms up."""

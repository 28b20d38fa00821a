"""Runs balancers behind the line protocol of the operators' simulator."""

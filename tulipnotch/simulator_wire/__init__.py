"""The decisions on the wire of the operators' simulator."""

"""What is measured for the decisions."""

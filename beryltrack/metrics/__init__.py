"""What is counted and measured, whoever shows it."""

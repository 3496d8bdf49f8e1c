"""The configurations of operators: read, checked, looked up."""

"""What a statement, a caller and a node cost, on real sockets."""

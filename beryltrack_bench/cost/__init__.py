"""Cost of a statement, an idle caller and a node, on real sockets."""

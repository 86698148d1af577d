"""The bench's wire on standard input and output: decodes into calls on the decisions, encodes from results."""

"""Share scarce capacity among accounts and between urgent and other work."""

"""Share scarce capacity between urgent work, other work and accounts."""

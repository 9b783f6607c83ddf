# The host core, in worlds as they are drawn.

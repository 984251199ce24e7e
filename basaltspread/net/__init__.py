"""What touches sockets: the runtime that carries out effects, and the two fronts."""

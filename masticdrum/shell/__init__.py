"""The trio loop, sockets and HTTP: turns input into events, carries out effects."""

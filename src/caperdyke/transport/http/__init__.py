"""HTTP libraries, with what the project needs beside them."""

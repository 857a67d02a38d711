// Keeps the support library from being empty.

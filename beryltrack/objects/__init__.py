"""Client of the platform's object store, with the cached copies of its objects."""

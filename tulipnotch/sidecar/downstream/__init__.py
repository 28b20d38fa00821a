"""The application's side: listener, client connections and the requests read from them."""

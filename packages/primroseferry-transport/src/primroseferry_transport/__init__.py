"""HTTP serving over werkzeug and HTTP calls over one libcurl loop."""

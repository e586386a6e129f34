"""HTTP server over werkzeug and HTTP client over one libcurl event loop."""

"""TLS contexts of the listeners and of the links between hosts."""

import ssl

from godwitladder.settings import TlsSettings


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return the context of a listener; an authority asks for client ones."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.options |= ssl.OP_NO_RENEGOTIATION
    return _load(context, tls)


def client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return the context with which a host dials its peers.

    The peer's certificate must name its IP number and be signed by the
    authority of the settings, or by one of the system's if none is set.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    if not tls.authority:
        context.load_default_certs()
    return _load(context, tls)


def _load(context: ssl.SSLContext, tls: TlsSettings) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.authority:
        context.load_verify_locations(tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context

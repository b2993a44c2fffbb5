"""TLS contexts for listeners and for links between hosts."""

import ssl

from godwitladder.settings import TlsSettings


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return the TLS context of a listener.

    If the settings name an authority, clients must present a certificate that
    it has signed.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.options |= ssl.OP_NO_RENEGOTIATION
    return _load(context, tls)


def client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return the TLS context with which a host connects to its peers.

    The certificate of the peer must contain its IP address. It must be signed by
    the authority in the settings or, if none is set, by one that the system
    trusts.
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

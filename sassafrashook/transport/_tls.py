"""Mutual TLS authentication between controllers and routers.

The TLS library is imported with its first use, so that a process without certificates starts
faster.
"""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CertificateFiles:
    """Paths of the certificate files of one process.

    :param certificate: path of the certificate; its common name is the name of the process.
    :param key: path of the private key.
    :param authority: path of the certificate of the authority that signed all certificates.
    """

    certificate: str
    key: str
    authority: str


def make_server_context(certificates):
    """Return the TLS context for accepted connections, which requires a client certificate.

    :param certificates: a :class:`CertificateFiles`.
    :raises OSError: if a file can't be loaded.
    """
    from gevent import ssl

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _load_certificates(context, certificates)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(certificates):
    """Return the TLS context for opened connections.

    Peers are addressed by IP address, so host name verification is off; the caller must compare
    :func:`read_peer_common_name` with the expected name.

    :param certificates: a :class:`CertificateFiles`.
    :raises OSError: if a file can't be loaded.
    """
    from gevent import ssl

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    _load_certificates(context, certificates)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def is_tls_error(error):
    """Return whether an ``OSError`` of a connection is a failed TLS handshake or certificate."""
    from gevent import ssl

    return isinstance(error, ssl.SSLError)


def read_peer_common_name(tls_socket):
    """Return the common name in the verified certificate of the peer, or an empty string."""
    for part in tls_socket.getpeercert().get("subject", ()):
        for attribute, value in part:
            if attribute == "commonName":
                return value
    return ""


def _load_certificates(context, certificates):
    from gevent import ssl

    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(certificates.certificate, certificates.key)
    context.load_verify_locations(certificates.authority)

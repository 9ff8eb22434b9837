"""Mutual authentication of the streams between the system's own processes."""

from dataclasses import dataclass

from gevent import ssl


@dataclass(slots=True, frozen=True)
class Certificates:
    """Files of one process's identity.

    :param certificate: path of the process's certificate; its common name is the process's name.
    :param key: path of the private key.
    :param authority: path of the certificate authority that signed every process's certificate.
    """

    certificate: str
    key: str
    authority: str


def make_server_context(certificates):
    """Return the context for accepted connections; peers must show a certificate."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _load(context, certificates)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(certificates):
    """Return the context for opened connections; addresses are IP numbers, so names are
    compared by :func:`read_peer_name` instead of the host name check.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    _load(context, certificates)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def read_peer_name(tls_socket):
    """Return the common name in the certificate that the other side proved to hold."""
    for part in tls_socket.getpeercert().get("subject", ()):
        for attribute, value in part:
            if attribute == "commonName":
                return value
    return ""


def _load(context, certificates):
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(certificates.certificate, certificates.key)
    context.load_verify_locations(certificates.authority)

"""A certificate authority for tests of mutual TLS between processes."""

from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

VALIDITY = timedelta(days=1)


def _make_name(common_name):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])


def _issue_certificate(subject, public_key, issuer, issuer_key, is_authority):
    now = datetime.now(UTC)
    constraints = x509.BasicConstraints(ca=is_authority, path_length=None)
    builder = x509.CertificateBuilder(_make_name(issuer), _make_name(subject), public_key)
    builder = builder.serial_number(x509.random_serial_number())
    builder = builder.not_valid_before(now - VALIDITY).not_valid_after(now + VALIDITY)
    builder = builder.add_extension(constraints, critical=True)
    return builder.sign(issuer_key, hashes.SHA256())


def _write_certificate(path, certificate):
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))


def _write_key(path, key):
    data = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    path.write_bytes(data)


def write_certificates(folder, names):
    """Create an authority and issue a certificate for each name.

    Writes ``authority.crt``, and ``NAME.crt`` and ``NAME.key`` for each name, in PEM format.

    :param folder: existing folder.
    :param names: common names of the certificates.
    """
    folder = Path(folder)
    authority_key = ec.generate_private_key(ec.SECP256R1())
    authority = _issue_certificate(
        "authority", authority_key.public_key(), "authority", authority_key, True
    )
    _write_certificate(folder / "authority.crt", authority)
    for name in names:
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = _issue_certificate(name, key.public_key(), "authority", authority_key, False)
        _write_certificate(folder / f"{name}.crt", certificate)
        _write_key(folder / f"{name}.key", key)

"""The TLS context for callers' connections."""

from twisted.internet.ssl import CertificateOptions, PrivateCertificate

# Drivers of PostgreSQL 17 and later offer this ALPN protocol in the handshake; a
# context without it would refuse them.
_ALPN = [b"postgresql"]


def make_tls_context(pem: bytes) -> CertificateOptions:
    """Create Twisted's context factory for a certificate and its private key.

    Parameters
    ----------
    pem : bytes
        Certificate, any intermediate certificates and private key, in PEM form.

    Raises
    ------
    OpenSSL.crypto.Error
        If `pem` lacks a certificate or a private key.
    """
    certificate = PrivateCertificate.loadPEM(pem)
    return CertificateOptions(
        privateKey=certificate.privateKey.original,
        certificate=certificate.original,
        acceptableProtocols=_ALPN,
    )

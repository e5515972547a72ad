"""The TLS context for callers, from the certificate that settings name."""

from twisted.internet.ssl import CertificateOptions, PrivateCertificate

# Drivers of PostgreSQL 17 and later offer this protocol in the handshake. A
# context without it would refuse them.
_ALPN = [b"postgresql"]


def make_tls_context(pem: bytes) -> CertificateOptions:
    """Return Twisted's context factory for a certificate and its key.

    Parameters
    ----------
    pem : bytes
        Certificate, any intermediate certificates and private key, in PEM form.

    Raises
    ------
    OpenSSL.crypto.Error
        If there is no certificate or no key in it.
    """
    certificate = PrivateCertificate.loadPEM(pem)
    return CertificateOptions(
        privateKey=certificate.privateKey.original,
        certificate=certificate.original,
        acceptableProtocols=_ALPN,
    )

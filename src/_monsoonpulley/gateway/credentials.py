"""Authentication of customers and operators by bearer credential (RFC 6750)."""

from __future__ import annotations

import hashlib
import hmac

from ..config.document import Document
from ..errors import Failure, Reason
from ..ids import CustomerId

STEP = "gateway.authenticate"


def credential_sha256(credential: str) -> str:
    """Return the SHA-256 of a credential in hexadecimal."""
    return hashlib.sha256(credential.encode()).hexdigest()


def bearer_credential(authorization: str | None) -> str | Failure:
    """Return the credential of an ``Authorization`` header's value."""
    if not authorization:
        return _unauthenticated("missing header 'Authorization: Bearer CREDENTIAL'")
    scheme, _, credential = authorization.partition(" ")
    if scheme.lower() != "bearer" or not credential.strip():
        return _unauthenticated("the Authorization header is not 'Bearer CREDENTIAL'")
    return credential.strip()


class CustomerCredentials:
    """Lookup of customers by the SHA-256 of their credential."""

    def __init__(self, customers: dict[str, CustomerId]):
        self._customers = customers

    @classmethod
    def from_config(cls, document: Document) -> CustomerCredentials:
        """Return the credentials of a configuration."""
        customers = {
            customer.credential_sha256: name
            for name, customer in document.customers.items()
        }
        return cls(customers)

    def find_customer(self, authorization: str | None) -> CustomerId | Failure:
        """Return the customer whose credential is in the header."""
        credential = bearer_credential(authorization)
        if isinstance(credential, Failure):
            return credential
        customer = self._customers.get(credential_sha256(credential))
        if customer is None:
            return _unauthenticated("the credential belongs to no customer")
        return customer


def check_operator(authorization: str | None, operator_sha256: str) -> Failure | None:
    """Return a failure unless the header has the operators' credential."""
    credential = bearer_credential(authorization)
    if isinstance(credential, Failure):
        return credential
    if not hmac.compare_digest(credential_sha256(credential), operator_sha256):
        return _unauthenticated("the credential is not that of the operators")
    return None


def _unauthenticated(detail: str) -> Failure:
    return Failure(Reason.UNAUTHENTICATED, STEP, "", detail)

"""Comparison of host names."""


def normalize_host(host):
    """Return the form of a host that is the same for all ways to write it.

    Names are the same in upper and lower case (RFC 9110, section 4.2.3), and with or without the
    trailing dot of a fully qualified name. A port is left out, because the routers of a deployment
    serve all hosts on one port.

    :param host: host name or address with an optional port, as in a Host header.

    >>> normalize_host("Shop.Example.:8080"), normalize_host("[::1]:80")
    ('shop.example', '[::1]')
    """
    name = host.lower()
    if name.startswith("["):
        address, bracket, _ = name.partition("]")
        return address + bracket
    return name.partition(":")[0].removesuffix(".")

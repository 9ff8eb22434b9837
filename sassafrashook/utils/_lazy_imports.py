"""Import of a package's modules on first access of their names."""

from importlib import import_module


def make_lazy_getattr(package, modules):
    """Return the ``__getattr__`` of a package that imports its modules on first access.

    A process then loads only the modules of its own role, which shortens its start.

    :param package: full name of the package.
    :param modules: names that the package exports, by the name of the module that defines them.

    >>> getattr_ = make_lazy_getattr("json", {"decoder": ("JSONDecoder",)})
    >>> getattr_("JSONDecoder").__name__
    'JSONDecoder'
    """
    module_by_name = {name: module for module, names in modules.items() for name in names}

    def get_attribute(name):
        if name not in module_by_name:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{module_by_name[name]}"), name)

    return get_attribute

// Compiles the sources of Boost.Asio and Boost.Beast in one translation unit, which speeds up the build.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>

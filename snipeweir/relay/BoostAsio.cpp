// Boost.Asio and Boost.Beast are compiled here, once, so that the other files build faster.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>

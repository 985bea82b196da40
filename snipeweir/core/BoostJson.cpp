// Boost.JSON is used header-only; its sources are compiled here, once.
#include <boost/json/src.hpp>

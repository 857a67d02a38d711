#ifndef VERBENACOVE_REQUEST_REQUEST_CLASS_HPP
#define VERBENACOVE_REQUEST_REQUEST_CLASS_HPP

#include "verbenacove/version/service_record.hpp"

#include <cstddef>

namespace verbenacove
{

/** The class of a request, from the record of its service. The classes are
    declared in order of priority, highest first. */
using request_class = service_class;

/** The number of request classes. */
constexpr std::size_t request_class_count = 3;

} // namespace verbenacove

#endif

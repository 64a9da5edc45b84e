#pragma once

#include "cornelpier/base/event_catalogue.hpp"

#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

namespace cornelpier {

/// A log event with its fields. The shell adds time, node and sequence number.
struct event_record {
    event_number number{};
    std::vector<std::pair<std::string, std::string>> fields;

    friend bool operator==(const event_record&, const event_record&) = default;
};

} // namespace cornelpier
